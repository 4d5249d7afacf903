package replication_test

import (
	"container/heap"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/coordination"
	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

// A world of boards on a made clock, wire and disk. One seed gives one order
// of events; nothing in it sleeps.

type happening struct {
	at  time.Duration
	seq int
	f   func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	o := *a
	x := o[len(o)-1]
	*a = o[:len(o)-1]
	return x
}

type machine struct {
	w     *world
	addr  string
	life  int
	up    bool
	board *replication.Replica
	disk  [][]byte
	// busy are the jobs that the disk works on, queue those that wait for it.
	busy  []job
	queue []job
	sync  time.Duration
	full  bool
	stuck bool
	bad   bool
	first bool
	// slow is how much later its ticks come than they should.
	slow time.Duration
	// While frozen, what happens to it waits in backlog.
	frozen  bool
	backlog []func()
	leaves  bool
	came    time.Duration
	went    time.Duration
}

type tester interface {
	Helper()
	Log(a ...any)
	Fatal(a ...any)
	Fatalf(f string, a ...any)
}

type world struct {
	t     tester
	now   time.Duration
	seq   int
	ag    agenda
	rng   *rand.Rand
	ms    map[string]*machine
	names []string
	// told are the seeds of all that start later, if set.
	told []string
	// sync is how long a sound disk takes for a sync.
	sync time.Duration
	// plain is a member that knows no raises; copies counts the copies sent.
	plain  string
	copies int
	cut    map[[2]string]bool
	// What mute machines send, and what is sent to deaf ones, is lost.
	mute  map[string]bool
	deaf  map[string]bool
	loss  float64
	late  float64
	twice float64
	ids   int
	n     int
	log   []string
}

const simShards = 4

var seeds = flag.Int64("seeds", 60, "how many orders of events to try")

func newWorld(t tester, seed int64, n int) *world {
	w := &world{t: t, rng: rand.New(rand.NewSource(seed)), ms: map[string]*machine{}, cut: map[[2]string]bool{}, mute: map[string]bool{}, deaf: map[string]bool{}, n: n, sync: 2 * time.Millisecond}
	for i := 0; i < n; i++ {
		w.names = append(w.names, fmt.Sprintf("m%d", i))
	}
	for _, a := range slices.Clone(w.names) {
		w.add(a, true)
	}
	return w
}

func (w *world) note(f string, a ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(f, a...))
}

func (w *world) at(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.ag, happening{w.now + d, w.seq, f})
}

func (w *world) run(until time.Duration) {
	for len(w.ag) > 0 && w.ag[0].at <= until {
		h := heap.Pop(&w.ag).(happening)
		w.now = h.at
		h.f()
	}
	w.now = until
}

// seeds are the first three at the first start; later some that a list knows,
// which lags.
func (w *world) seeds(first bool) []*meshpb.Member {
	var out []*meshpb.Member
	for _, a := range w.names {
		if m := w.ms[a]; first || m != nil && m.listed(w.now) {
			out = append(out, &meshpb.Member{Addr: a, Control: a})
		}
	}
	if first {
		return out[:min(w.n, 3)]
	}
	if w.told != nil {
		out = out[:0]
		for _, a := range w.told {
			out = append(out, &meshpb.Member{Addr: a, Control: a})
		}
		return out
	}
	w.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), 3)]
}

const seedLag = 3 * time.Second

func (m *machine) listed(now time.Duration) bool {
	return m.came+seedLag <= now && (m.up || now < m.went+seedLag) || m.came == 0 && now < seedLag
}

func (w *world) add(addr string, first bool) *machine {
	m := &machine{w: w, addr: addr, sync: w.sync, first: first}
	w.ms[addr], m.came = m, w.now
	if !slices.Contains(w.names, addr) {
		w.names = append(w.names, addr)
	}
	m.start()
	return m
}

// syncs sets how long all disks take for a sync.
func (w *world) syncs(d time.Duration) {
	w.sync = d
	for _, m := range w.all() {
		m.sync = d
	}
}

// all are the machines in the order in which they came.
func (w *world) all() []*machine {
	var out []*machine
	for _, a := range w.names {
		out = append(out, w.ms[a])
	}
	return out
}

// do lets something happen to one life of a process, later if it is frozen.
func (m *machine) do(life int, f func()) {
	switch {
	case m.life != life:
	case m.frozen:
		m.backlog = append(m.backlog, func() { m.do(life, f) })
	default:
		f()
	}
}

func (m *machine) freeze() { m.frozen = true }

func (m *machine) thaw() {
	m.frozen = false
	b := m.backlog
	m.backlog = nil
	for _, f := range b {
		f()
	}
}

func (m *machine) start() {
	w := m.w
	m.life++
	m.up = true
	life := m.life
	b, err := replication.New(replication.Options{
		Self: &meshpb.Member{Addr: m.addr, Control: m.addr}, Seeds: w.seeds(m.first), Bootstrap: m.first, Shards: simShards,
		LeaseDuration: 900 * time.Millisecond, HeartbeatInterval: 250 * time.Millisecond, RequestTimeout: 900 * time.Millisecond, EvictionTimeout: 2 * time.Second, CheckpointBytes: 20000,
		NewStateMachine: func() replication.StateMachine { return coordination.NewTable(20 * time.Second) },
		NewID:           func() string { w.ids++; return fmt.Sprintf("id%d", w.ids) },
		Now:             func() time.Duration { return w.now }, Rand: w.rng.Intn,
		Logf: func(f string, a ...any) { w.note(m.addr+" "+f, a...) },
	}, &wire{m, life}, &shelf{m, life}, append([][]byte(nil), m.disk...))
	if err != nil {
		w.t.Fatal(err)
	}
	m.first = false
	m.board = b
	var tick func()
	tick = func() {
		m.do(life, func() {
			b.Tick()
			w.at(50*time.Millisecond+m.slow, tick)
		})
	}
	w.at(time.Millisecond*time.Duration(w.rng.Intn(50)), tick)
}

// kill ends the process; of what the disk had not synced, it keeps a beginning.
func (m *machine) kill() {
	m.up, m.frozen, m.backlog = false, false, nil
	m.life++
	m.board, m.went = nil, m.w.now
	if n := len(m.busy); n > 0 {
		for _, j := range m.busy[:m.w.rng.Intn(n+1)] {
			m.put(j)
		}
	}
	m.busy, m.queue, m.bad = nil, nil, false
}

type job struct {
	rec  []byte
	page [][]byte
	done func(error)
}

func (m *machine) put(j job) {
	switch {
	case j.page != nil:
		m.disk = slices.Clone(j.page)
	case len(j.rec) > 0:
		m.disk = append(m.disk, j.rec)
	}
}

type shelf struct {
	m    *machine
	life int
}

var errFull = errors.New("no space left")

func (s *shelf) push(j job) {
	if s.m.life != s.life {
		return
	}
	s.m.queue = append(s.m.queue, j)
	s.turn()
}

// turn takes a page alone, or all records up to the next page, as one sync.
func (s *shelf) turn() {
	m := s.m
	if m.life != s.life || len(m.busy) > 0 || len(m.queue) == 0 {
		return
	}
	n := 1
	for m.queue[0].page == nil && n < len(m.queue) && m.queue[n].page == nil {
		n++
	}
	m.busy, m.queue = m.queue[:n:n], m.queue[n:]
	m.w.at(m.sync, s.finish)
}

func (s *shelf) finish() {
	m := s.m
	if m.life != s.life {
		return
	}
	if m.stuck {
		m.w.at(20*time.Millisecond, s.finish)
		return
	}
	js := m.busy
	m.busy = nil
	var err error
	if m.full || m.bad && js[0].page == nil {
		err = errFull
	}
	m.bad = err != nil
	for _, j := range js {
		if err == nil {
			m.put(j)
		}
		m.do(s.life, func() { j.done(err) })
	}
	s.turn()
}

func (s *shelf) Append(rec []byte, done func(error)) { s.push(job{rec: rec, done: done}) }

func (s *shelf) Checkpoint(page [][]byte, done func(error)) { s.push(job{page: page, done: done}) }

type wire struct {
	m    *machine
	life int
}

func (w *world) open(a, b string) bool {
	return !w.cut[[2]string{a, b}] && !w.mute[a] && !w.deaf[b]
}

func carry[Q, R proto.Message](x *wire, to string, q Q, cb func(R), f func(b *replication.Replica, q Q, reply func(R))) {
	w := x.m.w
	var none R
	done := false
	fin := func(r R) {
		x.m.do(x.life, func() {
			if !done {
				done = true
				cb(r)
			}
		})
	}
	w.at(600*time.Millisecond, func() { fin(none) })
	lag := func() time.Duration {
		d := time.Duration(200+w.rng.Intn(4000)) * time.Microsecond
		if w.late > 0 && w.rng.Float64() < w.late {
			d += time.Duration(w.rng.Intn(1200)) * time.Millisecond
		}
		return d
	}
	q = proto.Clone(q).(Q)
	there := func() {
		t := w.ms[to]
		if t == nil || !t.up || !w.open(x.m.addr, to) || w.loss > 0 && w.rng.Float64() < w.loss {
			return
		}
		life := t.life
		t.do(life, func() {
			f(t.board, q, func(r R) {
				if any(r) == any(none) || t.life != life || !w.open(to, x.m.addr) || w.loss > 0 && w.rng.Float64() < w.loss {
					return
				}
				r = proto.Clone(r).(R)
				w.at(lag(), func() { fin(r) })
			})
		})
	}
	w.at(lag(), there)
	if w.twice > 0 && w.rng.Float64() < w.twice {
		w.at(lag()+20*time.Millisecond, there)
	}
}

func (x *wire) RenewLeases(to *meshpb.Member, q *meshpb.RenewLeasesRequest, cb func(*meshpb.RenewLeasesResponse)) {
	carry(x, to.Addr, q, cb, func(b *replication.Replica, q *meshpb.RenewLeasesRequest, f func(*meshpb.RenewLeasesResponse)) {
		f(b.HandleRenewLeases(q))
	})
}
func (x *wire) Replicate(to *meshpb.Member, q *meshpb.ReplicateRequest, cb func(*meshpb.ReplicateResponse)) {
	x.m.w.copies++
	if x.m.w.plain != to.Addr {
		carry(x, to.Addr, q, cb, (*replication.Replica).HandleReplicate)
		return
	}
	q = proto.Clone(q).(*meshpb.ReplicateRequest)
	q.EpochChanges = nil
	carry(x, to.Addr, q, cb, func(b *replication.Replica, q *meshpb.ReplicateRequest, reply func(*meshpb.ReplicateResponse)) {
		b.HandleReplicate(q, func(r *meshpb.ReplicateResponse) {
			for _, a := range r.GetAcks() {
				a.HaveEpoch, a.HaveVersion = 0, 0
			}
			reply(r)
		})
	})
}
func (x *wire) RequestVotes(to *meshpb.Member, q *meshpb.RequestVotesRequest, cb func(*meshpb.RequestVotesResponse)) {
	carry(x, to.Addr, q, cb, (*replication.Replica).HandleRequestVotes)
}
func (x *wire) TransferOwnership(to *meshpb.Member, q *meshpb.TransferOwnershipRequest, cb func(*meshpb.TransferOwnershipResponse)) {
	carry(x, to.Addr, q, cb, func(b *replication.Replica, q *meshpb.TransferOwnershipRequest, f func(*meshpb.TransferOwnershipResponse)) {
		f(b.HandleTransferOwnership(q))
	})
}
func (x *wire) AcceptMembership(to *meshpb.Member, q *meshpb.AcceptMembershipRequest, cb func(*meshpb.AcceptMembershipResponse)) {
	carry(x, to.Addr, q, cb, (*replication.Replica).HandleAcceptMembership)
}
func (x *wire) Join(to string, q *meshpb.JoinRequest, cb func(*meshpb.JoinResponse)) {
	carry(x, to, q, cb, func(b *replication.Replica, q *meshpb.JoinRequest, f func(*meshpb.JoinResponse)) { f(b.HandleJoin(q)) })
}

// The callers' side and the rules.

type rules struct {
	w       *world
	served  int
	failed  int
	numTop  uint64
	numSeen map[uint64]bool
	revTop  map[string]uint64
	revSeen map[uint64]string
	grpTop  uint64
	vals    int
	values  map[string]map[string]bool
	until   map[string]time.Duration
	holder  map[string]string
	fence   map[string]uint64
	// gentle asks less often, where worlds are long.
	gentle bool
	// onAck is called at the moment at which a change has been acknowledged.
	onAck func()
}

func newRules(w *world) *rules {
	return &rules{w: w, numSeen: map[uint64]bool{}, revTop: map[string]uint64{}, revSeen: map[uint64]string{},
		values: map[string]map[string]bool{}, until: map[string]time.Duration{}, holder: map[string]string{}, fence: map[string]uint64{}}
}

func (r *rules) broken(f string, a ...any) {
	n := len(r.w.log)
	for _, l := range r.w.log[max(0, n-60):] {
		r.w.t.Log(l)
	}
	r.w.t.Fatalf("at %v: "+f, append([]any{r.w.now}, a...)...)
}

func (r *rules) pick() *machine {
	var ups []*machine
	for _, m := range r.w.all() {
		if m.up && !m.frozen {
			ups = append(ups, m)
		}
	}
	if len(ups) == 0 {
		return nil
	}
	return ups[r.w.rng.Intn(len(ups))]
}

// call goes to some member; where that one names an owner, the owner is tried.
// The answer comes to cb unless the member dies or is frozen for long.
func (r *rules) call(shard int, f func(t *coordination.Table, now time.Duration) *meshpb.Change, cb func(error)) {
	if m := r.pick(); m != nil {
		r.callAt(m, shard, 2, f, cb)
	}
}

func (r *rules) callAt(m *machine, shard, hops int, f func(t *coordination.Table, now time.Duration) *meshpb.Change, cb func(error)) {
	w := r.w
	lag := func() time.Duration { return time.Duration(w.rng.Intn(3000)) * time.Microsecond }
	changed := false
	answer := func(err error) {
		if err == nil && changed && r.onAck != nil {
			r.onAck()
		}
		w.at(lag(), func() {
			if err != nil {
				r.failed++
			} else {
				r.served++
			}
			cb(err)
		})
	}
	life := m.life
	w.at(lag(), func() {
		if !m.up {
			return
		}
		m.do(life, func() {
			b := m.board
			if _, own := b.OwnedEpoch(shard); !own && hops > 0 {
				o, ok := b.Owner(shard)
				if !ok || w.ms[o.Addr] == nil || !w.ms[o.Addr].up {
					answer(replication.ErrUnavailable)
					return
				}
				r.callAt(w.ms[o.Addr], shard, hops-1, f, cb)
				return
			}
			b.Execute(shard, func(t replication.StateMachine, now time.Duration) *meshpb.Change {
				c := f(t.(*coordination.Table), now)
				changed = c != nil
				return c
			}, answer)
		})
	})
}

func (r *rules) number() {
	top := r.numTop
	var n uint64
	r.call(1, func(t *coordination.Table, _ time.Duration) *meshpb.Change {
		d := t.NextNumber("n")
		n = d.Result
		return d.Change
	}, func(err error) {
		if err != nil {
			return
		}
		if r.numSeen[n] || n <= top {
			r.broken("ORDER: number %d after %d (seen %v)", n, top, r.numSeen[n])
		}
		r.numSeen[n] = true
		r.numTop = max(r.numTop, n)
	})
}

func (r *rules) put() {
	k := fmt.Sprintf("g.%d", r.w.rng.Intn(3))
	r.vals++
	v := fmt.Sprintf("v%d", r.vals)
	if r.values[k] == nil {
		r.values[k] = map[string]bool{}
	}
	r.values[k][v] = true
	top := r.grpTop
	var c coordination.Cell
	r.call(2, func(t *coordination.Table, now time.Duration) *meshpb.Change {
		d := t.Put(k, v, nil, now)
		c = d.Result
		return d.Change
	}, func(err error) {
		if err != nil {
			return
		}
		if r.revSeen[c.Revision] != "" || c.Revision <= top {
			r.broken("ORDER: revision %d after %d", c.Revision, top)
		}
		r.revSeen[c.Revision] = v
		r.grpTop = max(r.grpTop, c.Revision)
		r.revTop[k] = max(r.revTop[k], c.Revision)
	})
}

func (r *rules) get() {
	k := fmt.Sprintf("g.%d", r.w.rng.Intn(3))
	top := r.revTop[k]
	var c coordination.Cell
	r.call(2, func(t *coordination.Table, _ time.Duration) *meshpb.Change { c = t.Get(k).Result; return nil }, func(err error) {
		if err != nil {
			return
		}
		if c.Revision < top {
			r.broken("STALE: %s read at %d, acknowledged at %d", k, c.Revision, top)
		}
		if c.Revision > 0 && !r.values[k][c.Payload] {
			r.broken("MIXED: %s shows %q", k, c.Payload)
		}
		if o := r.revSeen[c.Revision]; o != "" && o != c.Payload {
			r.broken("MIXED: revision %d was %s, shows %s", c.Revision, o, c.Payload)
		}
	})
}

func (r *rules) take() {
	k := fmt.Sprintf("l%d", r.w.rng.Intn(2))
	who := fmt.Sprintf("h%d", r.w.rng.Intn(4))
	sent := r.w.now
	old := r.fence[k]
	oldWho := r.holder[k]
	hold := time.Duration(300+r.w.rng.Intn(1500)) * time.Millisecond
	var d coordination.Decision[coordination.LockGrant]
	r.call(3, func(t *coordination.Table, now time.Duration) *meshpb.Change {
		d = t.AcquireLock(k, who, hold, now)
		return d.Change
	}, func(err error) {
		if err != nil || d.Err != nil {
			return
		}
		g := d.Result
		if r.w.now >= sent+hold {
			return
		}
		if r.holder[k] != who && r.w.now < r.until[k] {
			r.broken("ONE: %s holds %s until %v, now also %s", r.holder[k], k, r.until[k], who)
		}
		if oldWho != who && g.FencingToken <= old {
			r.broken("ONE: fence %d of %s is not above %d", g.FencingToken, who, old)
		}
		r.holder[k], r.until[k] = who, max(sent+hold, cond(r.holder[k] == who, r.until[k]))
		r.fence[k] = max(r.fence[k], g.FencingToken)
	})
}

func cond(b bool, d time.Duration) time.Duration {
	if b {
		return d
	}
	return 0
}

func (r *rules) work(end time.Duration) {
	var step func()
	step = func() {
		if r.w.now >= end {
			return
		}
		switch r.w.rng.Intn(4) {
		case 0:
			r.number()
		case 1:
			r.put()
		case 2:
			r.get()
		case 3:
			r.take()
		}
		gap := time.Duration(r.w.rng.Intn(20000)) * time.Microsecond
		if r.gentle {
			gap *= 4
		}
		r.w.at(gap, step)
	}
	r.w.at(time.Second, step)
}

func (w *world) isolate(a string, on bool) {
	for _, b := range w.names {
		if b != a {
			w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = on, on
		}
	}
}

func (w *world) owners() int {
	n := 0
	for s := 0; s < simShards; s++ {
		for _, m := range w.all() {
			if m.up && !m.frozen {
				if _, own := m.board.OwnedEpoch(s); own {
					n++
				}
			}
		}
	}
	return n
}

func check(t testing.TB, w *world, r *rules, before int) {
	t.Helper()
	c := qt.New(t)
	if w.owners() != simShards {
		for _, l := range w.log[max(0, len(w.log)-40):] {
			t.Log(l)
		}
	}
	c.Assert(w.owners(), qt.Equals, simShards)
	c.Assert(r.served > before, qt.IsTrue)
}

func TestQuietCoreServes(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		w := newWorld(t, 1, n)
		r := newRules(w)
		r.work(5 * time.Second)
		w.run(6 * time.Second)
		check(t, w, r, 200)
		qt.Assert(t, r.failed < 10, qt.IsTrue, qt.Commentf("%d members: %d calls failed", n, r.failed))
	}
}

func TestTroublesKeepTheRules(t *testing.T) {
	for seed := int64(1); seed <= *seeds; seed++ {
		w := newWorld(t, seed, 3)
		r := newRules(w)
		r.work(24 * time.Second)
		w.run(2 * time.Second)
		for k := 0; k < 3; k++ {
			w.loss = []float64{0, 0.05, 0.2}[w.rng.Intn(3)]
			a := fmt.Sprintf("m%d", w.rng.Intn(3))
			m := w.ms[a]
			switch w.rng.Intn(7) {
			case 0:
				w.note("kill %s", a)
				m.kill()
				w.run(w.now + time.Duration(w.rng.Intn(3000))*time.Millisecond)
				m.start()
			case 1:
				w.note("cut %s", a)
				w.isolate(a, true)
				w.run(w.now + time.Duration(500+w.rng.Intn(3000))*time.Millisecond)
				w.isolate(a, false)
			case 2:
				w.note("wipe %s", a)
				m.kill()
				m.disk = nil
				w.run(w.now + time.Duration(w.rng.Intn(2000))*time.Millisecond)
				m.start()
			case 3:
				w.note("kill all")
				for _, x := range w.all() {
					x.kill()
				}
				w.run(w.now + time.Duration(w.rng.Intn(1000))*time.Millisecond)
				for i := 0; i < 3; i++ {
					w.ms[fmt.Sprintf("m%d", i)].start()
				}
			case 4:
				w.note("full %s", a)
				m.full = true
				w.run(w.now + 2*time.Second)
				m.full = false
			case 5:
				w.note("one way %s", a)
				for _, b := range w.names {
					if b != a {
						w.cut[[2]string{a, b}] = true
					}
				}
				w.run(w.now + 2*time.Second)
				w.isolate(a, false)
			case 6:
				w.note("stall %s", a)
				m.stuck = true
				w.run(w.now + 3*time.Second)
				m.stuck = false
			}
			w.loss = 0
			w.run(w.now + 4*time.Second)
		}
		n := r.served
		r.work(w.now + 4*time.Second)
		w.run(w.now + 5*time.Second)
		check(t, w, r, n+50)
	}
}

func TestReplacedMemberGivesItsPlaceToANewOne(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		w := newWorld(t, seed, 3)
		r := newRules(w)
		r.work(30 * time.Second)
		w.run(3 * time.Second)
		a := fmt.Sprintf("m%d", w.rng.Intn(3))
		w.ms[a].kill()
		w.run(w.now + time.Second)
		w.add("m7", false)
		w.run(w.now + 6*time.Second)
		qt.Assert(t, w.ms["m7"].board.IsLearner(), qt.IsFalse)
		qt.Assert(t, len(w.ms["m7"].board.Membership().Members), qt.Equals, 3)
		b := w.pickOther(a)
		w.ms[b].kill()
		n := r.served
		w.run(w.now + 5*time.Second)
		check(t, w, r, n+20)
	}
}

func (w *world) pickOther(a string) string {
	for i := 0; i < 3; i++ {
		if b := fmt.Sprintf("m%d", i); b != a {
			return b
		}
	}
	return ""
}

func TestMinorityNeverServes(t *testing.T) {
	w := newWorld(t, 3, 3)
	w.run(2 * time.Second)
	w.isolate("m0", true)
	w.run(w.now + 1500*time.Millisecond)
	for s := 0; s < simShards; s++ {
		_, own := w.ms["m0"].board.OwnedEpoch(s)
		qt.Assert(t, own, qt.IsFalse)
		var got error
		w.ms["m0"].board.Execute(s, func(replication.StateMachine, time.Duration) *meshpb.Change { return nil }, func(err error) { got = err })
		qt.Assert(t, got, qt.IsNotNil)
	}
}

func TestOnLeaveTheSuccessorIsNamed(t *testing.T) {
	w := newWorld(t, 4, 3)
	w.run(4 * time.Second)
	w.ms["m0"].board.Leave()
	w.run(w.now + 600*time.Millisecond)
	qt.Assert(t, w.ms["m0"].board.LeaveComplete(), qt.IsTrue)
	qt.Assert(t, w.owners(), qt.Equals, simShards)
}

func TestStalledDiskNamesASuccessor(t *testing.T) {
	w := newWorld(t, 6, 3)
	r := newRules(w)
	r.work(20 * time.Second)
	w.run(5 * time.Second)
	w.ms["m0"].sync = 8 * time.Second
	w.run(w.now + 1500*time.Millisecond)
	qt.Assert(t, w.ms["m0"].board.LeaveComplete(), qt.IsTrue)
	qt.Assert(t, w.owners(), qt.Equals, simShards)
	n := r.served
	w.run(w.now + time.Second)
	check(t, w, r, n+40)
}

// The same for many orders of events: the question for the promise may overtake
// the word that the owner has handed over, and is then asked again; what the
// owner had sent before may come after it, and renews nothing.
func TestHandoversAreQuickInAllOrders(t *testing.T) {
	late := 0
	for seed := int64(1); seed <= 60; seed++ {
		w := newWorld(t, seed, 3)
		r := newRules(w)
		r.work(20 * time.Second)
		w.run(5 * time.Second)
		w.ms["m0"].sync = 8 * time.Second
		w.run(w.now + 1500*time.Millisecond)
		if w.owners() != simShards {
			late++
		}
		w.run(w.now + time.Second)
		qt.Check(t, w.owners(), qt.Equals, simShards, qt.Commentf("seed %d", seed))
	}
	qt.Assert(t, late, qt.Equals, 0, qt.Commentf("of 60"))
}

// A member without processor time keeps what it owns: handed over, its load
// would starve the next one, and that the one after it.
func TestStarvedMemberDoesNotHandItsLoadAround(t *testing.T) {
	w := newWorld(t, 6, 5)
	r := newRules(w)
	r.work(20 * time.Second)
	w.run(5 * time.Second)
	m := w.ms["m0"]
	_, own := m.board.OwnedEpoch(0)
	qt.Assert(t, own, qt.IsTrue)
	m.slow, m.sync = 300*time.Millisecond, 550*time.Millisecond
	epoch := m.board.Epoch(0)
	w.run(w.now + 4*time.Second)
	qt.Assert(t, m.board.Epoch(0), qt.Equals, epoch)
	_, own = m.board.OwnedEpoch(0)
	qt.Assert(t, own, qt.IsTrue)
	m.slow, m.sync = 0, 2*time.Millisecond
	n := r.served
	w.run(w.now + 2*time.Second)
	check(t, w, r, n+40)
}

func TestMalformedCallsHarmNobody(t *testing.T) {
	w := newWorld(t, 7, 1)
	w.run(time.Second)
	l := mailbox.New()
	go l.Run(time.Hour, func() {})
	defer l.Close()
	d := replication.Handler{Mailbox: l, Replica: w.ms["m0"].board}
	me := w.ms["m0"].board.Self()
	h := &meshpb.SenderHeader{From: me, To: me.Id, Membership: 1}
	c := t.Context()
	for _, h := range []*meshpb.SenderHeader{nil, {}, h} {
		_, _ = d.RenewLeases(c, &meshpb.RenewLeasesRequest{Header: h, Watermarks: []*meshpb.Watermark{{Shard: 999}, nil}})
		_, _ = d.Replicate(c, &meshpb.ReplicateRequest{Header: h, Entries: []*meshpb.Entry{{Shard: 999}}, States: []*meshpb.ShardState{{Shard: 999}}})
		_, _ = d.RequestVotes(c, &meshpb.RequestVotesRequest{Header: h, Votes: []*meshpb.VoteRequest{{Shard: 999}}})
		_, _ = d.TransferOwnership(c, &meshpb.TransferOwnershipRequest{Header: h, Watermarks: []*meshpb.Watermark{{Shard: 999}}})
	}
	_, _ = d.AcceptMembership(c, &meshpb.AcceptMembershipRequest{})
	_, _ = d.Join(c, &meshpb.JoinRequest{})
	_, own := w.ms["m0"].board.OwnedEpoch(0)
	qt.Assert(t, own, qt.IsTrue)
}

func (w *world) askOne(to, from string, shard uint32, epoch uint64) bool {
	t, f := w.ms[to].board, w.ms[from].board.Self()
	ok := false
	t.HandleRequestVotes(&meshpb.RequestVotesRequest{Header: &meshpb.SenderHeader{From: f, To: t.Self().Id, Membership: t.Membership().Version}, Votes: []*meshpb.VoteRequest{{Shard: shard, Epoch: epoch}}}, func(r *meshpb.RequestVotesResponse) {
		ok = r != nil && len(r.Replies) == 1 && r.Replies[0].Granted
	})
	w.run(w.now + 10*time.Millisecond)
	return ok
}

func TestGranterPromisesNoOtherWhileItsHoldRuns(t *testing.T) {
	w := newWorld(t, 8, 3)
	w.run(4 * time.Second)
	_, own := w.ms["m0"].board.OwnedEpoch(1)
	qt.Assert(t, own, qt.IsTrue)
	qt.Assert(t, w.askOne("m1", "m2", 1, 500), qt.IsFalse)
	qt.Assert(t, w.askOne("m0", "m2", 1, 500), qt.IsFalse, qt.Commentf("the owner itself, while it is held"))

	w.ms["m1"].kill()
	w.ms["m1"].start()
	w.run(w.now + 5*time.Millisecond)
	w.isolate("m0", true)
	qt.Assert(t, w.askOne("m1", "m2", 1, 600), qt.IsFalse, qt.Commentf("just restarted, it may have granted before"))
	qt.Assert(t, w.askOne("m1", "m0", 1, 700), qt.IsTrue, qt.Commentf("the holder itself need not wait"))
	qt.Assert(t, w.askOne("m1", "m2", 1, 700), qt.IsFalse, qt.Commentf("one epoch, one promise"))
	qt.Assert(t, w.askOne("m1", "m2", 1, 710), qt.IsFalse)
	w.isolate("m1", true)
	w.run(w.now + time.Second)
	qt.Assert(t, w.askOne("m1", "m2", 1, 700), qt.IsFalse, qt.Commentf("one epoch, one promise"))
	qt.Assert(t, w.askOne("m1", "m2", 1, 5000), qt.IsTrue)
	w.run(w.now + time.Second)
	qt.Assert(t, w.askOne("m1", "m0", 1, 5000), qt.IsFalse, qt.Commentf("one epoch, one promise"))
	qt.Assert(t, w.askOne("m1", "m0", 1, 5010), qt.IsTrue)
}

// One that was cut off has promised nothing meanwhile, and finds others holding
// what it would ask for.
func TestMemberBackFromACutUnseatsNobody(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		w := newWorld(t, seed, 3)
		w.run(5 * time.Second)
		w.isolate("m0", true)
		w.run(w.now + 8*time.Second)
		var was [simShards]uint64
		for i := range was {
			was[i] = w.ms["m1"].board.Epoch(i)
		}
		w.isolate("m0", false)
		w.run(w.now + 2*time.Second)
		for i, e := range was {
			qt.Check(t, w.ms["m1"].board.Epoch(i), qt.Equals, e, qt.Commentf("seed %d, shard %d", seed, i))
		}
		qt.Assert(t, w.owners(), qt.Equals, simShards)
	}
}

// An owner that hears nobody must not keep others waiting with its own words.
func TestDeafOwnerIsReplacedWithinTwoLeases(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		w := newWorld(t, seed, 5)
		w.run(7 * time.Second)
		w.deaf["m0"] = true
		w.run(w.now + 1800*time.Millisecond)
		own := false
		for _, m := range w.all()[1:] {
			_, o := m.board.OwnedEpoch(0)
			own = own || o
		}
		qt.Check(t, own, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// Copies at an epoch must be the beginning of what its owner has: one that has
// the same version under another epoch is not.
func TestCopiesGoOnOnlyFromWhatTheyHave(t *testing.T) {
	w := newWorld(t, 5, 3)
	r := newRules(w)
	r.work(5 * time.Second)
	w.run(5 * time.Second)
	m := w.ms["m1"].board
	l := m.ShardStatuses()[0]
	ask := func(x *meshpb.EpochChange) *meshpb.ReplicateAck {
		var a *meshpb.ReplicateAck
		m.HandleReplicate(&meshpb.ReplicateRequest{Header: &meshpb.SenderHeader{From: w.ms["m0"].board.Self(), To: m.Self().Id, Membership: m.Membership().Version}, EpochChanges: []*meshpb.EpochChange{x}}, func(q *meshpb.ReplicateResponse) {
			if len(q.Acks) == 1 {
				a = q.Acks[0]
			}
		})
		w.run(w.now + 20*time.Millisecond)
		return a
	}
	a := ask(&meshpb.EpochChange{Epoch: l.Epoch + 640, FromEpoch: l.Epoch - 1, FromVersion: l.Version})
	qt.Assert(t, a.Gap && a.HaveEpoch == l.Epoch && a.HaveVersion == l.Version, qt.IsTrue)
	a = ask(&meshpb.EpochChange{Epoch: l.Epoch + 640, FromEpoch: l.Epoch, FromVersion: l.Version + 1})
	qt.Assert(t, a.Gap, qt.IsTrue)
	qt.Assert(t, m.ShardStatuses()[0].Epoch, qt.Equals, l.Epoch)
	a = ask(&meshpb.EpochChange{Epoch: l.Epoch + 640, FromEpoch: l.Epoch, FromVersion: l.Version})
	qt.Assert(t, a.Gap, qt.IsFalse)
	qt.Assert(t, m.ShardStatuses()[0].Epoch, qt.Equals, l.Epoch+640)
	a = ask(&meshpb.EpochChange{Epoch: l.Epoch + 64, FromEpoch: l.Epoch + 640, FromVersion: l.Version})
	qt.Assert(t, a.Gap && a.Promised == l.Epoch+640, qt.IsTrue)
}

// A member speaks for a master only while its own lease to it runs.
func TestMembersFollowAnOwnerNoLongerThanTheirLease(t *testing.T) {
	w := newWorld(t, 3, 3)
	w.run(4 * time.Second)
	_, own := w.ms["m0"].board.OwnedEpoch(0)
	qt.Assert(t, own, qt.IsTrue)
	e, b := w.ms["m0"].board.Epoch(0), w.ms["m1"].board
	qt.Assert(t, b.LeaseGranted(0, e), qt.IsTrue)
	qt.Assert(t, b.LeaseGranted(0, e-1) || b.LeaseGranted(0, e+1), qt.IsFalse)
	w.isolate("m0", true)
	w.run(w.now + time.Second)
	qt.Assert(t, b.LeaseGranted(0, e), qt.IsFalse)
}

// A successor may be told of members that are all gone, and of others later.
func TestLearnerAsksTheMembersThatItIsToldOfLater(t *testing.T) {
	w := newWorld(t, 4, 5)
	w.run(6 * time.Second)
	w.ms["m0"].kill()
	w.told = []string{"m0"}
	n := w.add("n1", false)
	w.run(w.now + 4*time.Second)
	qt.Assert(t, n.board.IsLearner(), qt.IsTrue)
	n.board.SetExtraSeeds([]*meshpb.Member{{Addr: "m3", Control: "m3"}})
	w.run(w.now + 2*time.Second)
	qt.Assert(t, n.board.IsLearner(), qt.IsFalse)
	qt.Assert(t, len(n.board.Membership().Members), qt.Equals, 5)
}

// One of the first start that ends before it is a member is still one of them.
func TestFirstMembershipIsWholeAlsoIfOneRestartsMeanwhile(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		w := newWorld(t, seed, 5)
		w.run(time.Duration(100+20*seed) * time.Millisecond)
		w.ms["m4"].kill()
		w.run(w.now + 2*time.Second)
		w.ms["m4"].start()
		w.run(w.now + 4*time.Second)
		qt.Assert(t, len(w.ms["m0"].board.Membership().Members), qt.Equals, 5, qt.Commentf("seed %d", seed))
		qt.Assert(t, w.ms["m4"].board.IsLearner(), qt.IsFalse)
	}
}

// A member of the release before takes states and entries, and passes over what
// it does not know.
func TestMembersThatKnowNoRaisesGetWholeStates(t *testing.T) {
	w := newWorld(t, 2, 3)
	r := newRules(w)
	r.work(20 * time.Second)
	w.run(4 * time.Second)
	w.plain = "m2"
	calls := w.copies
	w.ms["m0"].kill()
	w.run(w.now + 3*time.Second)
	qt.Assert(t, w.owners(), qt.Equals, simShards)
	for i, l := range w.ms["m1"].board.ShardStatuses() {
		if l.Owned {
			qt.Check(t, w.ms["m2"].board.Epoch(i), qt.Equals, l.Epoch)
		}
	}
	qt.Assert(t, w.copies-calls < 600, qt.IsTrue, qt.Commentf("%d copies", w.copies-calls))
}

// One that was a member and was put out while it was cut off is a learner like
// any other, also after a restart: the membership keeps its size.
func TestMemberThatWasPutOutIsNoMoreOfTheFirstStart(t *testing.T) {
	w := newWorld(t, 6, 5)
	w.run(6 * time.Second)
	w.isolate("m3", true)
	w.add("n1", false)
	w.run(w.now + 5*time.Second)
	w.ms["m3"].kill()
	w.isolate("m3", false)
	w.ms["m3"].start()
	w.run(w.now + 5*time.Second)
	qt.Assert(t, len(w.ms["m0"].board.Membership().Members), qt.Equals, 5)
	qt.Assert(t, w.ms["m3"].board.IsLearner(), qt.IsTrue)
}

// What comes under another membership counts for nothing.
func TestCallsUnderAnotherMembershipAreRefused(t *testing.T) {
	w := newWorld(t, 6, 3)
	w.run(5 * time.Second)
	b, from := w.ms["m1"].board, w.ms["m0"].board.Self()
	l := b.ShardStatuses()[0]
	for _, v := range []uint64{0, b.Membership().Version - 1, b.Membership().Version + 1} {
		h := &meshpb.SenderHeader{From: from, To: b.Self().Id, Membership: v}
		acks, promises := 0, 0
		b.HandleReplicate(&meshpb.ReplicateRequest{Header: h, EpochChanges: []*meshpb.EpochChange{{Epoch: l.Epoch + 640, FromEpoch: l.Epoch, FromVersion: l.Version}}}, func(r *meshpb.ReplicateResponse) { acks += len(r.GetAcks()) })
		b.HandleRequestVotes(&meshpb.RequestVotesRequest{Header: h, Votes: []*meshpb.VoteRequest{{Epoch: l.Epoch + 640}}}, func(r *meshpb.RequestVotesResponse) { promises += len(r.GetReplies()) })
		g := b.HandleRenewLeases(&meshpb.RenewLeasesRequest{Header: h, Watermarks: []*meshpb.Watermark{{Epoch: l.Epoch, Version: l.Version}}})
		w.run(w.now + 20*time.Millisecond)
		qt.Check(t, acks+promises+len(g.Granted), qt.Equals, 0, qt.Commentf("version %d", v))
	}
	qt.Assert(t, b.ShardStatuses()[0].Epoch, qt.Equals, l.Epoch)
}

// Two that ask at once, each sure that it was named, ask for different epochs, so
// that the one that is left, and its copy, obeys the other.
func TestTwoThatAskAtOnceLeaveNoCopyBehind(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		g := &game{world: newWorld(t, seed, 3), p: plan{Members: 3}}
		g.r = newRules(g.world)
		g.run(5 * time.Second)
		g.r.work(g.now + 10*time.Second)
		e := g.ms["m0"].board.Epoch(0)
		g.ms["m0"].kill()
		for _, a := range []string{"m1", "m2"} {
			b := g.ms[a].board
			b.HandleTransferOwnership(&meshpb.TransferOwnershipRequest{Header: &meshpb.SenderHeader{From: &meshpb.Member{Id: "founder-m0", Addr: "m0"}, To: b.Self().Id, Membership: 1}, Watermarks: []*meshpb.Watermark{{Epoch: e}}, Successor: b.Self().Id})
		}
		g.run(g.now + 4*time.Second)
		var epochs []uint64
		for _, a := range []string{"m1", "m2"} {
			epochs = append(epochs, g.ms[a].board.Epoch(0))
		}
		qt.Check(t, epochs[0], qt.Equals, epochs[1], qt.Commentf("seed %d", seed))
	}
}
