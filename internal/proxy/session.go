package proxy

import (
	"slices"
	"sync"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/proxy/localreply"
	"corkcove/internal/routeconfig"
)

// MaxSessionMoves is how often one request may find its session moved.
const MaxSessionMoves = 3

const (
	// minSessionPoll keeps a request from asking in a tight loop where its
	// session's endpoint is.
	minSessionPoll = 5 * time.Millisecond
	// minSessionWait is how long a request waits at least for its session's move;
	// it waits for half of its route's latency target where that is longer.
	minSessionWait = 100 * time.Millisecond
)

// sessionPin is the session of a request, if it has one.
type sessionPin struct {
	key string
	// endpoint is the only endpoint that the request may go to.
	endpoint string
	// retryAfter is after what time a session that is moving may be asked for
	// again.
	retryAfter time.Duration
}

// earlierServices remembers the services that each route led to by the versions
// seen here, to tell a session that a version moved from a new one. The zero
// value is ready for use.
type earlierServices struct {
	mu       sync.Mutex
	services map[string][]string
}

// add adds the services that the route leads to now and returns all it led to.
func (e *earlierServices) add(route *routeconfig.CompiledRoute, active []string) []string {
	key := route.Host + route.Prefix
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.services == nil {
		e.services = map[string][]string{}
	}
	known := e.services[key]
	for _, service := range active {
		if !slices.Contains(known, service) {
			known = append(slices.Clone(known), service)
		}
	}
	e.services[key] = known
	return known
}

// sessionKey returns the key of the request's session, empty if it has none.
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

// pinSession leads a session's request to the endpoint that knows the session.
func (r *outboundRequest) pinSession() (done bool) {
	r.session.key = r.sessionKey()
	if r.session.key == "" {
		return false
	}
	return r.findSessionEndpoint()
}

// findSessionEndpoint waits for a session that is moving, as long as the request
// has time.
func (r *outboundRequest) findSessionEndpoint() (done bool) {
	query := r.sessionQuery()
	end := r.started.Add(max(r.route.LatencyTarget/2, minSessionWait))
	for {
		found := r.outbound.options.Sessions.Find(r.ctx, query, r.outbound.options.Balancer)
		if found.State != affinity.Pending {
			r.service, r.session.endpoint, r.session.retryAfter = found.Service, found.Endpoint, 0
			return false
		}
		r.session.retryAfter = found.RetryAfter
		if time.Now().Add(found.RetryAfter).After(end) || !r.sleep(max(found.RetryAfter, minSessionPoll)) {
			return r.giveUp(localreply.NoEndpoint)
		}
	}
}

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
		EarlierServices: r.outbound.earlierServices.add(r.route, active),
	}
}
