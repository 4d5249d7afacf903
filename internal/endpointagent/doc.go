// Package endpointagent tracks the endpoint next to a sidecar: which incarnation of
// it runs, whether it is healthy, and how many concurrent requests it accepts.
//
// The endpoint sends heartbeats to the sidecar's control address. The Agent stores
// the latest one in its Status. It marks the endpoint unhealthy after missed
// heartbeats or refused connections, and derives the failure percentage from the
// outcomes of forwarded requests. OnChange is called after each change that is
// relevant to other nodes; the node agent reports it to the master in its next poll
// response.
//
// Each request passes through Admit, which assigns it one of the endpoint's slots,
// queues it by Priority, or rejects it immediately if the estimated wait is too long
// or the queue is full. A request is admitted for one incarnation only: when another
// incarnation replaces it, all requests queued for the old one are rejected.
//
// The Agent owns all state and guards it with a single mutex, which is never held
// across a blocking operation. It is called by the goroutines that serve requests and
// heartbeats and by the one that calls Tick. OnChange is called without the mutex
// held. The package starts no goroutines, sends nothing over the network and stores
// nothing on disk.
package endpointagent
