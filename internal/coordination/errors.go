package coordination

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of the errors in this package.
var Error = errs.Class("coordination")

// Errors of requests that were decided and made no change.
var (
	// ErrLockHeld reports that another owner holds the lock and that its time to live
	// has not elapsed.
	ErrLockHeld = Error.New("the lock is held by another owner")
	// ErrLockLost reports that the lock has expired, was released or was granted
	// again, so that it cannot be renewed under the caller's fencing token.
	ErrLockLost = Error.New("the lock is no longer held under this fencing token")
	// ErrNotFound reports that the key has no value.
	ErrNotFound = Error.New("the key has no value")
	// ErrCompacted reports that events after the requested revision have been
	// discarded. The caller must read the keys again.
	ErrCompacted = Error.New("events after the requested revision have been compacted")
)

// RevisionMismatchError reports that a conditional Put was refused because the key
// is not at the revision that the caller expected.
type RevisionMismatchError struct {
	// Current is the current revision of the key, or 0 if it has no value.
	Current uint64
}

// Error implements the error interface.
func (e *RevisionMismatchError) Error() string {
	return fmt.Sprintf("coordination: revision mismatch: the key is at revision %d", e.Current)
}
