package proxy

import (
	"slices"
	"sync"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/routeconfig"
)

// pasts remembers the services that each place was led to by the versions seen
// here, to tell a session that a version moved from a new one.
type pasts struct {
	mu sync.Mutex
	m  map[string][]string
}

func (p *pasts) of(r *routeconfig.CompiledRoute, allowed []string) []string {
	k := r.Host + r.Prefix
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m == nil {
		p.m = map[string][]string{}
	}
	was := p.m[k]
	for _, s := range allowed {
		if !slices.Contains(was, s) {
			was = append(slices.Clone(was), s)
		}
	}
	p.m[k] = was
	return was
}

// Sits and Free tell the cords of this node's view.
func (p *Balancer) Accepts(service, id string) (bool, string) {
	y := p.cur.Load().by[service]
	if y == nil {
		return false, affinity.ReasonEnded
	}
	for _, r := range y.all {
		if r.id != id {
			continue
		}
		if r.up && !r.drained.Load() {
			return true, ""
		}
		return false, affinity.ReasonDrain
	}
	return false, affinity.ReasonEnded
}

func (p *Balancer) Available(service string) []string {
	y := p.cur.Load().by[service]
	if y == nil {
		return nil
	}
	good := make([]string, 0, len(y.all))
	for _, r := range y.all {
		if r.up && !r.grey && !r.drained.Load() {
			good = append(good, r.id)
		}
	}
	if len(good) == 0 {
		for _, r := range y.all {
			if r.up && !r.drained.Load() {
				good = append(good, r.id)
			}
		}
	}
	return good
}

func (t *trip) session() string {
	k := t.route.SessionKey
	if k.Name == "" || t.b.o.Sessions == nil {
		return ""
	}
	v := ""
	if k.FromCookie {
		if c, err := t.r.Cookie(k.Name); err == nil {
			v = c.Value
		}
	} else {
		v = t.r.Header.Get(k.Name)
	}
	if v == "" {
		return ""
	}
	return affinity.SessionKey(k.String(), v)
}

// plug leads a session's request to the instance that knows the session.
func (t *trip) plug() bool {
	if t.pinned = t.session(); t.pinned == "" {
		return false
	}
	return t.seat()
}

// MoveTries is how often one request may find its session moved.
const MaxSessionMoves = 3

func (t *trip) seat() bool {
	allowed := t.plan.ActiveServices(t.route)
	service := t.to
	if i, ok := t.route.PickService(affinity.Position(t.pinned)); ok {
		service = t.plan.Services[i].Name
	}
	q := affinity.Query{SessionKey: t.pinned, AllowedServices: allowed, Service: service, EarlierServices: t.b.pasts.of(t.route, allowed)}
	for {
		p := t.b.o.Sessions.Find(t.ctx, q, t.b.o.Balancer)
		if p.State != affinity.Pending {
			t.to, t.only, t.wait = p.Service, p.Endpoint, 0
			return false
		}
		t.wait = p.RetryAfter
		end := t.t0.Add(max(t.route.LatencyTarget/2, 100*time.Millisecond))
		if time.Now().Add(p.RetryAfter).After(end) || !t.pause(max(p.RetryAfter, 5*time.Millisecond)) {
			return t.give(refused)
		}
	}
}
