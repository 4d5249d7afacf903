package controlapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"corkcove/internal/coordination"
	"corkcove/internal/logring"
	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
)

// defaultRetryInterval is the initial value of CoreServer.RetryInterval.
const defaultRetryInterval = 20 * time.Millisecond

// CoreServer serves operators and applications on a core member. Its exported fields
// must be set before the first request and not changed afterwards.
type CoreServer struct {
	Mux
	// Coordination executes requests on the shards that this member owns.
	Coordination *coordination.Service
	// RetryTimeout bounds the time for which a request that made no change is retried,
	// and the time that a large configuration waits before it is checked.
	RetryTimeout time.Duration
	// RetryInterval is the delay between two retries.
	RetryInterval time.Duration
	// PeerTransport sends forwarded requests to other members. If it is nil, callers
	// are redirected.
	PeerTransport http.RoundTripper
	// OnConfigAccepted, if set, is called with the version of each configuration that
	// this member accepts.
	OnConfigAccepted func(version uint64)
	// Log receives messages. The zero value discards them.
	Log logring.Logger

	configs configCache
	bodies  bodyLimiter
}

// NewCoreServer returns a server without a PeerTransport: it redirects callers to the
// owner of a shard instead of forwarding their requests.
func NewCoreServer(service *coordination.Service, retryTimeout time.Duration) *CoreServer {
	s := &CoreServer{
		Coordination: service, RetryTimeout: retryTimeout, RetryInterval: defaultRetryInterval,
		bodies: newBodyLimiter(),
	}
	s.handle("POST /-/locks/{}", jsonHandler(s.respondToAcquisition, s.acquireLock))
	s.handle("PUT /-/locks/{}", jsonHandler(s.forwardToOwner, s.renewLock))
	s.handle("DELETE /-/locks/{}", jsonHandler(s.forwardToOwner, s.releaseLock))
	s.handle("POST /-/numbers/{}", jsonHandler(s.forwardToOwner, s.nextNumber))
	s.handle("PUT /-/cells/{}", jsonHandler(s.forwardToOwner, s.putCell))
	s.handle("GET /-/cells/{}", jsonHandler(s.forwardToOwner, s.getCell))
	s.handle("GET /-/watch/{}", jsonHandler(s.forwardToOwner, s.watch))
	s.handle("GET /-/configuration", jsonHandler(s.forwardToOwner, s.getConfig))
	s.handle("PUT /-/configuration", s.putConfig)
	s.handle("PATCH /-/configuration", s.patchConfig)
	return s
}

// callWithRetry repeats call while it fails with replication.ErrNotOwner or
// replication.ErrUnavailable, which report that no change was made. The error is a
// *notOwnerError if another member is known to own the shard, and errUnavailable if
// RetryTimeout elapses or the caller gives up first. All other errors of call are returned
// unchanged.
func callWithRetry[R any](s *CoreServer, r request, shard int, call func(context.Context) (R, error)) (R, error) {
	ctx := r.Context()
	deadline := time.Now().Add(s.RetryTimeout)
	for {
		result, err := call(ctx)
		switch {
		case errors.Is(err, replication.ErrNotOwner):
			if address := s.remoteOwnerAddress(shard); address != "" {
				return result, &notOwnerError{location: "http://" + address + r.RequestURI}
			}
		case !errors.Is(err, replication.ErrUnavailable):
			return result, err
		}
		if time.Now().After(deadline) || s.Coordination.GaveUp(ctx) {
			return result, errUnavailable
		}
		sleep(ctx, s.RetryInterval)
	}
}

// remoteOwnerAddress returns the control address of the member that owns a shard. It is
// empty if this member owns the shard or if the owner is unknown.
func (s *CoreServer) remoteOwnerAddress(shard int) string {
	address, _ := mailbox.Call(s.Coordination.Mailbox, func() string {
		replica := s.Coordination.Replica
		owner, known := replica.Owner(shard)
		if !known || owner.Id == replica.Self().Id {
			return ""
		}
		return owner.Control
	})
	return address
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
