// Package loadbalancer chooses the endpoint for each attempt of a request.
//
// A Balancer holds the endpoints of the latest view in a copy-on-write table:
// ApplyView replaces the table under a lock, and Pick reads it without locking.
// What the node learns about an endpoint while it sends requests (load, service
// time, failures) is kept in state that outlives a view and is updated
// atomically or under short locks, so that all methods may be called from any
// goroutine. The package opens no connections, starts no goroutines and does no
// blocking I/O.
//
// For endpoints with sidecars, the choice is based on load: each response
// carries a load report, and the endpoint with the lowest expected response time
// is chosen, preferably in the node's own zone (select.go, score.go). Where
// endpoints are dialled directly, no node knows their total load, and the better
// of two randomly chosen endpoints is taken (direct.go). Requests that read a
// key go to the endpoints that rendezvous hashing assigns to the key
// (hotkeys.go).
package loadbalancer
