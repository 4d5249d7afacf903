// Package loadestimate estimates, before an endpoint is added or retired, which
// requests would go to another one.
//
// # Model
//
// Nodes report the flows that they send: requests per second by route and
// endpoint, with their latency. Run plays these flows against the load balancer
// of the proxies in a discrete-event simulation, once with the present
// endpoints and once with those after the change. Endpoints are queues with as
// many servers as they have slots; how fast each works is calibrated until the
// simulation of the present gives the latencies that were measured. What the
// estimate says of an endpoint is its measured rate, scaled by how its simulated
// share changes.
//
// Check holds an estimate against flows that were measured after the change.
//
// # State
//
// Run and Check keep no state, run on the caller's goroutine and do no I/O; the
// same seed gives the same estimate.
package loadestimate
