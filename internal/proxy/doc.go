// Package proxy carries requests from a client to an endpoint.
//
// A request passes two chains of filters, each an http.Handler. Outbound is the
// chain at the node that the client talks to, a gateway or the sidecar of a
// calling service: it matches the request to a route, applies the route's policy
// and deadline, reads the body, pins the session, and then makes attempts at
// endpoints until one answers (see outboundFilters). Inbound is the chain at the
// sidecar beside an endpoint, which alone talks to that endpoint: it admits the
// request to a slot and forwards it (see inboundFilters). A gateway has no
// sidecar on the other side and dials endpoints itself.
//
// Each request is carried by the goroutine that net/http runs its handler on,
// which owns the request's state (outboundRequest, inboundRequest); only hedged
// attempts (hedge.go) run on goroutines of their own, and these only read it. What
// requests share (the retry budget, the load balancer, the pacer of the link,
// meters) guards itself with short locks or atomics.
//
// The chains never send a request on that may have run unless its route says
// that it can be repeated, never pass an endpoint's response on that may be
// another request's or incomplete as if it were whole, and never answer 503, 429
// or 408 for a request that may have run (see package localreply).
package proxy

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("proxy")
