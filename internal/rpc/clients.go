package rpc

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"corkcove/internal/rpc/meshpb"
)

// Clients keeps one typed client for each service and address. It is safe for
// concurrent use.
type Clients struct {
	http meshpb.HTTPClient

	mu          sync.Mutex
	replication map[string]meshpb.Replication
	control     map[string]meshpb.Control
	node        map[string]meshpb.Node
	diagnostics map[string]meshpb.Diagnostics
}

// NewClients returns clients that send their calls through client. They follow
// no redirects: a redirected call would be sent twice.
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

// newClient is the type of the generated constructors.
type newClient[T any] func(baseURL string, client meshpb.HTTPClient, opts ...twirp.ClientOption) T

func clientFor[T any](c *Clients, byAddress map[string]T, address string, create newClient[T]) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := byAddress[address]
	if !ok {
		client = create("http://"+address, c.http)
		byAddress[address] = client
	}
	return client
}

// Replication returns the client of the core member at address (host:port).
func (c *Clients) Replication(address string) meshpb.Replication {
	return clientFor(c, c.replication, address, meshpb.NewReplicationProtobufClient)
}

// Control returns the client for calls of nodes and tools to the core member at
// address (host:port).
func (c *Clients) Control(address string) meshpb.Control {
	return clientFor(c, c.control, address, meshpb.NewControlProtobufClient)
}

// Node returns the client for calls of the master and its relays to the node at
// address (host:port).
func (c *Clients) Node(address string) meshpb.Node {
	return clientFor(c, c.node, address, meshpb.NewNodeProtobufClient)
}

// Diagnostics returns the client for calls of tools to the process at address
// (host:port).
func (c *Clients) Diagnostics(address string) meshpb.Diagnostics {
	return clientFor(c, c.diagnostics, address, meshpb.NewDiagnosticsProtobufClient)
}

// PutNode makes node answer the calls to address, in place of a remote process.
func (c *Clients) PutNode(address string, node meshpb.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node[address] = node
}

// PutControl makes control answer the calls to address, in place of a remote
// process.
func (c *Clients) PutControl(address string, control meshpb.Control) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.control[address] = control
}

// Call runs one call that ends after timeout at the latest.
func Call[Request, Response any](timeout time.Duration, method func(context.Context, Request) (Response, error), request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return method(ctx, request)
}
