// Package affinity routes all requests of a session to the same endpoint.
//
// The pin of a session, which says at which endpoint it is served, is part of the
// control state, which the core nodes own (package coordination). Sessions is one
// node's cache of these pins. Find answers from the cache while the pinned
// endpoint accepts requests. It asks the core about sessions that are not cached
// and about those whose endpoint no longer accepts requests. A session moves only
// after the core has recorded the move, so that all nodes route it to the same
// endpoint. While no core node answers, cached pins remain in force, and new
// sessions go to the endpoint chosen by the hash of their key.
//
// Sessions is safe for concurrent use: a mutex guards the cache and is never held
// during a call to the core. Find calls the core on the goroutine of the request.
// The pins of sessions in use are refreshed on goroutines that each end after one
// call.
package affinity
