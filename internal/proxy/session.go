package proxy

import (
	"slices"
	"sync"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/proxy/localreply"
	"corkcove/internal/routeconfig"
)

// MaxSessionMoves limits how many times one request follows its session to
// another endpoint.
const MaxSessionMoves = 3

const (
	// minSessionPollInterval is the shortest pause between two lookups of a
	// session's endpoint, so that a request does not poll in a tight loop.
	minSessionPollInterval = 5 * time.Millisecond
	// minSessionMoveWait is the minimum time, from the start of a request, that
	// it waits for its session to move. The limit is half of the route's latency
	// target if that is longer.
	minSessionMoveWait = 100 * time.Millisecond
)

// sessionPin is the session of a request and the endpoint it is pinned to.
type sessionPin struct {
	// key is the session key; empty if the request has no session.
	key string
	// endpoint is the ID of the only endpoint that the request may be sent to.
	endpoint string
	// retryAfter is the time after which the endpoint of a moving session may be
	// looked up again; 0 if the session is not moving.
	retryAfter time.Duration
}

// serviceHistory holds, for each route, the services that it has led to in any
// configuration version seen by this node. It distinguishes a session that a new
// version moves to another service from a new session. The zero value is ready to
// use.
type serviceHistory struct {
	mu sync.Mutex
	// services is keyed by the route's host and path prefix.
	services map[string][]string
}

// add adds the active services of the route and returns all services in its
// history.
func (h *serviceHistory) add(route *routeconfig.CompiledRoute, active []string) []string {
	key := route.Host + route.PathPrefix
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.services == nil {
		h.services = map[string][]string{}
	}
	known := h.services[key]
	for _, service := range active {
		if !slices.Contains(known, service) {
			known = append(slices.Clone(known), service)
		}
	}
	h.services[key] = known
	return known
}

// sessionKey returns the key of the request's session, or "" if it has none.
func (r *outboundRequest) sessionKey() string {
	source := r.route.SessionKey
	if source.Name == "" || r.outbound.options.Sessions == nil {
		return ""
	}
	value := ""
	if source.FromCookie {
		if cookie, err := r.request.Cookie(source.Name); err == nil {
			value = cookie.Value
		}
	} else {
		value = r.request.Header.Get(source.Name)
	}
	if value == "" {
		return ""
	}
	return affinity.SessionKey(source.String(), value)
}

// pinSession looks up the endpoint that the request's session is pinned to.
func (r *outboundRequest) pinSession() (done bool) {
	r.session.key = r.sessionKey()
	if r.session.key == "" {
		return false
	}
	return r.findSessionEndpoint()
}

// findSessionEndpoint looks up the session's service and endpoint. While the
// session is moving, it polls until the wait limit is reached and then fails the
// request.
func (r *outboundRequest) findSessionEndpoint() (done bool) {
	query := r.sessionQuery()
	waitDeadline := r.started.Add(max(r.route.LatencyTarget/2, minSessionMoveWait))
	for {
		found := r.outbound.options.Sessions.Find(r.ctx, query, r.outbound.options.Balancer)
		if found.State != affinity.Pending {
			r.service, r.session.endpoint, r.session.retryAfter = found.Service, found.Endpoint, 0
			return false
		}
		r.session.retryAfter = found.RetryAfter
		if time.Now().Add(found.RetryAfter).After(waitDeadline) || !r.sleep(max(found.RetryAfter, minSessionPollInterval)) {
			return r.giveUp(localreply.NoEndpoint)
		}
	}
}

// sessionQuery returns the affinity query for the request's session. The service
// for a new session is picked by the hash of the session key, not by the
// request's draw.
func (r *outboundRequest) sessionQuery() affinity.Query {
	active := r.routes.ActiveServices(r.route)
	service := r.service
	if index, ok := r.route.PickService(affinity.Position(r.session.key)); ok {
		service = r.routes.Services[index].Name
	}
	return affinity.Query{
		SessionKey:      r.session.key,
		AllowedServices: active,
		Service:         service,
		EarlierServices: r.outbound.serviceHistory.add(r.route, active),
	}
}
