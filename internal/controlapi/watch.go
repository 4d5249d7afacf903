package controlapi

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"corkcove/internal/coordination"
)

// Parameters of a watch.
const (
	paramAfter  = "after"
	paramWaitMs = "waitMs"
)

// maxWatchWait bounds how long a watch waits for an event.
const maxWatchWait = time.Minute

type watchEvent struct {
	Name     string `json:"name"`
	Payload  string `json:"payload"`
	Revision uint64 `json:"revision"`
}

type watchResponse struct {
	Events   []watchEvent `json:"eventList"`
	Revision uint64       `json:"revision"`
}

// watch answers as soon as there is an event after the given revision.
func (s *CoreServer) watch(r request, _ empty) (watchResponse, error) {
	parameters := r.URL.Query()
	after, err := parseRevision(parameters.Get(paramAfter))
	if err != nil {
		return watchResponse{}, errMalformed(paramAfter + " is no revision")
	}
	wait, err := parseWatchWait(parameters)
	if err != nil {
		return watchResponse{}, errMalformed(paramWaitMs + " is no number of milliseconds")
	}
	list, err := callOwner(s, r, s.Coordination.ShardOf(r.name), func(ctx context.Context) (coordination.EventList, error) {
		return s.Coordination.Watch(ctx, r.name, after, wait)
	})
	if err != nil {
		return watchResponse{}, err
	}
	answer := watchResponse{Events: []watchEvent{}, Revision: max(list.Revision, after)}
	for _, put := range list.Events {
		answer.Events = append(answer.Events, watchEvent{put.Name, put.Payload, put.Revision})
	}
	return answer, nil
}

// parseRevision takes an empty text as revision 0.
func parseRevision(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// parseWatchWait is for how long the parameters let a watch wait; 0 if they
// give no time.
func parseWatchWait(parameters url.Values) (time.Duration, error) {
	text := parameters.Get(paramWaitMs)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	return min(time.Duration(ms)*time.Millisecond, maxWatchWait), err
}
