// Package controlapi implements the HTTP API of the control plane. CoreServer runs on
// every core member and serves operators and applications: locks, counters, key-value
// pairs ("cells"), watches and the configuration. EndpointServer runs in a sidecar and
// receives the heartbeats of the endpoint next to it.
//
// A request for a shard is answered by the shard's owner. Any other member forwards
// the request to the owner, or redirects the caller if it cannot forward it.
// Configuration changes are always redirected.
//
// Handlers run on the goroutines of net/http. The state belongs to package
// coordination, which reads and modifies it on the replica's goroutine. This package
// itself keeps only the configuration that was parsed last, as a cache, and the memory
// limits for configuration bodies.
//
// A request is retried only if it is known to have made no change. Status 503
// guarantees that no change was made; status 500 means that the outcome is unknown. A
// change is reported as done only after a majority of the members has stored it.
package controlapi

import "github.com/zeebo/errs"

// Error is the class of the errors in this package.
var Error = errs.Class("controlapi")
