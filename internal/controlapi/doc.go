// Package controlapi is the HTTP interface of the control plane: CoreServer
// serves operators and applications on each core member (locks, numbers, cells,
// watches, the configuration), EndpointServer serves the endpoint beside a
// sidecar (heartbeats).
//
// A request about a shard is answered by the shard's owner. A member that does
// not own it sends the request on to the owner, or redirects the caller where
// it cannot. Requests run on the goroutine that net/http gives them; the state
// belongs to the coordination package, which lets its replica's goroutine read
// and change it. What this package keeps itself is a cache of the configuration
// read last, and the bounds on configuration bodies in memory.
//
// Retries happen only for what was not done: status 503 promises that nothing
// was, and status 500 that nobody knows. No answer claims a change before a
// quorum has it.
package controlapi

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("controlapi")
