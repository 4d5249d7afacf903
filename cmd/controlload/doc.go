// Command controlload measures the control plane at sizes that one machine can't
// hold whole. It starts real core processes on loopback addresses and, in its
// own process, many simulated nodes: each has the real node agent
// and a listener of its own, but an endpoint that exists only in what the node
// reports, and no traffic. It plays one scenario for each size, prints one JSON
// object for it, and ends by itself with all that it started.
//
// The scenario runs on the main goroutine. What simulated nodes have heard is
// set by their agents and is atomic.
package main
