package controlapi

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
)

// acquisitionHeader tells, in the response to an acquisition, that the owner of the lock
// has acquired it again under the same fencing token, and how often. A release that
// carries the header of an acquisition was sent after it. It is omitted for the first
// acquisition under a token, which every release with that token follows.
const acquisitionHeader = "X-Corkcove-Lock-Acquisition"

// maxConnectionAcquisitions limits the memory for one connection. If a connection has
// more reacquired locks, any of them is forgotten and a release of it takes effect when
// the lock expires.
const maxConnectionAcquisitions = 64

// acquisition identifies one of several acquisitions of a lock under the same token.
type acquisition struct {
	fencingToken   uint64
	reacquisitions uint64
}

// String returns the value of acquisitionHeader.
func (a acquisition) String() string {
	return strconv.FormatUint(a.fencingToken, 10) + "/" + strconv.FormatUint(a.reacquisitions, 10)
}

// parseAcquisition parses a value of acquisitionHeader.
func parseAcquisition(s string) (a acquisition, ok bool) {
	token, reacquisitions, found := strings.Cut(s, "/")
	if !found {
		return acquisition{}, false
	}
	var tokenErr, countErr error
	a.fencingToken, tokenErr = strconv.ParseUint(token, 10, 64)
	a.reacquisitions, countErr = strconv.ParseUint(reacquisitions, 10, 64)
	return a, tokenErr == nil && countErr == nil
}

// connectionAcquisitions holds the reacquisitions that were answered on one connection.
// A later request on the same connection was sent after the acquisition. This holds for
// the connections of callers only: members forward the requests of many callers on one
// connection. It is safe for concurrent use, and a nil pointer holds nothing.
type connectionAcquisitions struct {
	mu      sync.Mutex
	byOwner map[lockOwner]acquisition
}

// lockOwner is a lock and the client that acquired it.
type lockOwner struct{ lock, owner string }

type connectionAcquisitionsKey struct{}

// ConnContext is a hook for http.Server.ConnContext. Without it, the release of a lock
// that its owner acquired again takes effect only when the lock expires, unless the
// release carries acquisitionHeader.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionAcquisitionsKey{}, &connectionAcquisitions{byOwner: map[lockOwner]acquisition{}})
}

// connectionAcquisitionsOf returns the acquisitions on the request's connection, or nil
// if the request was forwarded by another member or its server does not use ConnContext.
func connectionAcquisitionsOf(r request) *connectionAcquisitions {
	if r.Header.Get(forwardedHeader) != "" {
		return nil
	}
	c, _ := r.Context().Value(connectionAcquisitionsKey{}).(*connectionAcquisitions)
	return c
}

func (c *connectionAcquisitions) record(lock, owner string, a acquisition) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.byOwner {
		if len(c.byOwner) < maxConnectionAcquisitions {
			break
		}
		delete(c.byOwner, key)
	}
	c.byOwner[lockOwner{lock, owner}] = a
}

func (c *connectionAcquisitions) find(lock, owner string) acquisition {
	if c == nil {
		return acquisition{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byOwner[lockOwner{lock, owner}]
}

// addPrecedingAcquisition returns the newest acquisition under the token of the release
// that is known to have been made before the release was sent: by the release's header, or
// because it was answered on the same connection. It returns the zero value if none is. It
// sets the header accordingly, so that the owner learns of it if the request is forwarded.
func addPrecedingAcquisition(r request, release lockRequest) acquisition {
	known, ok := parseAcquisition(r.Header.Get(acquisitionHeader))
	if !ok {
		known = connectionAcquisitionsOf(r).find(r.name, release.Owner)
	}
	if known.fencingToken != release.FencingToken || known.reacquisitions == 0 {
		r.Header.Del(acquisitionHeader)
		return acquisition{}
	}
	r.Header.Set(acquisitionHeader, known.String())
	return known
}
