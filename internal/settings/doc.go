// Package settings reads the settings file that a process starts with: who and
// where it is, which addresses it uses, how the platform tells it of endpoints,
// and the bounds that the deployment has agreed on. The configuration of routes
// is another matter, see routeconfig.
//
// The file is TOML. Its keys are frozen; they stand in the struct tags. Fields
// left out get their default, fields that are not known are skipped, and all
// that is wrong is named in one error. Options are a plain value that nothing
// here changes after it was read.
package settings

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("settings")
