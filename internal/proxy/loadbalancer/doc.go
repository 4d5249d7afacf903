// Package loadbalancer chooses the endpoint for each attempt of a request.
//
// A Balancer holds the endpoints of the latest view as a copy-on-write table:
// ApplyView replaces the table under a lock, and choices read it without one.
// What the node learns of an endpoint while requests are carried (its load, the
// time its requests take, failures) is kept in atomics that outlive a view, so
// that all methods may be called from any goroutine. The package opens no
// connections, starts no goroutines and blocks on nothing.
//
// Where endpoints have sidecars, choices go by load: each response
// brings the endpoint's load, and the endpoint that should answer first is
// taken, with its own zone preferred (select.go, score.go). Where endpoints are
// dialled directly, nobody knows their whole load, and of two drawn ones the
// better is taken (direct.go). Reads of a key keep to the endpoints that key
// hashes to (hotkeys.go).
package loadbalancer
