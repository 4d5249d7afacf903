// Package loadestimate predicts how traffic is redistributed when an endpoint is
// added or retired.
//
// # Model
//
// Each node reports the flows that it sends: requests per second by route and
// endpoint, with their mean latency. Run feeds these flows through the proxies'
// load balancer in a discrete-event simulation, once with the current endpoints
// and once with the endpoints after the change. Each endpoint is modeled as a
// queue with one server per slot. The service times of the endpoints are
// calibrated over a fixed number of rounds, so that the simulated latencies of
// the current endpoints approach the measured ones. The predicted rate of an
// endpoint is its measured rate, scaled by the change of its simulated share.
//
// Check compares an estimate with the flows measured after the change.
//
// # State
//
// Run and Check keep no state, run on the caller's goroutine and do no I/O. The
// same input with the same seed gives the same estimate.
package loadestimate
