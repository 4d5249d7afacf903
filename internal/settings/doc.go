// Package settings loads and validates the settings file that a process reads at
// startup: its identity and location, its addresses, how it discovers endpoints,
// and the time bounds agreed for the deployment. Route configuration is handled
// by package routeconfig.
//
// The file is TOML. Its keys are part of the public interface and must not
// change; the struct tags define them. Missing fields take their defaults,
// unknown fields are ignored, and a single error lists all invalid fields.
// Options is a plain value that this package does not modify after loading.
package settings

import "github.com/zeebo/errs"

// Error is the class of all errors returned by this package.
var Error = errs.Class("settings")
