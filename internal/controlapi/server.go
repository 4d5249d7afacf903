package controlapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"corkcove/internal/coordination"
	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
)

// defaultRetryInterval is the pause between two attempts to have a request
// decided.
const defaultRetryInterval = 20 * time.Millisecond

// CoreServer serves operators and applications on a core member. Its exported
// fields are set before the first request.
type CoreServer struct {
	Mux
	// Coordination answers for the shards that this member owns.
	Coordination *coordination.Service
	// RetryTimeout is for how long a request is retried while nothing was done.
	RetryTimeout time.Duration
	// RetryInterval is the pause between these retries.
	RetryInterval time.Duration
	// PeerTransport reaches the other members; without it callers are redirected.
	PeerTransport http.RoundTripper
	// OnConfigAccepted, if set, is called with the version of each configuration
	// that was accepted here.
	OnConfigAccepted func(version uint64)

	configs configCache
	bodies  bodyLimiter
}

// NewCoreServer returns a server that redirects callers to owners until its
// PeerTransport is set.
func NewCoreServer(service *coordination.Service, retryTimeout time.Duration) *CoreServer {
	s := &CoreServer{
		Coordination: service, RetryTimeout: retryTimeout, RetryInterval: defaultRetryInterval,
		bodies: newBodyLimiter(),
	}
	s.handle("POST /-/locks/{}", jsonHandler(s.forwardToOwner, s.acquireLock))
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

// callOwner calls until the shard's owner has answered, for as long as nothing
// was done. If another member owns the shard the error is *notOwnerError.
func callOwner[R any](s *CoreServer, r request, shard int, call func(context.Context) (R, error)) (R, error) {
	ctx := r.Context()
	deadline := time.Now().Add(s.RetryTimeout)
	for {
		result, err := call(ctx)
		switch {
		case errors.Is(err, replication.ErrNotOwner):
			if address := s.otherOwner(shard); address != "" {
				return result, &notOwnerError{location: "http://" + address + r.RequestURI}
			}
		case !errors.Is(err, replication.ErrUnavailable):
			return result, err
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return result, errUnavailable
		}
		pause(ctx, s.RetryInterval)
	}
}

// otherOwner is the control address of the member that owns a shard; empty if
// it is this one, or not known.
func (s *CoreServer) otherOwner(shard int) string {
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

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
