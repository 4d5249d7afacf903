package coordination

import "corkcove/internal/rpc/meshpb"

// Decision is the outcome that a Table computed for one request. The result or
// error may be returned to the caller only after the replica has reported the
// decision as committed.
type Decision[R any] struct {
	// Change is the change that produces the result, or nil if the table is not
	// modified.
	Change *meshpb.Change
	// Result is the response to the caller if Err is nil.
	Result R
	// Err is the reason for which the request is refused, or nil. If it is set,
	// Change is nil.
	Err error
	// AlreadyApplied reports that an earlier transmission of the same request has
	// already been applied. Its change may still be uncommitted and take effect
	// later, so if the decision cannot be committed, its outcome is unknown.
	AlreadyApplied bool
}
