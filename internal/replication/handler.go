package replication

import (
	"context"

	"corkcove/internal/mailbox"
	"corkcove/internal/rpc/meshpb"
)

// Handler answers the calls of other members on any goroutine, by the replica in
// its mailbox. It refuses what is malformed, so that such a call harms nobody.
type Handler struct {
	Mailbox *mailbox.Mailbox
	Replica *Replica
}

// result is what a call answers: an error stands for a nil response, and for a
// mailbox that was closed.
func result[Response any](response *Response, ok bool) (*Response, error) {
	if !ok || response == nil {
		return nil, errNoResponse
	}
	return response, nil
}

// withKnownShards drops the messages that name no shard here.
func withKnownShards[T interface{ GetShard() uint32 }](h Handler, messages []T) []T {
	known := messages[:0]
	for _, message := range messages {
		if h.Replica.hasShard(message) {
			known = append(known, message)
		}
	}
	return known
}

func hasSender(header *meshpb.SenderHeader) bool { return identifies(header.GetFrom()) }

func identifies(m *meshpb.Member) bool { return m.GetId() != "" && m.Addr != "" }

// RenewLeases answers a heartbeat.
func (h Handler) RenewLeases(_ context.Context, request *meshpb.RenewLeasesRequest) (*meshpb.RenewLeasesResponse, error) {
	if !hasSender(request.Header) {
		return nil, errMalformed
	}
	request.Watermarks = withKnownShards(h, request.Watermarks)
	return result(mailbox.Call(h.Mailbox, func() *meshpb.RenewLeasesResponse {
		return h.Replica.HandleRenewLeases(request)
	}))
}

// Replicate takes entries, epoch changes and states.
func (h Handler) Replicate(ctx context.Context, request *meshpb.ReplicateRequest) (*meshpb.ReplicateResponse, error) {
	if !hasSender(request.Header) {
		return nil, errMalformed
	}
	request.States = withKnownShards(h, request.States)
	request.Entries = withKnownShards(h, request.Entries)
	request.EpochChanges = withKnownShards(h, request.EpochChanges)
	return result(mailbox.CallAsync(ctx, h.Mailbox, func(reply func(*meshpb.ReplicateResponse)) {
		h.Replica.HandleReplicate(request, reply)
	}))
}

// RequestVotes answers a candidate.
func (h Handler) RequestVotes(ctx context.Context, request *meshpb.RequestVotesRequest) (*meshpb.RequestVotesResponse, error) {
	if !hasSender(request.Header) {
		return nil, errMalformed
	}
	request.Votes = withKnownShards(h, request.Votes)
	return result(mailbox.CallAsync(ctx, h.Mailbox, func(reply func(*meshpb.RequestVotesResponse)) {
		h.Replica.HandleRequestVotes(request, reply)
	}))
}

// TransferOwnership takes the word of an owner that gave up shards.
func (h Handler) TransferOwnership(_ context.Context, request *meshpb.TransferOwnershipRequest) (*meshpb.TransferOwnershipResponse, error) {
	if !hasSender(request.Header) {
		return nil, errMalformed
	}
	request.Watermarks = withKnownShards(h, request.Watermarks)
	return result(mailbox.Call(h.Mailbox, func() *meshpb.TransferOwnershipResponse {
		return h.Replica.HandleTransferOwnership(request)
	}))
}

// AcceptMembership adopts a newer membership.
func (h Handler) AcceptMembership(ctx context.Context, request *meshpb.AcceptMembershipRequest) (*meshpb.AcceptMembershipResponse, error) {
	if len(request.GetMembership().GetMembers()) == 0 {
		return nil, errMalformed
	}
	return result(mailbox.CallAsync(ctx, h.Mailbox, func(reply func(*meshpb.AcceptMembershipResponse)) {
		h.Replica.HandleAcceptMembership(request, reply)
	}))
}

// Join answers a process outside the membership.
func (h Handler) Join(_ context.Context, request *meshpb.JoinRequest) (*meshpb.JoinResponse, error) {
	if !identifies(request.GetFrom()) {
		return nil, errMalformed
	}
	return result(mailbox.Call(h.Mailbox, func() *meshpb.JoinResponse {
		return h.Replica.HandleJoin(request)
	}))
}
