package controlapi

import (
	"context"
	"math"
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
	return lockResponse{grant.FencingToken}, err
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

func (s *CoreServer) releaseLock(r request, body lockRequest) (empty, error) {
	_, err := callWithRetry(s, r, s.Coordination.ShardOf(r.name), func(ctx context.Context) (coordination.LockGrant, error) {
		return s.Coordination.ReleaseLock(ctx, r.name, body.Owner, body.FencingToken)
	})
	return empty{}, err
}
