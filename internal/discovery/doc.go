// Package discovery reads the platform's paginated list of endpoints.
//
// Where the platform provides such a list, the master reads it periodically and
// merges it into the view. A read is all or nothing: if a page is missing or
// malformed, List returns an error and the caller keeps the previous list. Rows
// that do not describe a usable endpoint are skipped and logged.
//
// A Client spaces its requests so that all nodes together stay within the platform's
// rate limit. It belongs to the single goroutine that calls List. It never retries;
// the caller decides when to read again.
package discovery

import "github.com/zeebo/errs"

// Error is the class of this package's errors, apart from StatusError. All of them
// mean that the list was not read.
var Error = errs.Class("discovery")
