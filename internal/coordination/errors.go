package coordination

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("coordination")

// Results of requests that were decided and changed nothing.
var (
	// ErrLockHeld says that another owner's lock has not expired.
	ErrLockHeld = Error.New("another owner holds the lock")
	// ErrLockLost says that the lock expired, was released or was granted again,
	// so that the caller's fencing token renews nothing.
	ErrLockLost = Error.New("the lock is no longer held under this fencing token")
	// ErrNotFound says that the key has no value.
	ErrNotFound = Error.New("the key has no value")
	// ErrCompacted says that events after the given revision were discarded: the
	// caller has to read the keys again.
	ErrCompacted = Error.New("the history after this revision was compacted")
)

// RevisionMismatchError refuses a conditional Put: the key was written since
// the revision that the caller expected.
type RevisionMismatchError struct {
	// Current is the key's revision now; 0 if it has no value.
	Current uint64
}

// Error implements error.
func (e *RevisionMismatchError) Error() string {
	return fmt.Sprintf("coordination: the key stands at revision %d", e.Current)
}
