package controlapi

import (
	"net/http"
	"strings"
	"sync/atomic"
)

// request is a call under way: an HTTP request, and the name that its path ends
// with where the route has one.
type request struct {
	name string
	*http.Request
}

type handlerFunc func(http.ResponseWriter, request)

// namePlaceholder ends the pattern of a route whose path ends with a name.
const namePlaceholder = "{}"

type route struct {
	method  string
	prefix  string
	handler handlerFunc
}

// Mux finds handlers by method and path. It does not clean paths: a name may
// hold any bytes.
type Mux struct {
	routes   []route
	draining atomic.Bool
}

// Drain asks callers to use another connection for their next request. Idle
// connections stay open: closing one could cut a request that is being sent.
func (m *Mux) Drain() { m.draining.Store(true) }

// handle registers a handler for a pattern such as "GET /-/cells/{}".
func (m *Mux) handle(pattern string, handler handlerFunc) {
	method, path, _ := strings.Cut(pattern, " ")
	m.routes = append(m.routes, route{method, strings.TrimSuffix(path, namePlaceholder), handler})
}

// ServeHTTP implements http.Handler.
func (m *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	unmatched := statusNotFound
	for _, route := range m.routes {
		name, ok := route.match(r.URL.Path)
		if !ok {
			continue
		}
		if route.method == r.Method {
			route.handler(w, request{name, r})
			return
		}
		unmatched = statusMethodNotAllowed
	}
	response{status: unmatched}.write(w)
}

// match returns the name that the path ends with, if the route has one.
func (e route) match(path string) (name string, ok bool) {
	if !strings.HasSuffix(e.prefix, "/") {
		return "", path == e.prefix
	}
	name, ok = strings.CutPrefix(path, e.prefix)
	return name, ok && name != ""
}
