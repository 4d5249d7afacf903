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
func (x *exchange) sessionKey() string {
	source := x.route.SessionKey
	if source.Name == "" || x.outbound.options.Sessions == nil {
		return ""
	}
	value := ""
	if source.FromCookie {
		if cookie, err := x.request.Cookie(source.Name); err == nil {
			value = cookie.Value
		}
	} else {
		value = x.request.Header.Get(source.Name)
	}
	if value == "" {
		return ""
	}
	return affinity.SessionKey(source.String(), value)
}

// pinSession leads a session's request to the endpoint that knows the session.
func (x *exchange) pinSession() (done bool) {
	x.session.key = x.sessionKey()
	if x.session.key == "" {
		return false
	}
	return x.findSessionEndpoint()
}

// findSessionEndpoint waits for a session that is moving, as long as the request
// has time.
func (x *exchange) findSessionEndpoint() (done bool) {
	query := x.sessionQuery()
	end := x.started.Add(max(x.route.LatencyTarget/2, minSessionWait))
	for {
		found := x.outbound.options.Sessions.Find(x.ctx, query, x.outbound.options.Balancer)
		if found.State != affinity.Pending {
			x.service, x.session.endpoint, x.session.retryAfter = found.Service, found.Endpoint, 0
			return false
		}
		x.session.retryAfter = found.RetryAfter
		if time.Now().Add(found.RetryAfter).After(end) || !x.sleep(max(found.RetryAfter, minSessionPoll)) {
			return x.giveUp(localreply.NoEndpoint)
		}
	}
}

func (x *exchange) sessionQuery() affinity.Query {
	active := x.routes.ActiveServices(x.route)
	service := x.service
	if index, ok := x.route.PickService(affinity.Position(x.session.key)); ok {
		service = x.routes.Services[index].Name
	}
	return affinity.Query{
		SessionKey:      x.session.key,
		AllowedServices: active,
		Service:         service,
		EarlierServices: x.outbound.earlierServices.add(x.route, active),
	}
}
