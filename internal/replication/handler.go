package replication

import (
	"context"

	"corkcove/internal/mailbox"
	"corkcove/internal/rpc/meshpb"
)

// Handler serves the Replication RPCs. Its methods may be called on any goroutine and
// run the replica's handlers in its mailbox. Malformed requests are rejected, and
// messages for unknown shards removed, before they reach the replica.
type Handler struct {
	// Mailbox is the mailbox that Replica runs in.
	Mailbox *mailbox.Mailbox
	// Replica handles the requests.
	Replica *Replica
}

// responseOrError converts the result of a mailbox call to that of an RPC. It returns
// errNoResponse if the response is nil, or if there is none since the mailbox was
// closed or the call was cancelled.
func responseOrError[Response any](response *Response, ok bool) (*Response, error) {
	if !ok || response == nil {
		return nil, errNoResponse
	}
	return response, nil
}

// filterKnownShards removes the messages for shards that do not exist here. It reuses
// the slice.
func filterKnownShards[T interface{ GetShard() uint32 }](h Handler, messages []T) []T {
	known := messages[:0]
	for _, message := range messages {
		if h.Replica.hasShard(message) {
			known = append(known, message)
		}
	}
	return known
}

// hasSender reports whether the header identifies the process that sent it.
func hasSender(header *meshpb.SenderHeader) bool { return hasIDAndAddress(header.GetFrom()) }

// hasIDAndAddress reports whether both the id and the address of the member are set.
func hasIDAndAddress(m *meshpb.Member) bool { return m.GetId() != "" && m.Addr != "" }

// RenewLeases handles a heartbeat and grants or renews leases. It returns errMalformed
// if the header has no sender.
func (h Handler) RenewLeases(_ context.Context, request *meshpb.RenewLeasesRequest) (*meshpb.RenewLeasesResponse, error) {
	if !hasSender(request.Header) {
		return nil, errMalformed
	}
	request.Watermarks = filterKnownShards(h, request.Watermarks)
	return responseOrError(mailbox.Call(h.Mailbox, func() *meshpb.RenewLeasesResponse {
		return h.Replica.HandleRenewLeases(request)
	}))
}

// Replicate handles entries, epoch changes and full states from an owner. The response
// comes once they are on disk. It returns errMalformed if the header has no sender,
// and errNoResponse if a write failed.
func (h Handler) Replicate(ctx context.Context, request *meshpb.ReplicateRequest) (*meshpb.ReplicateResponse, error) {
	if !hasSender(request.Header) {
		return nil, errMalformed
	}
	request.States = filterKnownShards(h, request.States)
	request.Entries = filterKnownShards(h, request.Entries)
	request.EpochChanges = filterKnownShards(h, request.EpochChanges)
	return responseOrError(mailbox.CallAsync(ctx, h.Mailbox, func(reply func(*meshpb.ReplicateResponse)) {
		h.Replica.HandleReplicate(request, reply)
	}))
}

// RequestVotes handles a candidate's requests for votes and pre-votes. The response
// comes once the votes are on disk. It returns errMalformed if the header has no
// sender, and errNoResponse if a write failed.
func (h Handler) RequestVotes(ctx context.Context, request *meshpb.RequestVotesRequest) (*meshpb.RequestVotesResponse, error) {
	if !hasSender(request.Header) {
		return nil, errMalformed
	}
	request.Votes = filterKnownShards(h, request.Votes)
	return responseOrError(mailbox.CallAsync(ctx, h.Mailbox, func(reply func(*meshpb.RequestVotesResponse)) {
		h.Replica.HandleRequestVotes(request, reply)
	}))
}

// TransferOwnership handles the notice of an owner that has given up shards. It
// returns errMalformed if the header has no sender.
func (h Handler) TransferOwnership(_ context.Context, request *meshpb.TransferOwnershipRequest) (*meshpb.TransferOwnershipResponse, error) {
	if !hasSender(request.Header) {
		return nil, errMalformed
	}
	request.Watermarks = filterKnownShards(h, request.Watermarks)
	return responseOrError(mailbox.Call(h.Mailbox, func() *meshpb.TransferOwnershipResponse {
		return h.Replica.HandleTransferOwnership(request)
	}))
}

// AcceptMembership adopts a newer membership. The response comes once it is on disk.
// It returns errMalformed if the membership is empty, and errNoResponse if the write
// failed.
func (h Handler) AcceptMembership(ctx context.Context, request *meshpb.AcceptMembershipRequest) (*meshpb.AcceptMembershipResponse, error) {
	if len(request.GetMembership().GetMembers()) == 0 {
		return nil, errMalformed
	}
	return responseOrError(mailbox.CallAsync(ctx, h.Mailbox, func(reply func(*meshpb.AcceptMembershipResponse)) {
		h.Replica.HandleAcceptMembership(request, reply)
	}))
}

// Join handles the join request of a learner, or of a process that is leaving. It
// returns errMalformed if the request has no sender.
func (h Handler) Join(_ context.Context, request *meshpb.JoinRequest) (*meshpb.JoinResponse, error) {
	if !hasIDAndAddress(request.GetFrom()) {
		return nil, errMalformed
	}
	return responseOrError(mailbox.Call(h.Mailbox, func() *meshpb.JoinResponse {
		return h.Replica.HandleJoin(request)
	}))
}
