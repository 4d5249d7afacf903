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

// memoryDisk holds the records of a member; it survives its restarts.
type memoryDisk struct {
	mu      sync.Mutex
	gate    chan struct{}
	records [][]byte
}

// block holds up all writes until the returned function is called.
func (d *memoryDisk) block() func() {
	gate := make(chan struct{})
	d.setGate(gate)
	return func() { d.setGate(nil); close(gate) }
}

func (d *memoryDisk) setGate(gate chan struct{}) {
	d.mu.Lock()
	d.gate = gate
	d.mu.Unlock()
}

func (d *memoryDisk) waitAtGate(stopped <-chan struct{}) {
	d.mu.Lock()
	gate := d.gate
	d.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-stopped:
		}
	}
}

func (d *memoryDisk) readAll() [][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([][]byte(nil), d.records...)
}

type diskWrite struct {
	record   []byte
	snapshot [][]byte
	done     func(error)
}

// diskWriter is an incarnation's log on its member's disk.
type diskWriter struct {
	disk    *memoryDisk
	mailbox *mailbox.Mailbox
	writes  chan diskWrite
}

func (w diskWriter) run(stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case write := <-w.writes:
			w.disk.waitAtGate(stopped)
			w.disk.mu.Lock()
			if write.snapshot != nil {
				w.disk.records = append([][]byte(nil), write.snapshot...)
			} else if len(write.record) > 0 {
				w.disk.records = append(w.disk.records, write.record)
			}
			w.disk.mu.Unlock()
			w.mailbox.Post(func() { write.done(nil) })
		}
	}
}

func (w diskWriter) Append(record []byte, done func(error)) {
	w.writes <- diskWrite{record: record, done: done}
}
func (w diskWriter) Checkpoint(snapshot [][]byte, done func(error)) {
	w.writes <- diskWrite{snapshot: snapshot, done: done}
}

// member is a core member, and its present or last incarnation.
type member struct {
	cluster *cluster
	addr    string
	disk    *memoryDisk
	incarnation
}

type incarnation struct {
	mailbox *mailbox.Mailbox
	replica *replication.Replica
	server  *CoreServer
	stopped chan struct{}
}

// cluster is a core in memory: real servers over real replicas, on the clock of
// synctest, with network and disks in memory.
type cluster struct {
	t            *testing.T
	mu           sync.Mutex
	members      []*member
	disconnected map[string]bool
	lastID       int
	started      time.Time
	wg           sync.WaitGroup
}

// newCluster starts a core of size members, on the disks given or on empty ones.
func newCluster(t *testing.T, size int, disks ...*memoryDisk) *cluster {
	c := &cluster{t: t, disconnected: map[string]bool{}, started: time.Now()}
	for i := range size {
		m := &member{cluster: c, addr: fmt.Sprint("m", i), disk: &memoryDisk{}}
		if i < len(disks) {
			m.disk = disks[i]
		}
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		m.start(len(disks) == 0)
	}
	return c
}

func (c *cluster) close() {
	for _, m := range c.members {
		m.kill()
	}
	c.wg.Wait()
}

func (m *member) start(first bool) {
	c := m.cluster
	var seeds []*meshpb.Member
	for _, seed := range c.members {
		seeds = append(seeds, &meshpb.Member{Addr: seed.addr, Control: seed.addr})
	}
	loop, stopped := mailbox.New(), make(chan struct{})
	writer := diskWriter{m.disk, loop, make(chan diskWrite, 1<<16)}
	c.wg.Go(func() { writer.run(stopped) })
	service := coordination.NewService(loop, 4)
	replica, err := replication.New(replication.Options{Self: &meshpb.Member{Addr: m.addr, Control: m.addr}, Seeds: seeds, Bootstrap: first, Shards: 4,
		LeaseDuration: 900 * time.Millisecond, HeartbeatInterval: 250 * time.Millisecond, RequestTimeout: 900 * time.Millisecond, EvictionTimeout: 2 * time.Second, CheckpointBytes: 1 << 18,
		NewStateMachine: func() replication.StateMachine { return coordination.NewTable(20 * time.Second) },
		NewID:           func() string { c.lastID++; return fmt.Sprint("id", c.lastID) },
		Now:             func() time.Duration { return time.Since(c.started) }, Rand: func(int) int { return 0 },
		OnCommit: service.OnCommit}, clusterTransport{m, loop}, writer, m.disk.readAll())
	qt.Assert(c.t, err, qt.IsNil)
	service.Replica = replica
	c.mu.Lock()
	m.incarnation = incarnation{loop, replica, NewCoreServer(service, 650*time.Millisecond), stopped}
	c.disconnected[m.addr] = false
	c.mu.Unlock()
	c.wg.Go(func() { loop.Run(50*time.Millisecond, replica.Tick) })
}

func (m *member) kill() {
	m.cluster.setDisconnected(m.addr, true)
	select {
	case <-m.stopped:
		return
	default:
	}
	close(m.stopped)
	m.mailbox.Close()
}

func (c *cluster) setDisconnected(addr string, disconnected bool) {
	c.mu.Lock()
	c.disconnected[addr] = disconnected
	c.mu.Unlock()
}

// incarnationAt returns the incarnation at an address, and whether it can be
// reached.
func (c *cluster) incarnationAt(addr string) (incarnation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.addr == addr {
			return m.incarnation, !c.disconnected[addr]
		}
	}
	return incarnation{}, false
}

func (c *cluster) owner() *member {
	for range 400 {
		for _, m := range c.members {
			current, connected := c.incarnationAt(m.addr)
			if !connected {
				continue
			}
			if owns, _ := mailbox.Call(current.mailbox, func() bool { _, owns := current.replica.OwnedEpoch(0); return owns }); owns {
				return m
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("nobody owns shard 0")
	return nil
}

// clusterTransport carries an incarnation's calls to the other members.
type clusterTransport struct {
	from    *member
	mailbox *mailbox.Mailbox
}

func send[Q, R proto.Message](t clusterTransport, to string, message Q, done func(R), handle func(replication.Handler, context.Context, Q) (R, error)) {
	message = proto.Clone(message).(Q)
	t.from.cluster.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
		defer cancel()
		time.Sleep(time.Millisecond)
		var noAnswer R
		target, reachable := t.from.cluster.incarnationAt(to)
		_, connected := t.from.cluster.incarnationAt(t.from.addr)
		if !reachable || !connected {
			<-ctx.Done()
			t.mailbox.Post(func() { done(noAnswer) })
			return
		}
		answer, err := handle(replication.Handler{Mailbox: target.mailbox, Replica: target.replica}, ctx, message)
		if _, connected = t.from.cluster.incarnationAt(t.from.addr); err != nil || !connected {
			answer = noAnswer
		}
		t.mailbox.Post(func() { done(answer) })
	})
}

func (t clusterTransport) RenewLeases(to *meshpb.Member, q *meshpb.RenewLeasesRequest, done func(*meshpb.RenewLeasesResponse)) {
	send(t, to.Addr, q, done, replication.Handler.RenewLeases)
}
func (t clusterTransport) Replicate(to *meshpb.Member, q *meshpb.ReplicateRequest, done func(*meshpb.ReplicateResponse)) {
	send(t, to.Addr, q, done, replication.Handler.Replicate)
}
func (t clusterTransport) RequestVotes(to *meshpb.Member, q *meshpb.RequestVotesRequest, done func(*meshpb.RequestVotesResponse)) {
	send(t, to.Addr, q, done, replication.Handler.RequestVotes)
}
func (t clusterTransport) TransferOwnership(to *meshpb.Member, q *meshpb.TransferOwnershipRequest, done func(*meshpb.TransferOwnershipResponse)) {
	send(t, to.Addr, q, done, replication.Handler.TransferOwnership)
}
func (t clusterTransport) AcceptMembership(to *meshpb.Member, q *meshpb.AcceptMembershipRequest, done func(*meshpb.AcceptMembershipResponse)) {
	send(t, to.Addr, q, done, replication.Handler.AcceptMembership)
}
func (t clusterTransport) Join(to string, q *meshpb.JoinRequest, done func(*meshpb.JoinResponse)) {
	send(t, to, q, done, replication.Handler.Join)
}

// operatorRequest is one call of an operator or an application.
type operatorRequest struct{ method, path, base, body string }

// sendOnce sends to one member and follows two redirects, as callers do.
func (c *cluster) sendOnce(to string, q operatorRequest) (int, string) {
	for hop := 0; ; hop++ {
		target, connected := c.incarnationAt(to)
		if !connected {
			return 0, ""
		}
		httpRequest := httptest.NewRequest(q.method, q.path, strings.NewReader(q.body))
		if q.base != "" {
			httpRequest.Header.Set("If-Match", q.base)
		}
		time.Sleep(2 * time.Millisecond)
		recorder := httptest.NewRecorder()
		target.server.ServeHTTP(recorder, httpRequest)
		location, err := url.Parse(recorder.Header().Get("Location"))
		if recorder.Code != 307 || err != nil || hop == 2 {
			return recorder.Code, recorder.Body.String()
		}
		to = location.Host
	}
}

// sendUntilDecided sends to one member after the other until the answer is
// definite.
func (c *cluster) sendUntilDecided(from int, q operatorRequest) (int, string) {
	for i := range 200 {
		code, body := c.sendOnce(c.members[(from+i)%len(c.members)].addr, q)
		if code != 0 && code != 307 && code < 500 {
			return code, body
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, ""
}
