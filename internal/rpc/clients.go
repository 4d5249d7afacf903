package rpc

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"corkcove/internal/rpc/meshpb"
)

// Clients caches one typed client per service and address. It is safe for
// concurrent use.
type Clients struct {
	http meshpb.HTTPClient

	mu          sync.Mutex
	replication map[string]meshpb.Replication
	control     map[string]meshpb.Control
	node        map[string]meshpb.Node
	diagnostics map[string]meshpb.Diagnostics
}

// NewClients returns clients that send their calls through a copy of client. They
// do not follow redirects, because a redirected call would be sent twice.
func NewClients(client *http.Client) *Clients {
	direct := *client
	direct.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return &Clients{
		http:        wireClient{&direct},
		replication: map[string]meshpb.Replication{},
		control:     map[string]meshpb.Control{},
		node:        map[string]meshpb.Node{},
		diagnostics: map[string]meshpb.Diagnostics{},
	}
}

// clientConstructor is the type of the generated constructors.
type clientConstructor[T any] func(baseURL string, client meshpb.HTTPClient, opts ...twirp.ClientOption) T

// cachedClient returns the client for address from byAddress and creates it if
// necessary.
func cachedClient[T any](c *Clients, byAddress map[string]T, address string, create clientConstructor[T]) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := byAddress[address]
	if !ok {
		client = create("http://"+address, c.http)
		byAddress[address] = client
	}
	return client
}

// Replication returns the client for calls between core members, connected to the
// member at address (host:port).
func (c *Clients) Replication(address string) meshpb.Replication {
	return cachedClient(c, c.replication, address, meshpb.NewReplicationProtobufClient)
}

// Control returns the client for calls from nodes and tools to the core member at
// address (host:port).
func (c *Clients) Control(address string) meshpb.Control {
	return cachedClient(c, c.control, address, meshpb.NewControlProtobufClient)
}

// Node returns the client for calls from the master and its relays to the node at
// address (host:port).
func (c *Clients) Node(address string) meshpb.Node {
	return cachedClient(c, c.node, address, meshpb.NewNodeProtobufClient)
}

// Diagnostics returns the client for calls from tools to the process at address
// (host:port).
func (c *Clients) Diagnostics(address string) meshpb.Diagnostics {
	return cachedClient(c, c.diagnostics, address, meshpb.NewDiagnosticsProtobufClient)
}

// PutNode makes Node return node for address instead of a remote client.
func (c *Clients) PutNode(address string, node meshpb.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node[address] = node
}

// PutControl makes Control return control for address instead of a remote
// client.
func (c *Clients) PutControl(address string, control meshpb.Control) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.control[address] = control
}

// Call calls method with a context that expires after timeout.
func Call[Request, Response any](timeout time.Duration, method func(context.Context, Request) (Response, error), request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return method(ctx, request)
}
