// Package proxy forwards requests from clients to endpoints.
//
// A request passes through two filter chains, each of which is an http.Handler.
// Outbound runs on the node that the client connects to, which is either a
// gateway or the sidecar of the calling service. It matches the request to a
// route, applies the route's policy and deadline, reads the body, looks up the
// endpoint of the session, and then makes attempts at endpoints until one
// responds (see outboundFilters). Inbound runs on the sidecar of an endpoint, the
// only process that connects to that endpoint. It admits the request to one of
// the endpoint's slots and forwards it (see inboundFilters). A gateway connects
// to endpoints without a sidecar directly.
//
// Each request is handled on the goroutine that net/http runs its handler on,
// which owns the request's state (outboundRequest, inboundRequest). Only hedged
// attempts (hedge.go) run on goroutines of their own; they treat that state as
// read-only, apart from the request record, which has its own lock. State shared
// between requests (the retry budget, the load balancer, the link pacer, the
// meters) is protected by briefly held locks or atomics.
//
// The chains keep three guarantees. A request that may have run is retried only
// if its route is idempotent. A response that may belong to another request is
// never relayed, and an incomplete one never appears complete to the client.
// Status 503, 429 or 408 is never sent for a request that may have run (see
// package localreply).
package proxy

import "github.com/zeebo/errs"

// Error is the error class of this package.
var Error = errs.Class("proxy")
