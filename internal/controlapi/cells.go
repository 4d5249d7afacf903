package controlapi

import (
	"context"

	"corkcove/internal/coordination"
)

type putRequest struct {
	Payload *string `json:"payload"`
	// ExpectedRevision, if given, is the revision that the cell must stand at; 0
	// if it must have no value.
	ExpectedRevision *uint64 `json:"topic"`
}

type putResponse struct {
	Revision uint64 `json:"revision"`
}

type cellResponse struct {
	Payload  string `json:"payload"`
	Revision uint64 `json:"revision"`
}

func (s *CoreServer) putCell(r request, body putRequest) (putResponse, error) {
	if body.Payload == nil {
		return putResponse{}, errMalformed("payload is wanted")
	}
	cell, err := callOwner(s, r, s.cellShard(r.name), func(ctx context.Context) (coordination.Cell, error) {
		return s.Coordination.Put(ctx, r.name, *body.Payload, body.ExpectedRevision)
	})
	return putResponse{cell.Revision}, err
}

func (s *CoreServer) getCell(r request, _ empty) (cellResponse, error) {
	cell, err := callOwner(s, r, s.cellShard(r.name), func(ctx context.Context) (coordination.Cell, error) {
		return s.Coordination.Get(ctx, r.name)
	})
	return cellResponse{cell.Payload, cell.Revision}, err
}

func (s *CoreServer) cellShard(name string) int {
	return s.Coordination.ShardOf(coordination.GroupName(name))
}
