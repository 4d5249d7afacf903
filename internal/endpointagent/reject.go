package endpointagent

// RejectReason says why a request got no slot. The values travel to the calling
// node in a header and never change.
type RejectReason string

// What Admit answers.
const (
	// NotRejected means that the caller holds a slot.
	NotRejected RejectReason = ""
	// RejectedNoEndpoint means that no endpoint is known yet.
	RejectedNoEndpoint RejectReason = "no-life"
	// RejectedOtherIncarnation means that the endpoint has another identity than
	// the one that the request was meant for.
	RejectedOtherIncarnation RejectReason = "other-life"
	// RejectedDraining means that the endpoint takes nothing new.
	RejectedDraining RejectReason = "draining"
	// RejectedUnhealthy means that heartbeats are missing or connections are refused.
	RejectedUnhealthy RejectReason = "unsound"
	// RejectedQueueFull means that the wait for a slot would be too long.
	RejectedQueueFull RejectReason = "full"
	// RejectedLate means that the deadline passed in the queue.
	RejectedLate RejectReason = "late"
	// RejectedStopping means that this node shuts down.
	RejectedStopping RejectReason = "stopping"
	// RejectedCanceled means that the caller gave up while it was queued.
	RejectedCanceled RejectReason = "gave-up"
)
