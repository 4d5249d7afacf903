package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"corkcove/internal/logring"
	"corkcove/internal/rpc/meshpb"
)

const (
	endpointsPath = "/endpoints"
	// maxPages and maxPageBytes bound a list that does not end.
	maxPages     = 400
	maxPageBytes = 4 << 20
	// mastersAtOnce is how many nodes may read the list at the same time: an old
	// master and a new one.
	mastersAtOnce = 2
)

// Options are what a Client needs.
type Options struct {
	// Address is that of the platform's API, host and port.
	Address string
	// RequestsPerSecond is how many requests the platform takes from all nodes
	// together; the client sends half as many. 0 sends them without a pause.
	RequestsPerSecond float64
	// HTTPClient sends the requests; its timeout bounds each one.
	HTTPClient *http.Client
	// Log gets what was skipped.
	Log logring.Logger
}

// Client reads the platform's list. It is not safe for concurrent use.
type Client struct {
	options  Options
	interval time.Duration
	// nextRequest is the earliest time of the next request.
	nextRequest time.Time
	now         func() time.Time
	pause       func(context.Context, time.Duration) error
}

// New returns a client that requests at half the rate that the platform grants
// to all nodes together, so that an old master and a new one stay under it.
func New(options Options) *Client {
	c := &Client{options: options, now: time.Now, pause: pause}
	if options.RequestsPerSecond > 0 {
		c.interval = time.Duration(mastersAtOnce / options.RequestsPerSecond * float64(time.Second))
	}
	return c
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StatusError is an answer other than 200: the platform is busy or fails,
// and is to be asked later.
type StatusError struct{ Code int }

// Error implements error.
func (e StatusError) Error() string {
	return fmt.Sprintf("discovery: the platform answered %d", e.Code)
}

// List reads the whole list; the error says which page is missing or broken.
// Before each page it asks whether this node is still the one to read it.
func (c *Client) List(ctx context.Context, isMaster func() bool) ([]*meshpb.Endpoint, error) {
	var endpoints []*meshpb.Endpoint
	seen, tokens := map[string]bool{}, map[string]bool{}
	token := ""
	for range maxPages {
		if err := c.awaitTurn(ctx, isMaster); err != nil {
			return nil, err
		}
		p, err := c.readPage(ctx, token)
		if err != nil {
			return nil, err
		}
		endpoints = c.appendNew(endpoints, p.endpoints, seen)
		if p.nextToken == "" {
			return endpoints, nil
		}
		if tokens[p.nextToken] {
			return nil, Error.New("page %q comes twice", p.nextToken)
		}
		tokens[p.nextToken] = true
		token = p.nextToken
	}
	return nil, Error.New("more than %d pages", maxPages)
}

// awaitTurn waits until the rate allows another request.
func (c *Client) awaitTurn(ctx context.Context, isMaster func() bool) error {
	if d := c.nextRequest.Sub(c.now()); d > 0 {
		if err := c.pause(ctx, d); err != nil {
			return Error.Wrap(err)
		}
	}
	if !isMaster() {
		return Error.New("this node is no longer the master")
	}
	c.nextRequest = c.now().Add(c.interval)
	return nil
}

// appendNew leaves out endpoints that a page before has listed.
func (c *Client) appendNew(endpoints, listed []*meshpb.Endpoint, seen map[string]bool) []*meshpb.Endpoint {
	for _, e := range listed {
		if seen[e.Id] {
			c.options.Log.Warn("platform lists an endpoint twice", "endpoint", e.Id)
			continue
		}
		seen[e.Id] = true
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// pageQuery chooses a page; without a token it is the first.
type pageQuery struct {
	Token string `url:"pageToken,omitempty"`
}

func (c *Client) readPage(ctx context.Context, token string) (page, error) {
	request, err := sling.New().Base("http://" + c.options.Address).Get(endpointsPath).QueryStruct(pageQuery{token}).Request()
	if err != nil {
		return page{}, Error.Wrap(err)
	}
	answer, err := c.options.HTTPClient.Do(request.WithContext(ctx))
	if err != nil {
		return page{}, Error.Wrap(err)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxPageBytes))
	if err != nil {
		return page{}, Error.Wrap(err)
	}
	if answer.StatusCode != http.StatusOK {
		return page{}, StatusError{answer.StatusCode}
	}
	return parsePage(data, c.options.Log)
}
