// Package routeconfig parses, validates, compares and patches the operator's
// configuration of routes, services and limits, and compiles it to the table that
// requests are matched against.
//
// The configuration is a JSON document with a version and a list of resources.
// Parse decodes the fields that it knows; an error names the path of the invalid
// field. Each resource also keeps its original bytes, so that fields unknown to this
// release are preserved when the configuration is stored or sent on. A Patch
// replaces, adds and removes single resources: Config.PatchFrom computes the patch
// between two configurations, and Config.Apply applies one.
//
// The package starts no goroutines, reads no clock and does no I/O. A Config and a
// Table are immutable once they are made; they are shared between goroutines and
// replaced as a whole.
package routeconfig

import "github.com/zeebo/errs"

// Error is the class of this package's errors. An error from parsing, validating or
// patching a configuration means that the input was rejected; Policy.Allows returns
// one if the evaluation fails.
var Error = errs.Class("routeconfig")
