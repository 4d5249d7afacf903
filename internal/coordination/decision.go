package coordination

import "corkcove/internal/rpc/meshpb"

// Decision is what a Table decided about one request. The result or the error
// may be given to the caller only when the replica reports the decision as
// committed.
type Decision[R any] struct {
	// Change leads to the result; nil if the table stays as it is.
	Change *meshpb.Change
	// Result answers the caller if Err is nil.
	Result R
	// Err refuses the request; there is no Change then.
	Err error
	// AlreadyApplied says that an earlier sending of the same request was found
	// applied. That change may still be uncommitted and take effect later, so a
	// failure to commit the decision leaves its outcome unknown.
	AlreadyApplied bool
}
