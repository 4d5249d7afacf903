package replication

import "github.com/zeebo/errs"

// Error is the class of the errors of this package.
var Error = errs.Class("replication")

// What Execute tells its caller if it can't tell that all is well.
var (
	// ErrNotOwner means that another member owns the shard; nothing was done.
	ErrNotOwner = Error.New("not the owner of the shard, nothing was done")
	// ErrUnavailable means that no lease or no majority was there in time; nothing
	// was done.
	ErrUnavailable = Error.New("no owner can serve now, nothing was done")
	// ErrOutcomeUnknown means that a change was made, but that it isn't known to be
	// committed: it may take effect, or be lost.
	ErrOutcomeUnknown = Error.New("outcome unknown, the change may or may not take effect")
)

// What a Handler tells other members.
var (
	errNoAnswer  = Error.New("no answer")
	errMalformed = Error.New("malformed request, nothing was done")
)
