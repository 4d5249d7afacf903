package controlapi

import (
	"context"

	"corkcove/internal/coordination"
)

// putCellRequest is the body of a request to set the value of a key.
type putCellRequest struct {
	// Payload is the new value. It is required.
	Payload *string `json:"payload"`
	// ExpectedRevision, if present, must be the current revision of the key, or 0 if the
	// key has no value. Otherwise the put is refused.
	ExpectedRevision *uint64 `json:"topic"`
}

// putCellResponse is the response to a put, also to one that was refused because of
// ExpectedRevision.
type putCellResponse struct {
	// Revision is the current revision of the key.
	Revision uint64 `json:"revision"`
}

// getCellResponse is the value of a key and its revision.
type getCellResponse struct {
	Payload  string `json:"payload"`
	Revision uint64 `json:"revision"`
}

func (s *CoreServer) putCell(r request, body putCellRequest) (putCellResponse, error) {
	if body.Payload == nil {
		return putCellResponse{}, errMalformed("payload is wanted")
	}
	cell, err := callWithRetry(s, r, s.cellShard(r.name), func(ctx context.Context) (coordination.Cell, error) {
		return s.Coordination.Put(ctx, r.name, *body.Payload, body.ExpectedRevision)
	})
	return putCellResponse{cell.Revision}, err
}

func (s *CoreServer) getCell(r request, _ empty) (getCellResponse, error) {
	cell, err := callWithRetry(s, r, s.cellShard(r.name), func(ctx context.Context) (coordination.Cell, error) {
		return s.Coordination.Get(ctx, r.name)
	})
	return getCellResponse{cell.Payload, cell.Revision}, err
}

// cellShard returns the shard of a key, which is that of the key's group.
func (s *CoreServer) cellShard(name string) int {
	return s.Coordination.ShardOf(coordination.GroupName(name))
}
