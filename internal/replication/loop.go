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
type Loop struct {
	ch   chan func()
	end  chan struct{}
	once sync.Once
}

func NewLoop() *Loop { return &Loop{ch: make(chan func(), 4096), end: make(chan struct{})} }

func (l *Loop) Put(f func()) {
	select {
	case l.ch <- f:
	case <-l.end:
	}
}

func (l *Loop) Close() { l.once.Do(func() { close(l.end) }) }

func (l *Loop) Run(tick time.Duration, on func()) {
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
func Ask[R any](l *Loop, f func() R) (r R, ok bool) {
	c := make(chan R, 1)
	l.Put(func() { c <- f() })
	select {
	case r = <-c:
		return r, true
	case <-l.end:
		return r, false
	}
}

// Later runs f on the loop; f hands its answer to reply when it is ready.
func Later[R any](ctx context.Context, l *Loop, f func(reply func(R))) (r R, ok bool) {
	c := make(chan R, 1)
	l.Put(func() { f(func(r R) { c <- r }) })
	select {
	case r = <-c:
		return r, true
	case <-ctx.Done():
		return r, false
	case <-l.end:
		return r, false
	}
}

type Shelf struct {
	Loop *Loop
	Book *wal.Book
}

func (s Shelf) Append(rec []byte, done func(error)) {
	s.Book.Append(rec, func(err error) { s.Loop.Put(func() { done(err) }) })
}

func (s Shelf) Checkpoint(page [][]byte, done func(error)) {
	s.Book.Checkpoint(page, func(err error) { s.Loop.Put(func() { done(err) }) })
}

type Net struct {
	Loop  *Loop
	Lines *rpc.Clients
	Short time.Duration
	Long  time.Duration
}

func send[Q, R any](n Net, d time.Duration, f func(context.Context, *Q) (*R, error), q *Q, cb func(*R)) {
	go func() {
		r, err := rpc.Call(d, f, q)
		if err != nil {
			r = nil
		}
		n.Loop.Put(func() { cb(r) })
	}()
}

func (n Net) Lease(to *meshpb.Member, q *meshpb.RenewLeasesRequest, cb func(*meshpb.RenewLeasesResponse)) {
	send(n, n.Short, n.Lines.Replication(to.Addr).RenewLeases, q, cb)
}

func (n Net) Copy(to *meshpb.Member, q *meshpb.ReplicateRequest, cb func(*meshpb.ReplicateResponse)) {
	send(n, n.Long, n.Lines.Replication(to.Addr).Replicate, q, cb)
}

func (n Net) Ask(to *meshpb.Member, q *meshpb.RequestVotesRequest, cb func(*meshpb.RequestVotesResponse)) {
	send(n, n.Short, n.Lines.Replication(to.Addr).RequestVotes, q, cb)
}

func (n Net) Hand(to *meshpb.Member, q *meshpb.TransferOwnershipRequest, cb func(*meshpb.TransferOwnershipResponse)) {
	send(n, n.Short, n.Lines.Replication(to.Addr).TransferOwnership, q, cb)
}

func (n Net) Enroll(to *meshpb.Member, q *meshpb.AcceptMembershipRequest, cb func(*meshpb.AcceptMembershipResponse)) {
	send(n, n.Short, n.Lines.Replication(to.Addr).AcceptMembership, q, cb)
}

func (n Net) Join(to string, q *meshpb.JoinRequest, cb func(*meshpb.JoinResponse)) {
	send(n, n.Short, n.Lines.Replication(to).Join, q, cb)
}

// Door answers other members' calls.
type Door struct {
	Loop  *Loop
	Board *Board
}

var errNone = Error.New("no answer")

func answer[R any](r *R, ok bool) (*R, error) {
	if !ok || r == nil {
		return nil, errNone
	}
	return r, nil
}

// fit drops what names no shard here, so that a malformed call harms nobody.
func fit[T interface{ GetShard() uint32 }](d Door, xs []T) []T {
	out := xs[:0]
	for _, x := range xs {
		if int(x.GetShard()) < len(d.Board.shards) {
			out = append(out, x)
		}
	}
	return out
}

func whole(h *meshpb.SenderHeader) bool { return h.GetFrom().GetId() != "" && h.From.Addr != "" }

var errHead = Error.New("a call without a sender")

func (d Door) RenewLeases(_ context.Context, q *meshpb.RenewLeasesRequest) (*meshpb.RenewLeasesResponse, error) {
	if !whole(q.Header) {
		return nil, errHead
	}
	q.Watermarks = fit(d, q.Watermarks)
	return answer(Ask(d.Loop, func() *meshpb.RenewLeasesResponse { return d.Board.OnLease(q) }))
}

func (d Door) Replicate(ctx context.Context, q *meshpb.ReplicateRequest) (*meshpb.ReplicateResponse, error) {
	if !whole(q.Header) {
		return nil, errHead
	}
	q.States, q.Entries, q.EpochChanges = fit(d, q.States), fit(d, q.Entries), fit(d, q.EpochChanges)
	return answer(Later(ctx, d.Loop, func(f func(*meshpb.ReplicateResponse)) { d.Board.OnCopy(q, f) }))
}

func (d Door) RequestVotes(ctx context.Context, q *meshpb.RequestVotesRequest) (*meshpb.RequestVotesResponse, error) {
	if !whole(q.Header) {
		return nil, errHead
	}
	q.Votes = fit(d, q.Votes)
	return answer(Later(ctx, d.Loop, func(f func(*meshpb.RequestVotesResponse)) { d.Board.OnAsk(q, f) }))
}

func (d Door) TransferOwnership(_ context.Context, q *meshpb.TransferOwnershipRequest) (*meshpb.TransferOwnershipResponse, error) {
	if !whole(q.Header) {
		return nil, errHead
	}
	q.Watermarks = fit(d, q.Watermarks)
	return answer(Ask(d.Loop, func() *meshpb.TransferOwnershipResponse { return d.Board.OnHand(q) }))
}

func (d Door) AcceptMembership(ctx context.Context, q *meshpb.AcceptMembershipRequest) (*meshpb.AcceptMembershipResponse, error) {
	if len(q.GetMembership().GetMembers()) == 0 {
		return nil, errHead
	}
	return answer(Later(ctx, d.Loop, func(f func(*meshpb.AcceptMembershipResponse)) { d.Board.OnEnroll(q, f) }))
}

func (d Door) Join(_ context.Context, q *meshpb.JoinRequest) (*meshpb.JoinResponse, error) {
	if q.GetFrom().GetId() == "" || q.From.Addr == "" {
		return nil, errHead
	}
	return answer(Ask(d.Loop, func() *meshpb.JoinResponse { return d.Board.OnJoin(q) }))
}
