package controlapi

import (
	"context"
	"math"
	"time"

	"corkcove/internal/coordination"
)

// maxLockSeconds bounds a lock's time to live to a day.
const maxLockSeconds = 86400

type lockRequest struct {
	Owner        string   `json:"holderId"`
	TTLSeconds   *float64 `json:"holdS"`
	FencingToken uint64   `json:"fenceNo"`
}

type lockResponse struct {
	FencingToken uint64 `json:"fenceNo"`
}

// ttl rounds up to whole milliseconds.
func (q lockRequest) ttl() (ttl time.Duration, ok bool) {
	s := q.TTLSeconds
	if q.Owner == "" || s == nil || !(*s > 0) || *s > maxLockSeconds {
		return 0, false
	}
	return time.Duration(math.Ceil(*s*1000)) * time.Millisecond, true
}

func (s *CoreServer) acquireLock(r request, body lockRequest) (lockResponse, error) {
	ttl, ok := body.ttl()
	if !ok {
		return lockResponse{}, errMalformed("holderId and a holdS above 0 are wanted")
	}
	grant, err := callOwner(s, r, s.Coordination.ShardOf(r.name), func(ctx context.Context) (coordination.LockGrant, error) {
		return s.Coordination.AcquireLock(ctx, r.name, body.Owner, ttl)
	})
	return lockResponse{grant.FencingToken}, err
}

func (s *CoreServer) renewLock(r request, body lockRequest) (lockResponse, error) {
	ttl, ok := body.ttl()
	if !ok {
		return lockResponse{}, errMalformed("holderId, fenceNo and a holdS above 0 are wanted")
	}
	grant, err := callOwner(s, r, s.Coordination.ShardOf(r.name), func(ctx context.Context) (coordination.LockGrant, error) {
		return s.Coordination.RenewLock(ctx, r.name, body.Owner, body.FencingToken, ttl)
	})
	return lockResponse{grant.FencingToken}, err
}

func (s *CoreServer) releaseLock(r request, body lockRequest) (empty, error) {
	_, err := callOwner(s, r, s.Coordination.ShardOf(r.name), func(ctx context.Context) (coordination.LockGrant, error) {
		return s.Coordination.ReleaseLock(ctx, r.name, body.Owner, body.FencingToken)
	})
	return empty{}, err
}
