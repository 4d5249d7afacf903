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

// memoryDisk holds the log records of a member across its restarts.
type memoryDisk struct {
	mu sync.Mutex
	// gate, if not nil, blocks writes until it is closed.
	gate    chan struct{}
	records [][]byte
}

// blockWrites blocks all writes until the returned function is called.
func (d *memoryDisk) blockWrites() func() {
	gate := make(chan struct{})
	d.setGate(gate)
	return func() { d.setGate(nil); close(gate) }
}

func (d *memoryDisk) setGate(gate chan struct{}) {
	d.mu.Lock()
	d.gate = gate
	d.mu.Unlock()
}

func (d *memoryDisk) waitForGate(stopped <-chan struct{}) {
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

// diskWrite is a pending write: a record to append, or a snapshot that replaces all
// records.
type diskWrite struct {
	record   []byte
	snapshot [][]byte
	done     func(error)
}

// diskWriter is the replication log of an incarnation. It writes to the member's disk
// asynchronously.
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
			w.disk.waitForGate(stopped)
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

// member is a core member with its current or last incarnation.
type member struct {
	cluster *cluster
	addr    string
	disk    *memoryDisk
	incarnation
}

// incarnation is a process of a member, from start to kill.
type incarnation struct {
	mailbox *mailbox.Mailbox
	replica *replication.Replica
	server  *CoreServer
	stopped chan struct{}
}

// cluster is a core whose servers and replicas are real, while its network and disks are
// simulated in memory and its clock is that of synctest.
type cluster struct {
	t       *testing.T
	mu      sync.Mutex
	members []*member
	// disconnected holds the addresses that exchange no messages with others.
	disconnected map[string]bool
	// cut holds pairs of addresses: no message of the first member reaches the second.
	// Callers still reach both.
	cut     map[[2]string]bool
	lastID  int
	started time.Time
	wg      sync.WaitGroup
}

// newCluster starts a core with size members. Members without a given disk get an empty
// one. The core is bootstrapped if no disks are given.
func newCluster(t *testing.T, size int, disks ...*memoryDisk) *cluster {
	c := &cluster{t: t, disconnected: map[string]bool{}, cut: map[[2]string]bool{}, started: time.Now()}
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

// close stops all members and waits for the goroutines of the cluster.
func (c *cluster) close() {
	for _, m := range c.members {
		m.kill()
	}
	c.wg.Wait()
}

// start starts a new incarnation on the member's disk.
func (m *member) start(bootstrap bool) {
	c := m.cluster
	var seeds []*meshpb.Member
	for _, seed := range c.members {
		seeds = append(seeds, &meshpb.Member{Addr: seed.addr, Control: seed.addr})
	}
	mb, stopped := mailbox.New(), make(chan struct{})
	writer := diskWriter{m.disk, mb, make(chan diskWrite, 1<<16)}
	c.wg.Go(func() { writer.run(stopped) })
	service := coordination.NewService(mb, 4)
	replica, err := replication.New(replication.Options{Self: &meshpb.Member{Addr: m.addr, Control: m.addr}, Seeds: seeds, Bootstrap: bootstrap, Shards: 4,
		LeaseDuration: 900 * time.Millisecond, HeartbeatInterval: 250 * time.Millisecond, RequestTimeout: 900 * time.Millisecond, EvictionTimeout: 2 * time.Second, CheckpointBytes: 1 << 18,
		NewStateMachine: func() replication.StateMachine { return coordination.NewTable(20 * time.Second) },
		NewID:           func() string { c.lastID++; return fmt.Sprint("id", c.lastID) },
		Now:             func() time.Duration { return time.Since(c.started) }, Rand: func(int) int { return 0 },
		OnCommit: service.OnCommit}, clusterTransport{m, mb}, writer, m.disk.readAll())
	qt.Assert(c.t, err, qt.IsNil)
	service.Replica = replica
	c.mu.Lock()
	m.incarnation = incarnation{mb, replica, NewCoreServer(service, 650*time.Millisecond), stopped}
	c.disconnected[m.addr] = false
	c.mu.Unlock()
	c.wg.Go(func() { mb.Run(50*time.Millisecond, replica.Tick) })
}

// kill disconnects the member and stops its incarnation without a shutdown.
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

// setCut cuts the link from one member to another, or restores it.
func (c *cluster) setCut(from, to string, cut bool) {
	c.mu.Lock()
	c.cut[[2]string{from, to}] = cut
	c.mu.Unlock()
}

func (c *cluster) isCut(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[[2]string{from, to}]
}

// freeze stops the member's replica, as if its process were suspended, until the returned
// function is called. Requests to it wait.
func (m *member) freeze() (thaw func()) {
	thawed := make(chan struct{})
	m.mailbox.Post(func() { <-thawed })
	return func() { close(thawed) }
}

// incarnationAt returns the incarnation at an address, and whether it is connected.
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

// waitForOwner returns the connected member that owns shard 0. It waits for one for up to
// 20 seconds.
func (c *cluster) waitForOwner() *member {
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
	c.t.Fatal("no member owns shard 0")
	return nil
}

// clusterTransport sends the replication calls of an incarnation to other members.
type clusterTransport struct {
	from    *member
	mailbox *mailbox.Mailbox
}

// send calls method on the replica at an address and passes the response to done on the
// caller's mailbox. Without a response done gets nil, after a timeout if either member is
// disconnected.
func send[Q, R proto.Message](t clusterTransport, to string, message Q, done func(R), method func(replication.Handler, context.Context, Q) (R, error)) {
	message = proto.Clone(message).(Q)
	t.from.cluster.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
		defer cancel()
		time.Sleep(time.Millisecond)
		var noResponse R
		target, reachable := t.from.cluster.incarnationAt(to)
		_, connected := t.from.cluster.incarnationAt(t.from.addr)
		if !reachable || !connected || t.from.cluster.isCut(t.from.addr, to) {
			<-ctx.Done()
			t.mailbox.Post(func() { done(noResponse) })
			return
		}
		response, err := method(replication.Handler{Mailbox: target.mailbox, Replica: target.replica}, ctx, message)
		if _, connected = t.from.cluster.incarnationAt(t.from.addr); err != nil || !connected || t.from.cluster.isCut(to, t.from.addr) {
			response = noResponse
		}
		t.mailbox.Post(func() { done(response) })
	})
}

func (t clusterTransport) RenewLeases(to *meshpb.Member, req *meshpb.RenewLeasesRequest, done func(*meshpb.RenewLeasesResponse)) {
	send(t, to.Addr, req, done, replication.Handler.RenewLeases)
}
func (t clusterTransport) Replicate(to *meshpb.Member, req *meshpb.ReplicateRequest, done func(*meshpb.ReplicateResponse)) {
	send(t, to.Addr, req, done, replication.Handler.Replicate)
}
func (t clusterTransport) RequestVotes(to *meshpb.Member, req *meshpb.RequestVotesRequest, done func(*meshpb.RequestVotesResponse)) {
	send(t, to.Addr, req, done, replication.Handler.RequestVotes)
}
func (t clusterTransport) TransferOwnership(to *meshpb.Member, req *meshpb.TransferOwnershipRequest, done func(*meshpb.TransferOwnershipResponse)) {
	send(t, to.Addr, req, done, replication.Handler.TransferOwnership)
}
func (t clusterTransport) AcceptMembership(to *meshpb.Member, req *meshpb.AcceptMembershipRequest, done func(*meshpb.AcceptMembershipResponse)) {
	send(t, to.Addr, req, done, replication.Handler.AcceptMembership)
}
func (t clusterTransport) Join(to string, req *meshpb.JoinRequest, done func(*meshpb.JoinResponse)) {
	send(t, to, req, done, replication.Handler.Join)
}

// operatorRequest is a request of an operator or an application. base is the If-Match
// header; it is not sent if it is empty.
type operatorRequest struct{ method, path, base, body string }

// sendOnce sends a request to one member and follows up to two redirects, as callers do.
// The code is 0 if the member is disconnected.
func (c *cluster) sendOnce(to string, req operatorRequest) (int, string) {
	for hop := 0; ; hop++ {
		target, connected := c.incarnationAt(to)
		if !connected {
			return 0, ""
		}
		httpRequest := httptest.NewRequest(req.method, req.path, strings.NewReader(req.body))
		if req.base != "" {
			httpRequest.Header.Set("If-Match", req.base)
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

// sendUntilDecided sends a request to one member after the other until the response
// tells whether it was executed. The code is 0 if none does within 200 attempts.
func (c *cluster) sendUntilDecided(from int, req operatorRequest) (int, string) {
	for i := range 200 {
		code, body := c.sendOnce(c.members[(from+i)%len(c.members)].addr, req)
		if code != 0 && code != 307 && code < 500 {
			return code, body
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, ""
}
