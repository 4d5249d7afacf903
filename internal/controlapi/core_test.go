package controlapi

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/coordination"
	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

// A made core: real desks over real boards, on the clock of synctest, with
// made wires and disks.

type shelf struct {
	mu   sync.Mutex
	gate chan struct{}
	recs [][]byte
}

// stall holds all writes up until its answer is called.
func (s *shelf) stall() func() {
	c := make(chan struct{})
	s.set(c)
	return func() { s.set(nil); close(c) }
}

func (s *shelf) set(c chan struct{}) {
	s.mu.Lock()
	s.gate = c
	s.mu.Unlock()
}

func (s *shelf) wait(end <-chan struct{}) {
	s.mu.Lock()
	c := s.gate
	s.mu.Unlock()
	if c != nil {
		select {
		case <-c:
		case <-end:
		}
	}
}

func (s *shelf) read() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][]byte(nil), s.recs...)
}

type job struct {
	rec  []byte
	page [][]byte
	done func(error)
}

// writer is one life's way to its shelf.
type writer struct {
	s  *shelf
	l  *mailbox.Mailbox
	ch chan job
}

func (x writer) run(end <-chan struct{}) {
	for {
		select {
		case <-end:
			return
		case j := <-x.ch:
			x.s.wait(end)
			x.s.mu.Lock()
			if j.page != nil {
				x.s.recs = append([][]byte(nil), j.page...)
			} else if len(j.rec) > 0 {
				x.s.recs = append(x.s.recs, j.rec)
			}
			x.s.mu.Unlock()
			x.l.Post(func() { j.done(nil) })
		}
	}
}

func (x writer) Append(rec []byte, done func(error))        { x.ch <- job{rec: rec, done: done} }
func (x writer) Checkpoint(page [][]byte, done func(error)) { x.ch <- job{page: page, done: done} }

type member struct {
	w    *room
	addr string
	disk *shelf
	life
}

type life struct {
	l   *mailbox.Mailbox
	b   *replication.Replica
	d   *CoreServer
	end chan struct{}
}

type room struct {
	t   *testing.T
	mu  sync.Mutex
	ms  []*member
	off map[string]bool
	ids int
	t0  time.Time
	wg  sync.WaitGroup
}

// furnish starts a core of n members, on the disks given or on empty ones.
func furnish(t *testing.T, n int, disks ...*shelf) *room {
	w := &room{t: t, off: map[string]bool{}, t0: time.Now()}
	for i := range n {
		m := &member{w: w, addr: fmt.Sprint("m", i), disk: &shelf{}}
		if i < len(disks) {
			m.disk = disks[i]
		}
		w.ms = append(w.ms, m)
	}
	for _, m := range w.ms {
		m.start(len(disks) == 0)
	}
	return w
}

func (w *room) close() {
	for _, m := range w.ms {
		m.kill()
	}
	w.wg.Wait()
}

func (m *member) start(first bool) {
	w := m.w
	var seeds []*meshpb.Member
	for _, x := range w.ms {
		seeds = append(seeds, &meshpb.Member{Addr: x.addr, Control: x.addr})
	}
	l, end := mailbox.New(), make(chan struct{})
	wr := writer{m.disk, l, make(chan job, 1<<16)}
	w.wg.Go(func() { wr.run(end) })
	s := coordination.NewService(l, 4)
	b, err := replication.New(replication.Options{Self: &meshpb.Member{Addr: m.addr, Control: m.addr}, Seeds: seeds, Bootstrap: first, Shards: 4,
		LeaseDuration: 900 * time.Millisecond, HeartbeatInterval: 250 * time.Millisecond, RequestTimeout: 900 * time.Millisecond, EvictionTimeout: 2 * time.Second, CheckpointBytes: 1 << 18,
		NewStateMachine: func() replication.StateMachine { return coordination.NewTable(20 * time.Second) },
		NewID:           func() string { w.ids++; return fmt.Sprint("id", w.ids) },
		Now:             func() time.Duration { return time.Since(w.t0) }, Rand: func(int) int { return 0 },
		OnCommit: s.OnCommit}, tube{m, l}, wr, m.disk.read())
	qt.Assert(w.t, err, qt.IsNil)
	s.Replica = b
	w.mu.Lock()
	m.life = life{l, b, NewCoreServer(s, 650*time.Millisecond), end}
	w.off[m.addr] = false
	w.mu.Unlock()
	w.wg.Go(func() { l.Run(50*time.Millisecond, b.Tick) })
}

func (m *member) kill() {
	m.w.cut(m.addr, true)
	select {
	case <-m.end:
		return
	default:
	}
	close(m.end)
	m.l.Close()
}

func (w *room) cut(addr string, on bool) {
	w.mu.Lock()
	w.off[addr] = on
	w.mu.Unlock()
}

// at gives the life that a member leads, and whether it can be reached.
func (w *room) at(addr string) (life, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.ms {
		if m.addr == addr {
			return m.life, !w.off[addr]
		}
	}
	return life{}, false
}

func (w *room) owner() *member {
	for range 400 {
		for _, m := range w.ms {
			x, up := w.at(m.addr)
			if !up {
				continue
			}
			if own, _ := mailbox.Call(x.l, func() bool { _, own := x.b.OwnedEpoch(0); return own }); own {
				return m
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Fatal("nobody owns shard 0")
	return nil
}

type tube struct {
	m *member
	l *mailbox.Mailbox
}

func pass[Q, R proto.Message](x tube, to string, q Q, cb func(R), f func(replication.Handler, context.Context, Q) (R, error)) {
	q = proto.Clone(q).(Q)
	x.m.w.wg.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), 600*time.Millisecond)
		defer stop()
		time.Sleep(time.Millisecond)
		var none R
		t, up := x.m.w.at(to)
		_, here := x.m.w.at(x.m.addr)
		if !up || !here {
			<-ctx.Done()
			x.l.Post(func() { cb(none) })
			return
		}
		r, err := f(replication.Handler{Mailbox: t.l, Replica: t.b}, ctx, q)
		if _, here = x.m.w.at(x.m.addr); err != nil || !here {
			r = none
		}
		x.l.Post(func() { cb(r) })
	})
}

func (x tube) RenewLeases(to *meshpb.Member, q *meshpb.RenewLeasesRequest, cb func(*meshpb.RenewLeasesResponse)) {
	pass(x, to.Addr, q, cb, replication.Handler.RenewLeases)
}
func (x tube) Replicate(to *meshpb.Member, q *meshpb.ReplicateRequest, cb func(*meshpb.ReplicateResponse)) {
	pass(x, to.Addr, q, cb, replication.Handler.Replicate)
}
func (x tube) RequestVotes(to *meshpb.Member, q *meshpb.RequestVotesRequest, cb func(*meshpb.RequestVotesResponse)) {
	pass(x, to.Addr, q, cb, replication.Handler.RequestVotes)
}
func (x tube) TransferOwnership(to *meshpb.Member, q *meshpb.TransferOwnershipRequest, cb func(*meshpb.TransferOwnershipResponse)) {
	pass(x, to.Addr, q, cb, replication.Handler.TransferOwnership)
}
func (x tube) AcceptMembership(to *meshpb.Member, q *meshpb.AcceptMembershipRequest, cb func(*meshpb.AcceptMembershipResponse)) {
	pass(x, to.Addr, q, cb, replication.Handler.AcceptMembership)
}
func (x tube) Join(to string, q *meshpb.JoinRequest, cb func(*meshpb.JoinResponse)) {
	pass(x, to, q, cb, replication.Handler.Join)
}

// sending is one call of the operator or of an application.
type sending struct{ method, path, on, body string }

// once sends to one member and follows two redirects, as callers do.
func (w *room) once(to string, s sending) (int, string) {
	for hop := 0; ; hop++ {
		m, up := w.at(to)
		if !up {
			return 0, ""
		}
		r := httptest.NewRequest(s.method, s.path, strings.NewReader(s.body))
		if s.on != "" {
			r.Header.Set("If-Match", s.on)
		}
		time.Sleep(2 * time.Millisecond)
		rec := httptest.NewRecorder()
		m.d.ServeHTTP(rec, r)
		u, err := url.Parse(rec.Header().Get("Location"))
		if rec.Code != 307 || err != nil || hop == 2 {
			return rec.Code, rec.Body.String()
		}
		to = u.Host
	}
}

// sure sends to one member after the other until an answer is clear.
func (w *room) sure(from int, s sending) (int, string) {
	for i := range 200 {
		c, b := w.once(w.ms[(from+i)%len(w.ms)].addr, s)
		if c != 0 && c != 307 && c < 500 {
			return c, b
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, ""
}
