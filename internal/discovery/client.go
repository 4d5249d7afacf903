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
	// maxPages and maxPageBytes limit what is read if the platform's list does not end.
	maxPages     = 400
	maxPageBytes = 4 << 20
	// maxConcurrentReaders is the maximum number of nodes that read the list at the same
	// time: the old and the new master during a takeover.
	maxConcurrentReaders = 2
)

// Options configure a Client.
type Options struct {
	// Address is the host:port of the platform's API.
	Address string
	// RequestsPerSecond is the platform's rate limit for all nodes together. The
	// client uses half of it. 0 means no limit.
	RequestsPerSecond float64
	// HTTPClient sends the requests. Its timeout applies to each request.
	HTTPClient *http.Client
	// Log receives a warning for each skipped row or duplicate endpoint.
	Log logring.Logger
}

// Client reads the platform's list. It is not safe for concurrent use.
type Client struct {
	options Options
	// interval is the minimum time between the starts of two requests.
	interval time.Duration
	// nextRequest is the earliest time of the next request.
	nextRequest time.Time
	// now and sleep are replaced in tests.
	now   func() time.Time
	sleep func(context.Context, time.Duration) error
}

// New returns a client that uses half of the platform's rate limit, so that an old
// and a new master that read at the same time stay within it together.
func New(options Options) *Client {
	c := &Client{options: options, now: time.Now, sleep: sleep}
	if options.RequestsPerSecond > 0 {
		c.interval = time.Duration(maxConcurrentReaders / options.RequestsPerSecond * float64(time.Second))
	}
	return c
}

// sleep waits for d, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StatusError reports a response with a status other than 200: the platform is
// overloaded or failing, and the caller should try again later.
type StatusError struct {
	// Code is the HTTP status code.
	Code int
}

// Error implements the error interface.
func (e StatusError) Error() string {
	return fmt.Sprintf("discovery: the platform returned HTTP status %d", e.Code)
}

// List reads all pages of the list and returns the usable endpoints, each id once.
// Before each request it calls isMaster and stops with an error if that returns
// false. The error is a StatusError if the platform returned a status other than
// 200, and of class Error otherwise.
func (c *Client) List(ctx context.Context, isMaster func() bool) ([]*meshpb.Endpoint, error) {
	var endpoints []*meshpb.Endpoint
	seen, tokens := map[string]bool{}, map[string]bool{}
	token := ""
	for range maxPages {
		if err := c.waitForRateLimit(ctx, isMaster); err != nil {
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
			return nil, Error.New("page token %q occurs twice", p.nextToken)
		}
		tokens[p.nextToken] = true
		token = p.nextToken
	}
	return nil, Error.New("the list has more than %d pages", maxPages)
}

// waitForRateLimit waits until the rate limit permits another request. It returns an
// error if ctx ends first or if this node is no longer the master after the wait.
func (c *Client) waitForRateLimit(ctx context.Context, isMaster func() bool) error {
	if d := c.nextRequest.Sub(c.now()); d > 0 {
		if err := c.sleep(ctx, d); err != nil {
			return Error.Wrap(err)
		}
	}
	if !isMaster() {
		return Error.New("this node is no longer the master")
	}
	c.nextRequest = c.now().Add(c.interval)
	return nil
}

// appendNew appends the listed endpoints whose ids are not in seen, and adds these
// ids to it.
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

// pageQuery selects a page. An empty token selects the first one.
type pageQuery struct {
	Token string `url:"pageToken,omitempty"`
}

// readPage requests the page with the given token and parses it.
func (c *Client) readPage(ctx context.Context, token string) (page, error) {
	request, err := sling.New().Base("http://" + c.options.Address).Get(endpointsPath).QueryStruct(pageQuery{token}).Request()
	if err != nil {
		return page{}, Error.Wrap(err)
	}
	response, err := c.options.HTTPClient.Do(request.WithContext(ctx))
	if err != nil {
		return page{}, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return page{}, Error.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return page{}, StatusError{response.StatusCode}
	}
	return parsePage(data, c.options.Log)
}
