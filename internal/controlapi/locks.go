package controlapi

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"time"

	"corkcove/internal/coordination"
)

// maxLockTTLSeconds limits the time to live of a lock to one day.
const maxLockTTLSeconds = 86400

// lockRequest is the body of requests to acquire, renew or release a lock.
type lockRequest struct {
	// Owner identifies the client that holds or requests the lock.
	Owner string `json:"holderId"`
	// TTLSeconds is the time to live of the lock. Releases ignore it.
	TTLSeconds *float64 `json:"holdS"`
	// FencingToken is the token of the lock to renew or release. Acquisitions ignore it.
	FencingToken uint64 `json:"fenceNo"`
}

// lockResponse is the response to a request that acquired or renewed a lock.
type lockResponse struct {
	// FencingToken is the token of the lock. See coordination.LockGrant.
	FencingToken uint64 `json:"fenceNo"`
}

// ttl returns the time to live, rounded up to whole milliseconds. It returns false if
// the owner is missing or the time to live is missing or out of range.
func (r lockRequest) ttl() (ttl time.Duration, ok bool) {
	ttlSeconds := r.TTLSeconds
	if r.Owner == "" || ttlSeconds == nil || !(*ttlSeconds > 0) || *ttlSeconds > maxLockTTLSeconds {
		return 0, false
	}
	return time.Duration(math.Ceil(*ttlSeconds*1000)) * time.Millisecond, true
}

func (s *CoreServer) acquireLock(r request, body lockRequest) (lockResponse, error) {
	ttl, ok := body.ttl()
	if !ok {
		return lockResponse{}, errMalformed("holderId and a holdS above 0 are wanted")
	}
	grant, err := callWithRetry(s, r, s.Coordination.ShardOf(r.name), func(ctx context.Context) (coordination.LockGrant, error) {
		return s.Coordination.AcquireLock(ctx, r.name, body.Owner, ttl)
	})
	if err == nil && grant.Reacquisitions > 0 {
		r.responseHeader.Set(acquisitionHeader, acquisition{grant.FencingToken, grant.Reacquisitions}.String())
	}
	return lockResponse{grant.FencingToken}, err
}

// respondToAcquisition is the responder of acquireLock. It remembers on the connection
// what the response tells of reacquisitions.
func (s *CoreServer) respondToAcquisition(w http.ResponseWriter, r request, body []byte, resp response, retry func() response) {
	s.forwardToOwner(w, r, body, resp, retry)
	if acquired, ok := parseAcquisition(w.Header().Get(acquisitionHeader)); ok {
		var input lockRequest
		if err := json.Unmarshal(body, &input); err == nil {
			connectionAcquisitionsOf(r).record(r.name, input.Owner, acquired)
		}
	}
}

func (s *CoreServer) renewLock(r request, body lockRequest) (lockResponse, error) {
	ttl, ok := body.ttl()
	if !ok {
		return lockResponse{}, errMalformed("holderId, fenceNo and a holdS above 0 are wanted")
	}
	grant, err := callWithRetry(s, r, s.Coordination.ShardOf(r.name), func(ctx context.Context) (coordination.LockGrant, error) {
		return s.Coordination.RenewLock(ctx, r.name, body.Owner, body.FencingToken, ttl)
	})
	return lockResponse{grant.FencingToken}, err
}

// releaseLock releases a lock. If it does not release a lock that was acquired again, the
// response is the same: the caller does not hold the lock any more, but others get it only
// once its time to live has ended.
func (s *CoreServer) releaseLock(r request, body lockRequest) (empty, error) {
	known := addPrecedingAcquisition(r, body)
	outcome, err := callWithRetry(s, r, s.Coordination.ShardOf(r.name), func(ctx context.Context) (coordination.ReleaseOutcome, error) {
		return s.Coordination.ReleaseLock(ctx, r.name, body.Owner, body.FencingToken, known.reacquisitions)
	})
	if err == nil && outcome == coordination.HeldUntilExpiry {
		s.Log.Info("kept a released lock until its expiry", "lock", r.name, "token", body.FencingToken)
	}
	return empty{}, err
}
