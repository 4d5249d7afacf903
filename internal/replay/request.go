package replay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/hotkeys"
	"corkcove/internal/proxy"
	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/localreply"
	"corkcove/internal/proxy/retry"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

const (
	// defaultTimeout applies to a request without a deadline on a route without a
	// timeout.
	defaultTimeout = time.Minute
	// noEndpointRetryDelay is the interval at which a request that has no endpoint
	// available looks for one again.
	noEndpointRetryDelay = 20 * time.Millisecond
)

// simulatedRequest is a request in progress.
type simulatedRequest struct {
	simulation *simulation
	node       *simulatedNode
	record     *meshpb.RequestRecord
	result     *Result
	random     *rand.Rand

	// routes is the route table in effect when the request started.
	routes      *routeconfig.Table
	route       *routeconfig.CompiledRoute
	path, query string
	plan        retry.Plan
	startUs     int64
	deadlineUs  int64

	// remainingAttempts are the recorded attempts that have not been replayed yet.
	remainingAttempts []*meshpb.Attempt
	// sessionMoves counts how often the request's session was reassigned.
	sessionMoves int
	// hedgeInFlight means that a hedged attempt was sent and that neither it nor
	// the first attempt has failed yet.
	hedgeInFlight bool
	done          bool
}

// startRequest starts a recorded request at the current virtual time.
func (s *simulation) startRequest(n *simulatedNode, record *meshpb.RequestRecord) {
	r := &simulatedRequest{
		simulation:        s,
		node:              n,
		record:            record,
		result:            &Result{},
		random:            s.newRandom(record.Id),
		routes:            n.routes,
		startUs:           s.nowUs,
		remainingAttempts: slices.Clone(record.Attempts),
	}
	r.path, r.query, _ = strings.Cut(record.Target, "?")
	s.results[record] = r.result
	if !r.applyFilters() {
		return
	}
	n.budget.RecordRequest(r.result.Service)
	r.planAttempts()
	r.nextAttempt()
}

// applyFilters runs the filters that precede the first attempt. It returns false if
// one of them has ended the request.
func (r *simulatedRequest) applyFilters() bool {
	if !r.matchRoute() || !r.pickService() || !r.authorize() {
		return false
	}
	r.setDeadline()
	return r.checkBodySize() && r.assignSession() && !r.replayLocalReply()
}

// matchRoute finds the request's route. It ends the request and returns false if
// there is none.
func (r *simulatedRequest) matchRoute() bool {
	if r.routes == nil {
		r.finishWithoutConfig()
		return false
	}
	r.route = r.routes.Match(r.record.Host, r.path)
	if r.route == nil {
		r.finish(localreply.NoRoute.Code())
		return false
	}
	r.result.Route, r.result.Kind = r.route.Name, r.route.Kind.String()
	r.result.kind, r.result.latencyTarget = r.route.Kind, r.route.LatencyTarget
	return true
}

// finishWithoutConfig ends a request at a node that has no configuration yet. If
// the recorded request was answered without a route, its recorded status is
// repeated.
func (r *simulatedRequest) finishWithoutConfig() {
	if r.record.Code != 0 && r.record.Route == "" {
		r.finish(int(r.record.Code))
		return
	}
	r.finish(http.StatusServiceUnavailable)
}

// pickService picks the service with the random number of the recording, so that
// the result differs only if the route's traffic split does. It ends the request
// and returns false if no service is available.
func (r *simulatedRequest) pickService() bool {
	index, ok := r.route.PickService(r.record.Draw)
	if !ok {
		r.finish(localreply.NoEndpoint.Code())
		return false
	}
	r.result.Service = r.routes.Services[index].Name
	return true
}

// authorize evaluates the route's policy. It ends the request and returns false if
// the policy denies access.
func (r *simulatedRequest) authorize() bool {
	if r.route.Policy == nil {
		return true
	}
	allowed, _ := r.route.Policy.Allows(routeconfig.PolicyInput{
		Method:    r.record.Method,
		Path:      r.path,
		Query:     r.query,
		Caller:    r.record.Caller,
		BodyBytes: int(r.record.BodyBytes),
		Header:    r.header,
	})
	if !allowed {
		r.finish(localreply.Forbidden.Code())
	}
	return allowed
}

// header returns the recorded value of a header. If the header was not recorded, it
// marks the result as not derived from the recording alone.
func (r *simulatedRequest) header(name string) string {
	value, ok := r.record.Headers[name]
	if !ok {
		r.result.FromModel = true
	}
	return value
}

// setDeadline limits the request to the shorter of the deadline requested by the
// client and the route's timeout.
func (r *simulatedRequest) setDeadline() {
	limit := microseconds(r.record.DeadlineUs)
	if limit == 0 || r.route.Timeout > 0 && r.route.Timeout < limit {
		limit = r.route.Timeout
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	r.result.timeLimit = limit
	r.deadlineUs = r.startUs + limit.Microseconds()
}

// checkBodySize ends the request and returns false if its body exceeds the limit of
// the configuration.
func (r *simulatedRequest) checkBodySize() bool {
	if r.record.BodyBytes > r.routes.Limits.MaxBodyBytes {
		r.finish(http.StatusRequestEntityTooLarge)
		return false
	}
	return true
}

// assignSession looks up the service and the endpoint of the request's session, if
// it has one, as package proxy does for live requests. It ends the request and
// returns false if the session has no endpoint at present.
func (r *simulatedRequest) assignSession() bool {
	session := r.record.Session
	if session == "" || r.route.SessionKey.Name == "" {
		return true
	}
	service := r.result.Service
	if index, ok := r.route.PickService(affinity.HashFraction(session)); ok {
		service = r.routes.Services[index].Name
	}
	assignment := r.node.sessions.Find(context.Background(), affinity.Query{
		SessionKey:      session,
		AllowedServices: r.routes.ActiveServices(r.route),
		Service:         service,
		EarlierServices: []string{r.record.Service},
	}, r.node.balancer)
	if assignment.State == affinity.Pending {
		r.finish(localreply.NoEndpoint.Code())
		return false
	}
	r.result.Service, r.result.SessionEndpoint = assignment.Service, assignment.Endpoint
	return true
}

// replayLocalReply ends a request with the recorded status, and returns true, if the
// recorded node replied itself without an attempt and the request still has the
// same route, kind and service. The recording does not contain the reason for such
// a reply, so it cannot be simulated.
func (r *simulatedRequest) replayLocalReply() bool {
	record, result := r.record, r.result
	sameRoute := result.Route == record.Route && result.Kind == record.Kind && result.Service == record.Service
	if !sameRoute || len(record.Attempts) > 0 || record.Code == 0 || record.Code == http.StatusNotFound {
		return false
	}
	r.finish(int(record.Code))
	return true
}

// planAttempts creates the attempt plan for the request's current service. The
// arrivals of an earlier plan of the request count towards its limit.
func (r *simulatedRequest) planAttempts() {
	bulk := loadbalancer.IsBulk(r.route.Kind, r.record.BodyBytes)
	earlier := r.plan
	r.plan = retry.NewPlan(r.node.balancer, r.node.budget, r.route, r.result.Service, bulk)
	r.plan.ContinueFrom(earlier)
	r.plan.PinTo(r.result.SessionEndpoint)
	if r.route.HotKey.Location != "" {
		r.setHotKey()
	}
	if !r.hotKeySourceChanged() {
		r.plan.SetPreferred(r.nextRecordedEndpoint)
	}
}

// setHotKey passes the hash of the request's hot key to the plan. Idempotent requests
// are also counted by the node's key meter.
func (r *simulatedRequest) setHotKey() {
	key := hotkeys.Hash(r.result.Service, r.route.HotKey.Extract(r.route.PathPrefix, r.path, r.query, r.header))
	r.plan.SetKey(key)
	if r.route.Kind.Idempotent() {
		r.node.keyMeter.Record(key, r.route.Name, r.result.Service, r.routeLatency())
	}
}

// hotKeySourceChanged reports whether the request's hot key is extracted from a
// different part of the request than in the recorded configuration. Its endpoint is
// then chosen by the load balancer and not taken from the recording.
func (r *simulatedRequest) hotKeySourceChanged() bool {
	recorded := r.simulation.recordedRoutes[r.record.Config]
	if recorded == nil || !r.route.Kind.Idempotent() {
		return false
	}
	route := recorded.Match(r.record.Host, r.path)
	return route != nil && route.HotKey != r.route.HotKey
}

// nextRecordedEndpoint returns the ID of the endpoint of the next remaining recorded
// attempt at the request's current service, or "".
func (r *simulatedRequest) nextRecordedEndpoint() string {
	for _, attempt := range r.remainingAttempts {
		if attempt.Service == r.result.Service {
			return attempt.Endpoint
		}
	}
	return ""
}

// routeLatency returns the mean latency of the request's route, or 0 if the
// recording has no successful attempt on it.
func (r *simulatedRequest) routeLatency() time.Duration {
	return r.simulation.model.routeLatency[r.result.Route]
}

// elapsed returns the virtual time since the request started.
func (r *simulatedRequest) elapsed() time.Duration {
	return microseconds(r.simulation.nowUs - r.startUs)
}

// remaining returns the virtual time until the request's deadline.
func (r *simulatedRequest) remaining() time.Duration {
	return microseconds(r.deadlineUs - r.simulation.nowUs)
}

// nextAttempt takes the plan's next action: it sends an attempt, waits for an
// endpoint, or gives up.
func (r *simulatedRequest) nextAttempt() {
	if r.done {
		return
	}
	if r.remaining() <= 0 {
		r.giveUp(localreply.NoEndpoint)
		return
	}
	endpoint, action := r.plan.Next()
	switch action {
	case retry.GiveUp:
		r.giveUp(localreply.NoEndpoint)
	case retry.Wait:
		r.simulation.schedule(r.simulation.nowUs+noEndpointRetryDelay.Microseconds(), r.nextAttempt)
	default:
		r.sendWithHedge(endpoint)
	}
}

// sendWithHedge sends an attempt and, if it has not ended after the hedge delay, a
// hedged one, provided that the plan allows it.
func (r *simulatedRequest) sendWithHedge(endpoint *loadbalancer.Endpoint) {
	r.hedgeInFlight = false
	ended := false
	r.send(endpoint, func(a Attempt) {
		ended = true
		r.attemptDone(endpoint, a)
	})
	if !r.plan.MayHedge() {
		return
	}
	delay := min(retry.HedgeDelay(r.routeLatency()), r.remaining()/2)
	r.simulation.schedule(r.simulation.nowUs+delay.Microseconds(), func() {
		if !ended && !r.done {
			r.sendHedge()
		}
	})
}

func (r *simulatedRequest) sendHedge() {
	endpoint, ok := r.plan.NextHedge()
	if !ok {
		return
	}
	r.hedgeInFlight = true
	r.send(endpoint, func(a Attempt) { r.attemptDone(endpoint, a) })
}

// attemptDone handles the end of an attempt. Of two concurrent attempts, the first
// one that ends without a failure ends the request.
func (r *simulatedRequest) attemptDone(endpoint *loadbalancer.Endpoint, attempt Attempt) {
	r.result.Attempts = append(r.result.Attempts, attempt)
	if r.done {
		return
	}
	if r.shouldRetryResponse(attempt) {
		attempt.outcome = retry.Failed
	}
	switch {
	case attempt.outcome == retry.Answered:
		r.result.answered = true
		r.finish(attempt.code)
	case attempt.outcome == retry.Canceled:
		r.result.clientGone = true
		r.finish(0)
	case r.hedgeInFlight:
		r.hedgeInFlight = false
		r.plan.HedgeFailed(endpoint, attempt.outcome)
	default:
		r.attemptFailed(endpoint, attempt.outcome)
	}
}

// shouldRetryResponse reports whether the response is a server error that is retried
// at another endpoint instead of being forwarded.
func (r *simulatedRequest) shouldRetryResponse(attempt Attempt) bool {
	return attempt.outcome == retry.Answered && attempt.code >= http.StatusInternalServerError && r.route.Kind.Idempotent() &&
		(r.hedgeInFlight || r.plan.MayRetry()) && r.node.budget.CanSpend(r.result.Service)
}

func (r *simulatedRequest) attemptFailed(endpoint *loadbalancer.Endpoint, outcome retry.Outcome) {
	if reply, ended := r.plan.AttemptFailed(endpoint, outcome, false); ended {
		r.giveUp(reply)
		return
	}
	r.nextAttempt()
}

// giveUp ends the request with a local reply of the node, unless its session may be
// reassigned to another endpoint.
func (r *simulatedRequest) giveUp(reply localreply.Reply) {
	if r.sessionMayMove(reply) {
		r.sessionMoves++
		if r.assignSession() {
			r.planAttempts()
			r.nextAttempt()
		}
		return
	}
	r.finish(r.plan.FinalReply(reply, r.remaining() <= 0).Code())
}

// sessionMayMove reports whether the request may follow its session to another
// endpoint: the current one no longer accepts requests, no endpoint can have run
// this request, and proxy.MaxSessionMoves is not reached.
func (r *simulatedRequest) sessionMayMove(reply localreply.Reply) bool {
	if r.result.SessionEndpoint == "" || r.plan.MayHaveRun() || reply != localreply.NoEndpoint || r.sessionMoves >= proxy.MaxSessionMoves {
		return false
	}
	accepts, _ := r.node.balancer.Accepts(r.result.Service, r.result.SessionEndpoint)
	return !accepts
}

// finish ends the request with an HTTP status, 0 if the client disconnected. Calls
// after the first have no effect.
func (r *simulatedRequest) finish(code int) {
	if r.done {
		return
	}
	r.done = true
	r.result.Code, r.result.took = code, r.elapsed()
	r.result.TookMs = r.result.took.Milliseconds()
}
