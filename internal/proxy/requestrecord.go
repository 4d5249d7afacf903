package proxy

import (
	"strings"
	"sync"
	"time"

	"corkcove/internal/proxy/retry"
	"corkcove/internal/rpc/meshpb"
)

// requestRecord is the request log's entry of a request under way; a nil one
// notes nothing.
type requestRecord struct {
	mu sync.Mutex
	// entry is nil once it is in the log: a hedged attempt may end later.
	entry *meshpb.RequestRecord
}

func (o *Outbound) newRecord(request *outboundRequest) *requestRecord {
	if o.options.RequestLog == nil {
		return nil
	}
	o.options.RequestLog.Begin()
	return &requestRecord{entry: &meshpb.RequestRecord{
		Id:        request.request.Header.Get(headerRequestID),
		AtUs:      request.started.UnixMicro(),
		Method:    request.request.Method,
		Host:      strings.Clone(request.request.Host),
		Target:    strings.Clone(request.request.RequestURI),
		Caller:    o.options.Service,
		BodyBytes: request.request.ContentLength,
	}}
}

// saveRecord puts the request's entry into the log.
func (r *outboundRequest) saveRecord() {
	if r.record == nil {
		return
	}
	entry := r.record.take()
	entry.TookUs = time.Since(r.started).Microseconds()
	if r.route != nil {
		entry.Route = r.route.Name
		entry.Kind = r.route.Kind.String()
		entry.LatencyTargetUs = r.route.LatencyTarget.Microseconds()
		entry.Service = r.service
		entry.Session = r.session.key
		entry.DueUs = r.deadline.Sub(r.started).Microseconds()
		entry.FirstSeen = r.firstSeen
	}
	if r.routes != nil {
		entry.Config = r.routes.Version
	}
	if requested, ok := parseDeadline(r.request.Header); ok {
		entry.DeadlineUs = requested.Microseconds()
	}
	r.outbound.options.RequestLog.End(entry, r.outbound.options.RetryBudget.Balance)
}

// take returns the entry; what is noted later is dropped.
func (r *requestRecord) take() *meshpb.RequestRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.entry
	r.entry = nil
	return entry
}

// setDraw notes the random number that the service was picked by.
func (r *requestRecord) setDraw(draw float64) {
	if r != nil {
		r.entry.Draw = draw
	}
}

// keepHeader returns get, which then also keeps the values that it returns.
func (r *requestRecord) keepHeader(get func(string) string) func(string) string {
	if r == nil {
		return get
	}
	return func(name string) string {
		value := get(name)
		if r.entry.Headers == nil {
			r.entry.Headers = map[string]string{}
		}
		r.entry.Headers[name] = value
		return value
	}
}

func (r *requestRecord) addAttempt(request *outboundRequest, result attemptResult, started time.Time) {
	if r == nil {
		return
	}
	attempt := &meshpb.Attempt{
		Endpoint: result.endpoint.ID(),
		Node:     result.endpoint.Node(),
		AtUs:     started.Sub(request.started).Microseconds(),
		TookUs:   result.took.Microseconds(),
		Outcome:  result.outcome.String(),
		Service:  request.service,
	}
	if result.outcome == retry.Answered {
		attempt.Code = uint32(result.response.StatusCode)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entry != nil {
		r.entry.Attempts = append(r.entry.Attempts, attempt)
	}
}

// setReply notes the response that the client gets.
func (r *requestRecord) setReply(code int, text string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entry != nil {
		r.entry.Code, r.entry.Outcome = uint32(code), text
	}
}
