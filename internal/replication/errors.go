package replication

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("replication")

// The errors that Execute passes to its callback.
var (
	// ErrNotOwner reports that this member does not own the shard, or is transferring
	// it to another. No change was made.
	ErrNotOwner = Error.New("not the owner of the shard, no change was made")
	// ErrUnavailable reports that the owner has no valid lease, or that a read was not
	// confirmed within RequestTimeout or before the ownership was lost. No change was
	// made.
	ErrUnavailable = Error.New("the shard has no owner that can serve now, no change was made")
	// ErrInvalidChange reports that the change cannot be encoded, such as one with a
	// string that is not valid UTF-8. No change was made.
	ErrInvalidChange = Error.New("the change cannot be encoded, no change was made")
	// ErrOutcomeUnknown reports that a change was made but is not known to be
	// committed: it may still take effect, or be lost.
	ErrOutcomeUnknown = Error.New("outcome unknown, the change may or may not take effect")
)

// The errors that Handler returns to other members. Their texts are sent in the
// responses.
var (
	// errNoResponse reports that the replica had no response, or that its mailbox
	// was closed or the call ended first. The call may or may not have taken effect.
	errNoResponse = Error.New("no answer")
	// errMalformed reports that a request lacks a required field. It had no effect.
	errMalformed = Error.New("malformed request, nothing was done")
)
