// Package routeconfig reads the operator's configuration of routes, services and
// limits, checks it, tells two configurations apart, and compiles one to the
// table that requests are matched against.
//
// The configuration is JSON: a version and a list of resources. Parse reads the
// fields it knows, one by one, with the place of what is wrong in the error, and
// keeps each resource's own bytes: fields that it does not know survive. A Patch
// replaces and removes single resources; PatchFrom finds the patch between two
// configurations, and Apply carries one out.
//
// Nothing here has a goroutine, a clock or I/O. A Config and a Table are values
// that are never changed after they are made; processes share them and replace
// them whole.
package routeconfig

import "github.com/zeebo/errs"

// Error is the class of this package's errors. All of them refuse an input.
var Error = errs.Class("routeconfig")
