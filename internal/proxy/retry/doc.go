// Package retry decides how often and where a request is tried.
//
// A Plan decides, attempt by attempt, what becomes of one request. It knows no
// clock and no network, so that live requests and replayed ones go through the
// same rules; it belongs to the goroutine that carries the request. Whether an
// attempt follows depends on what the last one's Outcome says of the request: one
// that has not run may go on, one that may have run goes on only if its route
// says that it can be repeated. Each attempt that reaches a second endpoint is
// paid from the node's Budget, which all of a node's requests share and which is
// safe for concurrent use.
package retry
