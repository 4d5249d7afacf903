package replication

import (
	"context"
	"sync"
	"time"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/wal"
)

// Loop is the board's mailbox: one goroutine runs all that is put in.
type Mailbox struct {
	ch   chan func()
	end  chan struct{}
	once sync.Once
}

func NewMailbox() *Mailbox { return &Mailbox{ch: make(chan func(), 4096), end: make(chan struct{})} }

func (l *Mailbox) Post(f func()) {
	select {
	case l.ch <- f:
	case <-l.end:
	}
}

func (l *Mailbox) Close() { l.once.Do(func() { close(l.end) }) }

func (l *Mailbox) Run(tick time.Duration, on func()) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case f := <-l.ch:
			f()
		case <-t.C:
			on()
		case <-l.end:
			return
		}
	}
}

// Ask runs f on the loop and waits for its answer.
func Call[R any](l *Mailbox, f func() R) (r R, ok bool) {
	c := make(chan R, 1)
	l.Post(func() { c <- f() })
	select {
	case r = <-c:
		return r, true
	case <-l.end:
		return r, false
	}
}

// Later runs f on the loop; f hands its answer to reply when it is ready.
func CallAsync[R any](ctx context.Context, l *Mailbox, f func(reply func(R))) (r R, ok bool) {
	c := make(chan R, 1)
	l.Post(func() { f(func(r R) { c <- r }) })
	select {
	case r = <-c:
		return r, true
	case <-ctx.Done():
		return r, false
	case <-l.end:
		return r, false
	}
}

type WALStorage struct {
	Mailbox *Mailbox
	Log     *wal.Log
}

func (s WALStorage) Append(rec []byte, done func(error)) {
	s.Log.Append(rec, func(err error) { s.Mailbox.Post(func() { done(err) }) })
}

func (s WALStorage) Checkpoint(page [][]byte, done func(error)) {
	s.Log.Checkpoint(page, func(err error) { s.Mailbox.Post(func() { done(err) }) })
}

type PeerClient struct {
	Mailbox          *Mailbox
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
	Mailbox *Mailbox
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
	return answer(Call(d.Mailbox, func() *meshpb.RenewLeasesResponse { return d.Replica.HandleRenewLeases(q) }))
}

func (d Handler) Replicate(ctx context.Context, q *meshpb.ReplicateRequest) (*meshpb.ReplicateResponse, error) {
	if !whole(q.Header) {
		return nil, errHead
	}
	q.States, q.Entries, q.EpochChanges = fit(d, q.States), fit(d, q.Entries), fit(d, q.EpochChanges)
	return answer(CallAsync(ctx, d.Mailbox, func(f func(*meshpb.ReplicateResponse)) { d.Replica.HandleReplicate(q, f) }))
}

func (d Handler) RequestVotes(ctx context.Context, q *meshpb.RequestVotesRequest) (*meshpb.RequestVotesResponse, error) {
	if !whole(q.Header) {
		return nil, errHead
	}
	q.Votes = fit(d, q.Votes)
	return answer(CallAsync(ctx, d.Mailbox, func(f func(*meshpb.RequestVotesResponse)) { d.Replica.HandleRequestVotes(q, f) }))
}

func (d Handler) TransferOwnership(_ context.Context, q *meshpb.TransferOwnershipRequest) (*meshpb.TransferOwnershipResponse, error) {
	if !whole(q.Header) {
		return nil, errHead
	}
	q.Watermarks = fit(d, q.Watermarks)
	return answer(Call(d.Mailbox, func() *meshpb.TransferOwnershipResponse { return d.Replica.HandleTransferOwnership(q) }))
}

func (d Handler) AcceptMembership(ctx context.Context, q *meshpb.AcceptMembershipRequest) (*meshpb.AcceptMembershipResponse, error) {
	if len(q.GetMembership().GetMembers()) == 0 {
		return nil, errHead
	}
	return answer(CallAsync(ctx, d.Mailbox, func(f func(*meshpb.AcceptMembershipResponse)) { d.Replica.HandleAcceptMembership(q, f) }))
}

func (d Handler) Join(_ context.Context, q *meshpb.JoinRequest) (*meshpb.JoinResponse, error) {
	if q.GetFrom().GetId() == "" || q.From.Addr == "" {
		return nil, errHead
	}
	return answer(Call(d.Mailbox, func() *meshpb.JoinResponse { return d.Replica.HandleJoin(q) }))
}
