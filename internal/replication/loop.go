package replication

import (
	"context"
	"time"

	"corkcove/internal/mailbox"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/wal"
)

type WALStorage struct {
	Mailbox *mailbox.Mailbox
	Log     *wal.Log
}

func (s WALStorage) Append(rec []byte, done func(error)) {
	s.Log.Append(rec, func(err error) { s.Mailbox.Post(func() { done(err) }) })
}

func (s WALStorage) Checkpoint(page [][]byte, done func(error)) {
	s.Log.Checkpoint(page, func(err error) { s.Mailbox.Post(func() { done(err) }) })
}

type PeerClient struct {
	Mailbox          *mailbox.Mailbox
	Clients          *rpc.Clients
	CallTimeout      time.Duration
	ReplicateTimeout time.Duration
}

func send[Q, R any](n PeerClient, d time.Duration, f func(context.Context, *Q) (*R, error), q *Q, cb func(*R)) {
	go func() {
		r, err := rpc.Call(d, f, q)
		if err != nil {
			r = nil
		}
		n.Mailbox.Post(func() { cb(r) })
	}()
}

func (n PeerClient) RenewLeases(to *meshpb.Member, q *meshpb.RenewLeasesRequest, cb func(*meshpb.RenewLeasesResponse)) {
	send(n, n.CallTimeout, n.Clients.Replication(to.Addr).RenewLeases, q, cb)
}

func (n PeerClient) Replicate(to *meshpb.Member, q *meshpb.ReplicateRequest, cb func(*meshpb.ReplicateResponse)) {
	send(n, n.ReplicateTimeout, n.Clients.Replication(to.Addr).Replicate, q, cb)
}

func (n PeerClient) RequestVotes(to *meshpb.Member, q *meshpb.RequestVotesRequest, cb func(*meshpb.RequestVotesResponse)) {
	send(n, n.CallTimeout, n.Clients.Replication(to.Addr).RequestVotes, q, cb)
}

func (n PeerClient) TransferOwnership(to *meshpb.Member, q *meshpb.TransferOwnershipRequest, cb func(*meshpb.TransferOwnershipResponse)) {
	send(n, n.CallTimeout, n.Clients.Replication(to.Addr).TransferOwnership, q, cb)
}

func (n PeerClient) AcceptMembership(to *meshpb.Member, q *meshpb.AcceptMembershipRequest, cb func(*meshpb.AcceptMembershipResponse)) {
	send(n, n.CallTimeout, n.Clients.Replication(to.Addr).AcceptMembership, q, cb)
}

func (n PeerClient) Join(to string, q *meshpb.JoinRequest, cb func(*meshpb.JoinResponse)) {
	send(n, n.CallTimeout, n.Clients.Replication(to).Join, q, cb)
}

// Door answers other members' calls.
type Handler struct {
	Mailbox *mailbox.Mailbox
	Replica *Replica
}

var errNone = Error.New("no answer")

func answer[R any](r *R, ok bool) (*R, error) {
	if !ok || r == nil {
		return nil, errNone
	}
	return r, nil
}

// fit drops what names no shard here, so that a malformed call harms nobody.
func fit[T interface{ GetShard() uint32 }](d Handler, xs []T) []T {
	out := xs[:0]
	for _, x := range xs {
		if int(x.GetShard()) < len(d.Replica.shards) {
			out = append(out, x)
		}
	}
	return out
}

func whole(h *meshpb.SenderHeader) bool { return h.GetFrom().GetId() != "" && h.From.Addr != "" }

var errHead = Error.New("a call without a sender")

func (d Handler) RenewLeases(_ context.Context, q *meshpb.RenewLeasesRequest) (*meshpb.RenewLeasesResponse, error) {
	if !whole(q.Header) {
		return nil, errHead
	}
	q.Watermarks = fit(d, q.Watermarks)
	return answer(mailbox.Call(d.Mailbox, func() *meshpb.RenewLeasesResponse { return d.Replica.HandleRenewLeases(q) }))
}

func (d Handler) Replicate(ctx context.Context, q *meshpb.ReplicateRequest) (*meshpb.ReplicateResponse, error) {
	if !whole(q.Header) {
		return nil, errHead
	}
	q.States, q.Entries, q.EpochChanges = fit(d, q.States), fit(d, q.Entries), fit(d, q.EpochChanges)
	return answer(mailbox.CallAsync(ctx, d.Mailbox, func(f func(*meshpb.ReplicateResponse)) { d.Replica.HandleReplicate(q, f) }))
}

func (d Handler) RequestVotes(ctx context.Context, q *meshpb.RequestVotesRequest) (*meshpb.RequestVotesResponse, error) {
	if !whole(q.Header) {
		return nil, errHead
	}
	q.Votes = fit(d, q.Votes)
	return answer(mailbox.CallAsync(ctx, d.Mailbox, func(f func(*meshpb.RequestVotesResponse)) { d.Replica.HandleRequestVotes(q, f) }))
}

func (d Handler) TransferOwnership(_ context.Context, q *meshpb.TransferOwnershipRequest) (*meshpb.TransferOwnershipResponse, error) {
	if !whole(q.Header) {
		return nil, errHead
	}
	q.Watermarks = fit(d, q.Watermarks)
	return answer(mailbox.Call(d.Mailbox, func() *meshpb.TransferOwnershipResponse { return d.Replica.HandleTransferOwnership(q) }))
}

func (d Handler) AcceptMembership(ctx context.Context, q *meshpb.AcceptMembershipRequest) (*meshpb.AcceptMembershipResponse, error) {
	if len(q.GetMembership().GetMembers()) == 0 {
		return nil, errHead
	}
	return answer(mailbox.CallAsync(ctx, d.Mailbox, func(f func(*meshpb.AcceptMembershipResponse)) { d.Replica.HandleAcceptMembership(q, f) }))
}

func (d Handler) Join(_ context.Context, q *meshpb.JoinRequest) (*meshpb.JoinResponse, error) {
	if q.GetFrom().GetId() == "" || q.From.Addr == "" {
		return nil, errHead
	}
	return answer(mailbox.Call(d.Mailbox, func() *meshpb.JoinResponse { return d.Replica.HandleJoin(q) }))
}
