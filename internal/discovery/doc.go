// Package discovery reads the platform's list of endpoints, page by page.
//
// Where the platform lists endpoints, the master reads the list again and again
// and merges it into the view. A Client reads it whole or not at all: a page
// that is missing or broken makes the reading fail, and the list read before
// holds on. Rows that name no usable endpoint are skipped and logged.
//
// A Client keeps the time of its last request, so that all nodes together stay
// under the platform's rate; it belongs to the one goroutine that calls List. It
// never retries: when to read again is the caller's decision.
package discovery

import "github.com/zeebo/errs"

// Error is the class of this package's errors. All of them mean that the list
// was not read.
var Error = errs.Class("discovery")
