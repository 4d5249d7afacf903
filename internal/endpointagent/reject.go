package endpointagent

// RejectReason is the reason why a request was not assigned a slot. The values are
// sent to the calling node in a response header and must not change.
type RejectReason string

// Reasons returned by Admit.
const (
	// NotRejected means that the request was admitted and holds a slot.
	NotRejected RejectReason = ""
	// RejectedNoEndpoint means that the agent knows no endpoint yet.
	RejectedNoEndpoint RejectReason = "no-life"
	// RejectedOtherIncarnation means that the current incarnation of the endpoint
	// is not the one that the request is addressed to.
	RejectedOtherIncarnation RejectReason = "other-life"
	// RejectedDraining means that the endpoint is draining or has deregistered.
	RejectedDraining RejectReason = "draining"
	// RejectedUnhealthy means that the endpoint missed heartbeats or refused
	// connections.
	RejectedUnhealthy RejectReason = "unsound"
	// RejectedQueueFull means that the queue is full or the estimated wait for a slot
	// is too long.
	RejectedQueueFull RejectReason = "full"
	// RejectedDeadlineExceeded means that the deadline passed while the request was
	// queued, or before the inbound proxy sent it to the endpoint.
	RejectedDeadlineExceeded RejectReason = "late"
	// RejectedStopping means that this node is shutting down.
	RejectedStopping RejectReason = "stopping"
	// RejectedCanceled means that the context passed to Admit ended while the request
	// was queued.
	RejectedCanceled RejectReason = "gave-up"
)
