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
	// defaultTimeLimit holds for a request without a deadline on a route without a
	// timeout.
	defaultTimeLimit = time.Minute
	// endpointPollInterval is how often a request without any endpoint looks for
	// one.
	endpointPollInterval = 20 * time.Millisecond
)

// simulatedRequest is one request under way.
type simulatedRequest struct {
	simulation *simulation
	node       *simulatedNode
	record     *meshpb.RequestRecord
	result     *Result
	random     *rand.Rand

	// routes is the table in force when the request began.
	routes      *routeconfig.Table
	route       *routeconfig.CompiledRoute
	path, query string
	plan        retry.Plan
	startUs     int64
	deadlineUs  int64

	// unplayed are the recorded attempts that have not been followed yet.
	unplayed []*meshpb.Attempt
	// sessionMoves counts how often the request's session was assigned anew.
	sessionMoves int
	// hedged tells that two attempts are under way.
	hedged bool
	done   bool
}

// startRequest begins a recorded request at the current virtual time.
func (s *simulation) startRequest(n *simulatedNode, record *meshpb.RequestRecord) {
	r := &simulatedRequest{
		simulation: s,
		node:       n,
		record:     record,
		result:     &Result{},
		random:     s.newRandom(record.Id),
		routes:     n.routes,
		startUs:    s.nowUs,
		unplayed:   slices.Clone(record.Attempts),
	}
	r.path, r.query, _ = strings.Cut(record.Target, "?")
	s.results[record] = r.result
	if !r.admit() {
		return
	}
	n.budget.RecordRequest(r.result.Service)
	r.planAttempts()
	r.nextAttempt()
}

// admit takes the request through the filters that precede the first attempt. It
// returns false if one of them answered.
func (r *simulatedRequest) admit() bool {
	if !r.matchRoute() || !r.pickService() || !r.authorize() {
		return false
	}
	r.setDeadline()
	return r.checkBodySize() && r.assignSession() && !r.repeatLocalReply()
}

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

// finishWithoutConfig answers at a node that has no configuration yet, as
// recorded if the recording has it so.
func (r *simulatedRequest) finishWithoutConfig() {
	if r.record.Code != 0 && r.record.Route == "" {
		r.finish(int(r.record.Code))
		return
	}
	r.finish(http.StatusServiceUnavailable)
}

func (r *simulatedRequest) pickService() bool {
	index, ok := r.route.PickService(r.record.Draw)
	if !ok {
		r.finish(localreply.NoEndpoint.Code())
		return false
	}
	r.result.Service = r.routes.Services[index].Name
	return true
}

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

// header returns what the recording has of a header; one that it does not have
// makes the result a model.
func (r *simulatedRequest) header(name string) string {
	value, ok := r.record.Headers[name]
	if !ok {
		r.result.FromModel = true
	}
	return value
}

// setDeadline bounds the request by the lesser of what its client asked for and
// the route's timeout.
func (r *simulatedRequest) setDeadline() {
	limit := microseconds(r.record.DeadlineUs)
	if limit == 0 || r.route.Timeout > 0 && r.route.Timeout < limit {
		limit = r.route.Timeout
	}
	if limit == 0 {
		limit = defaultTimeLimit
	}
	r.result.timeLimit = limit
	r.deadlineUs = r.startUs + limit.Microseconds()
}

func (r *simulatedRequest) checkBodySize() bool {
	if r.record.BodyBytes > r.routes.Limits.MaxBodyBytes {
		r.finish(http.StatusRequestEntityTooLarge)
		return false
	}
	return true
}

// assignSession finds the endpoint of the request's session, if it has one, as
// the live filter does.
func (r *simulatedRequest) assignSession() bool {
	session := r.record.Session
	if session == "" || r.route.SessionKey.Name == "" {
		return true
	}
	service := r.result.Service
	if index, ok := r.route.PickService(affinity.Position(session)); ok {
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

// repeatLocalReply ends a request that the recorded node answered itself, on the
// same route, for a reason that the recording does not have.
func (r *simulatedRequest) repeatLocalReply() bool {
	record, result := r.record, r.result
	sameRoute := result.Route == record.Route && result.Kind == record.Kind && result.Service == record.Service
	if !sameRoute || len(record.Attempts) > 0 || record.Code == 0 || record.Code == http.StatusNotFound {
		return false
	}
	r.finish(int(record.Code))
	return true
}

// planAttempts makes a plan of attempts at the service that was picked, which
// goes on from an earlier plan of the request.
func (r *simulatedRequest) planAttempts() {
	bulk := loadbalancer.IsBulk(r.route.Kind, r.record.BodyBytes)
	earlier := r.plan
	r.plan = retry.NewPlan(r.node.balancer, r.node.budget, r.route, r.result.Service, bulk)
	r.plan.ContinueFrom(earlier)
	r.plan.PinTo(r.result.SessionEndpoint)
	if r.route.HotKey.Location != "" {
		r.setHotKey()
	}
	if !r.hotKeyChanged() {
		r.plan.SetPreferred(r.nextRecordedEndpoint)
	}
}

func (r *simulatedRequest) setHotKey() {
	key := hotkeys.Hash(r.result.Service, r.route.HotKey.Extract(r.route.PathPrefix, r.path, r.query, r.header))
	r.plan.SetKey(key)
	if r.route.Kind.Idempotent() {
		r.node.keyMeter.Record(key, r.route.Name, r.result.Service, r.routeLatency())
	}
}

// hotKeyChanged tells that the request's key is read from another place than
// when it was recorded, so that its endpoint is chosen anew.
func (r *simulatedRequest) hotKeyChanged() bool {
	recorded := r.simulation.recordedRoutes[r.record.Config]
	if recorded == nil || !r.route.Kind.Idempotent() {
		return false
	}
	route := recorded.Match(r.record.Host, r.path)
	return route != nil && route.HotKey != r.route.HotKey
}

// nextRecordedEndpoint names the endpoint that the recorded request went to
// next, or "".
func (r *simulatedRequest) nextRecordedEndpoint() string {
	for _, attempt := range r.unplayed {
		if attempt.Service == r.result.Service {
			return attempt.Endpoint
		}
	}
	return ""
}

// routeLatency is the mean latency of the request's route, 0 if the recording
// has none.
func (r *simulatedRequest) routeLatency() time.Duration {
	return r.simulation.model.routeLatency[r.result.Route]
}

// elapsed is the virtual time since the request began.
func (r *simulatedRequest) elapsed() time.Duration {
	return microseconds(r.simulation.nowUs - r.startUs)
}

// remaining is the virtual time until the request's deadline.
func (r *simulatedRequest) remaining() time.Duration {
	return microseconds(r.deadlineUs - r.simulation.nowUs)
}

// nextAttempt sends the next attempt that the plan names, or ends the request.
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
		r.simulation.schedule(r.simulation.nowUs+endpointPollInterval.Microseconds(), r.nextAttempt)
	default:
		r.sendHedged(endpoint)
	}
}

// sendHedged sends an attempt and, if it stays silent, another beside it where
// the plan allows that.
func (r *simulatedRequest) sendHedged(endpoint *loadbalancer.Endpoint) {
	r.hedged = false
	answered := false
	r.send(endpoint, func(a Attempt) {
		answered = true
		r.attemptDone(endpoint, a)
	})
	if !r.plan.MayHedge() {
		return
	}
	delay := min(retry.HedgeDelay(r.routeLatency()), r.remaining()/2)
	r.simulation.schedule(r.simulation.nowUs+delay.Microseconds(), func() {
		if !answered && !r.done {
			r.sendHedge()
		}
	})
}

func (r *simulatedRequest) sendHedge() {
	endpoint, ok := r.plan.NextHedge()
	if !ok {
		return
	}
	r.hedged = true
	r.send(endpoint, func(a Attempt) { r.attemptDone(endpoint, a) })
}

// attemptDone takes the end of an attempt; of two that run side by side the
// first good one counts.
func (r *simulatedRequest) attemptDone(endpoint *loadbalancer.Endpoint, attempt Attempt) {
	r.result.Attempts = append(r.result.Attempts, attempt)
	if r.done {
		return
	}
	if r.retriesResponse(attempt) {
		attempt.outcome = retry.Failed
	}
	switch {
	case attempt.outcome == retry.Answered:
		r.result.answered = true
		r.finish(attempt.code)
	case attempt.outcome == retry.Canceled:
		r.result.clientGone = true
		r.finish(0)
	case r.hedged:
		r.hedged = false
		r.plan.HedgeFailed(endpoint, attempt.outcome)
	default:
		r.attemptFailed(endpoint, attempt.outcome)
	}
}

// retriesResponse tells that the response is a failure of the endpoint's that is
// tried again elsewhere instead of forwarded.
func (r *simulatedRequest) retriesResponse(attempt Attempt) bool {
	return attempt.outcome == retry.Answered && attempt.code >= http.StatusInternalServerError && r.route.Kind.Idempotent() &&
		(r.hedged || r.plan.MayRetry()) && r.node.budget.CanSpend(r.result.Service)
}

func (r *simulatedRequest) attemptFailed(endpoint *loadbalancer.Endpoint, outcome retry.Outcome) {
	if reply, ended := r.plan.AttemptFailed(endpoint, outcome, false); ended {
		r.giveUp(reply)
		return
	}
	r.nextAttempt()
}

// giveUp ends the request with a reply of the node's own, unless its session can
// be assigned anew.
func (r *simulatedRequest) giveUp(reply localreply.Reply) {
	if r.mayMoveSession(reply) {
		r.sessionMoves++
		if r.assignSession() {
			r.planAttempts()
			r.nextAttempt()
		}
		return
	}
	r.finish(r.plan.FinalReply(reply, r.remaining() <= 0).Code())
}

// mayMoveSession tells that the session's endpoint no longer takes requests,
// that this one has certainly not run, and that it may still move.
func (r *simulatedRequest) mayMoveSession(reply localreply.Reply) bool {
	if r.result.SessionEndpoint == "" || r.plan.MayHaveRun() || reply != localreply.NoEndpoint || r.sessionMoves >= proxy.MaxSessionMoves {
		return false
	}
	accepts, _ := r.node.balancer.Accepts(r.result.Service, r.result.SessionEndpoint)
	return !accepts
}

// finish ends the request with an HTTP status; only the first end counts.
func (r *simulatedRequest) finish(code int) {
	if r.done {
		return
	}
	r.done = true
	r.result.Code, r.result.took = code, r.elapsed()
	r.result.TookMs = r.result.took.Milliseconds()
}
