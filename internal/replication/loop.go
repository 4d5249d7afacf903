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
	Lines *rpc.Lines
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

func (n Net) Lease(to *meshpb.Member, q *meshpb.LeaseReq, cb func(*meshpb.LeaseResp)) {
	send(n, n.Short, n.Lines.Exchange(to.Addr).Hold, q, cb)
}

func (n Net) Copy(to *meshpb.Member, q *meshpb.CopyReq, cb func(*meshpb.CopyResp)) {
	send(n, n.Long, n.Lines.Exchange(to.Addr).Copy, q, cb)
}

func (n Net) Ask(to *meshpb.Member, q *meshpb.AskReq, cb func(*meshpb.AskResp)) {
	send(n, n.Short, n.Lines.Exchange(to.Addr).Ask, q, cb)
}

func (n Net) Hand(to *meshpb.Member, q *meshpb.HandReq, cb func(*meshpb.HandResp)) {
	send(n, n.Short, n.Lines.Exchange(to.Addr).Hand, q, cb)
}

func (n Net) Enroll(to *meshpb.Member, q *meshpb.EnrollReq, cb func(*meshpb.EnrollResp)) {
	send(n, n.Short, n.Lines.Exchange(to.Addr).Enroll, q, cb)
}

func (n Net) Join(to string, q *meshpb.JoinReq, cb func(*meshpb.JoinResp)) {
	send(n, n.Short, n.Lines.Exchange(to).Join, q, cb)
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

func whole(h *meshpb.Head) bool { return h.GetFrom().GetId() != "" && h.From.Addr != "" }

var errHead = Error.New("a call without a sender")

func (d Door) Hold(_ context.Context, q *meshpb.LeaseReq) (*meshpb.LeaseResp, error) {
	if !whole(q.Head) {
		return nil, errHead
	}
	q.Marks = fit(d, q.Marks)
	return answer(Ask(d.Loop, func() *meshpb.LeaseResp { return d.Board.OnLease(q) }))
}

func (d Door) Copy(ctx context.Context, q *meshpb.CopyReq) (*meshpb.CopyResp, error) {
	if !whole(q.Head) {
		return nil, errHead
	}
	q.States, q.Entries, q.Raises = fit(d, q.States), fit(d, q.Entries), fit(d, q.Raises)
	return answer(Later(ctx, d.Loop, func(f func(*meshpb.CopyResp)) { d.Board.OnCopy(q, f) }))
}

func (d Door) Ask(ctx context.Context, q *meshpb.AskReq) (*meshpb.AskResp, error) {
	if !whole(q.Head) {
		return nil, errHead
	}
	q.Asks = fit(d, q.Asks)
	return answer(Later(ctx, d.Loop, func(f func(*meshpb.AskResp)) { d.Board.OnAsk(q, f) }))
}

func (d Door) Hand(_ context.Context, q *meshpb.HandReq) (*meshpb.HandResp, error) {
	if !whole(q.Head) {
		return nil, errHead
	}
	q.Marks = fit(d, q.Marks)
	return answer(Ask(d.Loop, func() *meshpb.HandResp { return d.Board.OnHand(q) }))
}

func (d Door) Enroll(ctx context.Context, q *meshpb.EnrollReq) (*meshpb.EnrollResp, error) {
	if len(q.GetMembership().GetMembers()) == 0 {
		return nil, errHead
	}
	return answer(Later(ctx, d.Loop, func(f func(*meshpb.EnrollResp)) { d.Board.OnEnroll(q, f) }))
}

func (d Door) Join(_ context.Context, q *meshpb.JoinReq) (*meshpb.JoinResp, error) {
	if q.GetFrom().GetId() == "" || q.From.Addr == "" {
		return nil, errHead
	}
	return answer(Ask(d.Loop, func() *meshpb.JoinResp { return d.Board.OnJoin(q) }))
}
