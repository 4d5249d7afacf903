// Package retry decides how often a request is attempted and at which endpoints.
//
// A Plan holds the retry decisions for one request. It uses neither clock nor
// network, so that live and replayed requests follow the same rules, and it
// belongs to the goroutine that handles the request. The Outcome of an attempt
// decides whether another may follow: a request that has not run may be retried;
// one that may have run is retried only if its route is idempotent. Every attempt
// after the first to reach an endpoint is charged to the Budget, which all
// requests of a node share and which is safe for concurrent use.
package retry
