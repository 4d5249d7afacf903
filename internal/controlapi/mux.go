package controlapi

import (
	"net/http"
	"strings"
	"sync/atomic"

	"corkcove/internal/names"
)

// request is an HTTP request that was matched to a route.
type request struct {
	// name is the rest of the path after the route's prefix, escaped by names.Escape. It
	// is empty if the route does not end with a name.
	name string
	*http.Request
	// responseHeader is the header of the response.
	responseHeader http.Header
}

// handlerFunc handles a matched request.
type handlerFunc func(http.ResponseWriter, request)

// namePlaceholder is the suffix of a route pattern whose path ends with a name.
const namePlaceholder = "{}"

// route maps a method and a path to a handler.
type route struct {
	method string
	// prefix is the whole path of the route, or the part before the name. In the second
	// case it ends with a slash.
	prefix  string
	handler handlerFunc
}

// Mux dispatches requests to handlers by method and path. Unlike http.ServeMux it does
// not clean paths, because a name may contain any bytes.
type Mux struct {
	routes   []route
	draining atomic.Bool
}

// Drain makes all later responses carry "Connection: close", so that callers use another
// connection for their next request. It leaves idle connections open: closing one could
// interrupt a request that is being sent.
func (m *Mux) Drain() { m.draining.Store(true) }

// handle registers a handler for a pattern such as "GET /-/cells/{}".
func (m *Mux) handle(pattern string, handler handlerFunc) {
	method, path, _ := strings.Cut(pattern, " ")
	m.routes = append(m.routes, route{method, strings.TrimSuffix(path, namePlaceholder), handler})
}

// ServeHTTP implements http.Handler. It responds with status 404 if no route has the
// path, and with 405 if none of those that have it accepts the method.
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
			route.handler(w, request{names.Escape(name), r, w.Header()})
			return
		}
		unmatched = statusMethodNotAllowed
	}
	response{status: unmatched}.write(w)
}

// match reports whether the path belongs to the route, and returns the name at the end
// of the path if the route has one. An empty name does not match.
func (r route) match(path string) (name string, ok bool) {
	if !strings.HasSuffix(r.prefix, "/") {
		return "", path == r.prefix
	}
	name, ok = strings.CutPrefix(path, r.prefix)
	return name, ok && name != ""
}
