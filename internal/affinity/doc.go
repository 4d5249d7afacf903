// Package affinity keeps sessions at the endpoint that they began at.
//
// Which endpoint a session is pinned to is part of the control state, which the
// core nodes own (package coordination). Sessions is one node's cache of these
// pins: Find answers from it while the pinned endpoint takes requests, and asks
// the core about sessions that are new here and about those whose endpoint does
// not take requests any more. A move is made only once the core has recorded it,
// so that all nodes lead a session to the same endpoint. While no core node
// answers, known pins hold, and new sessions go where the hash of their key
// points.
//
// A Sessions guards its cache with one short lock and may be used by any
// goroutine; it calls the core from the goroutine of the request, and refreshes
// the pins of sessions in use from a goroutine that ends with that call.
package affinity
