package controlapi

import "context"

// numberResponse is the response to a request for the next number of a counter.
type numberResponse struct {
	Number uint64 `json:"payload"`
}

func (s *CoreServer) nextNumber(r request, _ empty) (numberResponse, error) {
	number, err := callWithRetry(s, r, s.Coordination.ShardOf(r.name), func(ctx context.Context) (uint64, error) {
		return s.Coordination.NextNumber(ctx, r.name)
	})
	return numberResponse{number}, err
}
