package controlapi

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"corkcove/internal/coordination"
	"corkcove/internal/names"
)

// Query parameters of a watch.
const (
	// paramAfter is the revision after which events are returned; 0 if it is absent.
	paramAfter = "after"
	// paramWaitMs is the timeout of the wait for an event in milliseconds; 0 if it is
	// absent.
	paramWaitMs = "waitMs"
)

// maxWatchWait limits how long a watch waits for an event.
const maxWatchWait = time.Minute

// watchEvent is the put of a value.
type watchEvent struct {
	// Name is the key; see names.ForJSON.
	Name     string `json:"name"`
	Payload  string `json:"payload"`
	Revision uint64 `json:"revision"`
}

// watchResponse holds the events of a key group, in the order of their revisions.
type watchResponse struct {
	Events []watchEvent `json:"eventList"`
	// Revision is the revision after which the next watch must continue.
	Revision uint64 `json:"revision"`
}

// watch returns the events of a key group after the given revision as soon as there are
// any, or an empty list once the given time has elapsed. See coordination.Service.Watch
// for the other cases.
func (s *CoreServer) watch(r request, _ empty) (watchResponse, error) {
	query := r.URL.Query()
	after, err := parseRevision(query.Get(paramAfter))
	if err != nil {
		return watchResponse{}, errMalformed(paramAfter + " is no revision")
	}
	wait, err := parseWatchWait(query)
	if err != nil {
		return watchResponse{}, errMalformed(paramWaitMs + " is no number of milliseconds")
	}
	list, err := callWithRetry(s, r, s.Coordination.ShardOf(r.name), func(ctx context.Context) (coordination.EventList, error) {
		return s.Coordination.Watch(ctx, r.name, after, wait)
	})
	if err != nil {
		return watchResponse{}, err
	}
	resp := watchResponse{Events: []watchEvent{}, Revision: max(list.Revision, after)}
	for _, event := range list.Events {
		resp.Events = append(resp.Events, watchEvent{names.ForJSON(event.Name), event.Payload, event.Revision})
	}
	return resp, nil
}

// parseRevision parses a revision. An empty text means revision 0.
func parseRevision(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// parseWatchWait returns how long the query allows a watch to wait, at most
// maxWatchWait. It is 0 if the query does not set paramWaitMs.
func parseWatchWait(query url.Values) (time.Duration, error) {
	text := query.Get(paramWaitMs)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	return min(time.Duration(ms)*time.Millisecond, maxWatchWait), err
}
