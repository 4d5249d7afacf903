// Package endpointagent is a sidecar's account of the endpoint beside it: which
// incarnation runs, whether it is healthy, and how many requests it may be given
// at once.
//
// The endpoint sends heartbeats through the sidecar's control address. The Agent
// keeps the last one as Status, marks the endpoint unhealthy when heartbeats stay
// out or its address refuses connections, and judges it by the outcomes of the
// requests that it was given. OnChange is called with each change that other
// nodes act on; the node agent reports it to the master with the next poll.
//
// Requests pass through Admit, which gives them one of the endpoint's slots, or
// queues them by Priority, or rejects them at once where the wait would be too
// long. A request is admitted for one incarnation only: when another takes its
// place, whoever waits for the old one is rejected.
//
// All state belongs to the Agent and is guarded by its one mutex, which is held
// for short steps only; callers are the goroutines of requests and heartbeats and
// one that calls Tick. OnChange runs without the lock. The package starts no
// goroutine, sends nothing and keeps nothing on disk.
package endpointagent
