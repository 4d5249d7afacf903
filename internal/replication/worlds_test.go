package replication_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"corkcove/internal/coordination"
	"corkcove/internal/rpc/meshpb"
)

// A world is drawn as a plan: how many members, how many may be lost at once,
// and for each of these places a row of troubles, one after the other. A place
// is free again once the lost machine, or its successor, has had catchUp. So
// each world must be survived, with every shard owned whenever the last trouble
// began or ended inTouch ago.

const (
	catchUp = 4 * time.Second
	inTouch = 4 * time.Second
	grace   = 4500 * time.Millisecond
	handing = 400 * time.Millisecond
)

type trouble int

const (
	crash trouble = iota
	wipe
	cutOff
	deaf
	mute
	freeze
	slowDisk
	stuckDisk
	fullDisk
	slowed
	replace
	planned
	restart
	afterAck
	resets
	apart
	troubles
)

var troubleNames = [...]string{"crash", "wipe", "cut off", "deaf", "mute", "freeze", "slow disk", "stuck disk", "full disk", "slowed", "replace", "planned", "restart", "after ack", "resets", "apart"}

func (t trouble) String() string { return troubleNames[t] }

type step struct {
	What trouble
	// Who is the machine by its number, or the owner of shard 0.
	Who    int
	Leader bool
	Wait   time.Duration
	For    time.Duration
	Gap    time.Duration
}

type plan struct {
	Seed    int64
	Members int
	Places  [][]step
	// AllDown are the moments at which every process is killed.
	AllDown []time.Duration
	// Aimed: they are killed as soon as a change has been acknowledged.
	Aimed bool
	// Sync is how long a disk takes for one.
	Sync  time.Duration
	Loss  float64
	Late  float64
	Twice float64
	// Closing wipes as many as may be lost while all others are killed.
	Closing bool
}

func dur(t *rapid.T, what string, lo, hi time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(lo/time.Millisecond), int64(hi/time.Millisecond)).Draw(t, what)) * time.Millisecond
}

func drawStep(members int) *rapid.Generator[step] {
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			What: trouble(rapid.IntRange(0, int(troubles)-1).Draw(t, "what")), Who: rapid.IntRange(0, members-1).Draw(t, "who"),
			Leader: rapid.IntRange(0, 2).Draw(t, "leader") == 0, Wait: rapid.SampledFrom([]time.Duration{0, 0, 150 * time.Millisecond, 1200 * time.Millisecond}).Draw(t, "wait"),
			For: dur(t, "for", 50*time.Millisecond, 7*time.Second), Gap: dur(t, "gap", 0, 2*time.Second),
		}
	})
}

func drawPlan(sizes [][2]int) *rapid.Generator[plan] {
	return rapid.Custom(func(t *rapid.T) plan {
		z := rapid.SampledFrom(sizes).Draw(t, "size")
		p := plan{Members: z[0], Seed: rapid.Int64Range(1, 1<<40).Draw(t, "seed")}
		for range z[1] {
			p.Places = append(p.Places, rapid.SliceOfN(drawStep(z[0]), 0, 4).Draw(t, "place"))
		}
		for range rapid.IntRange(0, 2).Draw(t, "all down") {
			p.AllDown = append(p.AllDown, dur(t, "at", 3*time.Second, 30*time.Second))
		}
		p.Sync = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 500 * time.Microsecond, 12 * time.Millisecond}).Draw(t, "sync")
		p.Loss = rapid.SampledFrom([]float64{0, 0, 0, 0.02}).Draw(t, "loss")
		p.Late = rapid.SampledFrom([]float64{0, 0, 0.02}).Draw(t, "late")
		p.Twice = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "twice")
		p.Aimed = rapid.Bool().Draw(t, "aimed")
		p.Closing = rapid.Bool().Draw(t, "closing")
		return p
	})
}

// game plays one plan.
type game struct {
	*world
	p     plan
	r     *rules
	h     history
	taken map[string]bool
	fresh int
	left  int
	last  time.Duration
	downs int
	// backAt is when all that were killed at once count again.
	backAt time.Duration
	// without is since when a shard has no owner in calm times.
	without [simShards]time.Duration
}

func play(t tester, p plan) *game {
	g := &game{world: newWorld(t, p.Seed, p.Members), p: p, taken: map[string]bool{}}
	if p.Sync > 0 {
		g.syncs(p.Sync)
	}
	g.loss, g.late, g.twice = p.Loss, p.Late, p.Twice
	g.r = newRules(g.world)
	g.r.gentle = true
	g.h.g = g
	g.run(time.Duration(p.Members)*500*time.Millisecond + 3*time.Second)
	g.whole("before the first trouble")
	begin := g.now
	g.r.work(begin + time.Hour)
	g.h.work()
	for i, row := range p.Places {
		if p.Members == 1 {
			row = alone(row)
		}
		g.left++
		g.place(i, row)
	}
	for _, d := range p.AllDown {
		g.at(d, func() {
			if !p.Aimed {
				g.allDown()
				return
			}
			g.r.onAck = g.allDown
		})
	}
	g.watchOver()
	for g.left > 0 && g.now < begin+4*time.Minute {
		g.run(g.now + 250*time.Millisecond)
	}
	if g.left > 0 {
		g.r.broken("the plan does not come to its end")
	}
	g.run(max(g.now, begin+35*time.Second*time.Duration(min(1, len(p.AllDown)))) + 2*catchUp)
	if p.Closing {
		g.closing()
	}
	g.loss, g.late = 0, 0
	g.run(g.now + 2*catchUp)
	g.whole("at the end")
	before := g.r.served
	g.h.ending = true
	g.run(g.now + 3*time.Second)
	if g.r.served < before+50 {
		g.r.broken("only %d calls served at the end", g.r.served-before)
	}
	g.h.judge()
	return g
}

// alone leaves out what a single machine can't survive.
func alone(row []step) []step {
	var out []step
	for _, s := range row {
		if s.What != wipe && s.What != replace && s.What != planned && s.What != afterAck {
			out = append(out, s)
		}
	}
	return out
}

func (g *game) event(f string, a ...any) {
	g.last = g.now
	g.note("== "+f, a...)
}

// whole checks that all machines that run are members and all members run. A
// handover may be under way, and where words are lost it takes longer.
func (g *game) whole(when string) {
	by := g.now + handing
	if g.loss > 0 || g.late > 0 {
		by += 2 * time.Second
	}
	for {
		wrong := g.wrong()
		if wrong == "" {
			return
		}
		if g.now >= by {
			g.r.broken("%s %s", when, wrong)
		}
		g.run(g.now + 50*time.Millisecond)
	}
}

func (g *game) wrong() string {
	up := 0
	for _, m := range g.all() {
		if !m.up {
			continue
		}
		up++
		if m.board.IsLearner() {
			return m.addr + " is no member"
		}
		if n := len(m.board.Membership().Members); n != g.p.Members {
			return fmt.Sprintf("%s knows %d members", m.addr, n)
		}
	}
	if up != g.p.Members {
		return fmt.Sprintf("%d machines run", up)
	}
	if n := g.owners(); n != simShards {
		return fmt.Sprintf("%d of %d shards are owned", n, simShards)
	}
	return g.behind()
}

// behind names a copy that has not come to its owner's epoch, or lags.
func (g *game) behind() string {
	var epoch, committed [simShards]uint64
	for _, m := range g.all() {
		if m.up {
			for i, l := range m.board.ShardStatuses() {
				if l.Owned && l.LeaseMs > 0 {
					epoch[i], committed[i] = l.Epoch, l.Committed
				}
			}
		}
	}
	for _, m := range g.all() {
		if m.up {
			for i, l := range m.board.ShardStatuses() {
				if l.Epoch != epoch[i] || l.Version+40 < committed[i] {
					return fmt.Sprintf("%s has shard %d at epoch %d, version %d, its owner at %d, %d", m.addr, i, l.Epoch, l.Version, epoch[i], committed[i])
				}
			}
		}
	}
	return ""
}

// watchOver looks whether each shard is owned in calm times; a handover may take
// it from all for a moment.
func (g *game) watchOver() {
	calm := (g.p.Members > 1 || len(g.taken) == 0) && g.loss == 0 && g.late == 0 && g.downs == 0 && g.now-g.last > inTouch
	for i := range g.without {
		owned := false
		for _, m := range g.all() {
			if m.up && !m.frozen {
				_, own := m.board.OwnedEpoch(i)
				owned = owned || own
			}
		}
		switch {
		case owned || !calm:
			g.without[i] = 0
		case g.without[i] == 0:
			g.without[i] = g.now
		case g.now-g.without[i] > handing:
			g.r.broken("%v after the last event shard %d is without an owner for %v", g.now-g.last, i, g.now-g.without[i])
		}
	}
	g.at(100*time.Millisecond, g.watchOver)
}

func (g *game) pickFor(s step) *machine {
	var free []*machine
	for _, m := range g.all() {
		if m.up && !g.taken[m.addr] {
			if _, own := m.board.OwnedEpoch(0); own && s.Leader {
				return m
			}
			free = append(free, m)
		}
	}
	if len(free) == 0 {
		return nil
	}
	return free[s.Who%len(free)]
}

func (g *game) place(i int, row []step) {
	if len(row) == 0 {
		g.left--
		return
	}
	next := func(free time.Duration) { g.at(max(free-g.now, 0), func() { g.place(i, row[1:]) }) }
	s := row[0]
	g.at(s.Wait, func() {
		if g.now < g.backAt {
			// All were down: each counts as lost until it has caught up.
			g.at(g.backAt-g.now, func() { g.place(i, row) })
			return
		}
		m := g.pickFor(s)
		if m == nil {
			next(g.now)
			return
		}
		g.taken[m.addr] = true
		g.event("%v %s for %v", s.What, m.addr, s.For)
		end := func(at time.Duration, f func()) {
			g.at(at, func() {
				g.event("%v %s is over", s.What, m.addr)
				f()
				g.at(catchUp, func() { delete(g.taken, m.addr) })
				next(g.now + catchUp)
			})
		}
		back := func() {
			if !m.up {
				m.start()
			}
		}
		switch s.What {
		case crash:
			m.kill()
			end(s.For, back)
		case wipe:
			m.kill()
			m.disk = nil
			end(s.For, back)
		case cutOff, deaf, mute, resets:
			g.mute[m.addr], g.deaf[m.addr] = s.What != deaf, s.What != mute
			long := s.For + s.Gap*6
			if s.What == resets {
				long = 5 * time.Millisecond
			}
			end(long, func() { g.mute[m.addr], g.deaf[m.addr] = false, false })
		case apart:
			// Some links of one machine, the rest stay.
			var to []string
			for i, b := range g.names {
				if b != m.addr && (i+s.Who)%2 == 0 {
					to = append(to, b)
				}
			}
			cut := func(on bool) {
				for _, b := range to {
					g.cut[[2]string{m.addr, b}], g.cut[[2]string{b, m.addr}] = on, on
				}
			}
			cut(true)
			end(s.For, func() { cut(false) })
		case freeze:
			m.freeze()
			end(s.For, m.thaw)
		case slowDisk:
			m.sync *= 30
			end(s.For, func() { m.sync = g.sync })
		case stuckDisk:
			m.stuck = true
			end(s.For, func() { m.stuck = false })
		case fullDisk:
			m.full = true
			end(s.For, func() { m.full = false })
		case slowed:
			m.slow = 200 * time.Millisecond
			end(s.For, func() { m.slow = 0 })
		case restart:
			g.leave(m, func() { end(200*time.Millisecond+s.Gap, back) })
		case afterAck:
			m.kill()
			if s.Who%2 == 0 {
				m.disk = nil
			}
			end(s.For, back)
		case replace:
			m.kill()
			g.at(s.Gap, func() {
				g.successor()
				next(g.now + catchUp)
			})
		case planned:
			g.successor()
			in := g.now + catchUp
			g.at(2*s.Gap, func() {
				g.leave(m, func() { next(max(in, g.now)) })
			})
		}
	})
}

func (g *game) successor() *machine {
	g.fresh++
	m := g.add(fmt.Sprintf("n%d", g.fresh), false)
	g.event("%s comes", m.addr)
	g.taken[m.addr] = true
	g.at(catchUp, func() { delete(g.taken, m.addr) })
	return m
}

// leave is a SIGTERM: the process goes when it is done, or its time is up.
func (g *game) leave(m *machine, gone func()) {
	if !m.up {
		g.at(100*time.Millisecond, func() { g.leave(m, gone) })
		return
	}
	life, by := m.life, g.now+grace
	m.leaves = true
	g.event("%s leaves", m.addr)
	m.do(life, m.board.Leave)
	var look func()
	look = func() {
		if m.life == life && g.now < by && !m.board.LeaveComplete() {
			g.at(50*time.Millisecond, look)
			return
		}
		g.event("%s has left", m.addr)
		if m.life == life {
			m.kill()
		}
		m.leaves = false
		gone()
	}
	g.at(50*time.Millisecond, look)
}

// allDown kills all processes at once; they come back within a second, but for
// those that are down for another reason.
func (g *game) allDown() {
	g.r.onAck = nil
	g.downs++
	g.event("all down")
	for _, m := range g.all() {
		if m.up {
			m.kill()
			life := m.life
			if m.leaves {
				continue
			}
			g.at(time.Duration(200+g.rng.Intn(800))*time.Millisecond, func() {
				if m.life == life {
					m.start()
				}
			})
		}
	}
	g.backAt = g.now + time.Second + catchUp
	g.at(time.Second, func() {
		g.event("all back")
		g.downs--
	})
}

func (g *game) closing() {
	g.event("closing")
	n := len(g.p.Places)
	if g.p.Members == 1 {
		n = 0
	}
	for _, i := range g.rng.Perm(len(g.names)) {
		m := g.ms[g.names[i]]
		if !m.up {
			continue
		}
		m.kill()
		if n > 0 {
			n--
			m.disk = nil
		}
		g.at(time.Duration(200+g.rng.Intn(1500))*time.Millisecond, m.start)
	}
}

// history holds what operators and applications saw of single keys, for a
// linearizability checker.
type history struct {
	g      *game
	ops    []porcupine.Operation
	n      int
	ending bool
}

type keyCall struct {
	key   string
	write bool
	value string
}

type keyAnswer struct {
	value    string
	revision uint64
	known    bool
}

var keyModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string]int{}
		var out [][]porcupine.Operation
		for _, o := range h {
			k := o.Input.(keyCall).key
			if _, ok := by[k]; !ok {
				by[k] = len(out)
				out = append(out, nil)
			}
			out[by[k]] = append(out[by[k]], o)
		}
		return out
	},
	Init: func() any { return keyAnswer{} },
	Step: func(state, input, output any) (bool, any) {
		s, q, a := state.(keyAnswer), input.(keyCall), output.(keyAnswer)
		if !q.write {
			return a.value == s.value && (s.revision == 0 && a.value != "" || a.revision == s.revision || s.revision == unknownRevision), keyAnswer{value: a.value, revision: a.revision}
		}
		if !a.known {
			return true, keyAnswer{value: q.value, revision: unknownRevision}
		}
		return s.revision == unknownRevision || a.revision > s.revision, keyAnswer{value: q.value, revision: a.revision}
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

const unknownRevision = 1 << 60

func (h *history) work() {
	var next func()
	next = func() {
		h.n++
		k := fmt.Sprintf("h.%d", h.g.rng.Intn(4))
		if h.g.rng.Intn(3) == 0 && !h.ending {
			h.put(k, fmt.Sprintf("w%d", h.n))
		} else {
			h.get(k)
		}
		h.g.at(time.Duration(20+h.g.rng.Intn(120))*time.Millisecond, next)
	}
	next()
}

// put goes out again, with the same value, until it is answered or three
// seconds have passed.
func (h *history) put(k, v string) {
	g := h.g
	i := len(h.ops)
	h.ops = append(h.ops, porcupine.Operation{ClientId: i, Input: keyCall{k, true, v}, Call: int64(g.now), Output: keyAnswer{}, Return: 1 << 62})
	end := g.now + 3*time.Second
	done := false
	var try func()
	try = func() {
		var c coordination.Cell
		g.r.call(2, func(t *coordination.Table, now time.Duration) *meshpb.Change {
			d := t.Put(k, v, nil, now)
			c = d.Result
			return d.Change
		}, func(err error) {
			if err == nil && !done {
				done = true
				h.ops[i].Return, h.ops[i].Output = int64(g.now), keyAnswer{v, c.Revision, true}
			}
		})
		g.at(time.Second, func() {
			if !done && g.now < end {
				try()
			}
		})
	}
	try()
}

func (h *history) get(k string) {
	g := h.g
	at := int64(g.now)
	var c coordination.Cell
	g.r.call(2, func(t *coordination.Table, _ time.Duration) *meshpb.Change { c = t.Get(k).Result; return nil }, func(err error) {
		if err == nil {
			h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Input: keyCall{key: k}, Call: at, Output: keyAnswer{c.Payload, c.Revision, true}, Return: int64(g.now)})
		}
	})
}

func (h *history) judge() {
	switch porcupine.CheckOperationsTimeout(keyModel, h.ops, 20*time.Second) {
	case porcupine.Illegal:
		h.g.r.broken("the history of the keys is not linearizable")
	case porcupine.Unknown:
		h.g.note("the checker ran out of time on %d operations", len(h.ops))
	}
}

var worlds = flag.Int("worlds", 15, "how many worlds to play in each lane")

// The lanes differ in how many members there are and how many may be lost.
var lanes = [][][2]int{{{1, 1}, {3, 1}, {3, 1}}, {{3, 1}, {5, 1}}, {{5, 2}}, {{7, 2}, {5, 2}}, {{11, 2}, {3, 1}}, {{19, 2}, {3, 1}, {3, 1}, {5, 1}, {5, 2}, {5, 2}}}

// The same worlds are played each time, unless rapid.seed says otherwise.
func TestWorldsAreSurvived(t *testing.T) {
	setFlag(t, "rapid.checks", fmt.Sprint(*worlds))
	setFlag(t, "rapid.nofailfile", "true")
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		setFlag(t, "rapid.seed", "1")
	}
	for i, sizes := range lanes {
		t.Run(fmt.Sprint("lane ", i), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) { play(t, drawPlan(sizes).Draw(t, "plan")) })
		})
	}
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

func TestOneSeedOneWorld(t *testing.T) {
	p := plan{Seed: 9, Members: 5, Twice: 0.05, Loss: 0.02, Late: 0.02, AllDown: []time.Duration{9 * time.Second}, Closing: true,
		Places: [][]step{{{What: planned, Wait: 100 * time.Millisecond, Gap: time.Second}, {What: cutOff, Leader: true, For: 3 * time.Second}},
			{{What: wipe, Who: 3, For: time.Second}, {What: freeze, Leader: true, For: 2 * time.Second}}}}
	a, b := play(t, p), play(t, p)
	if len(a.log) != len(b.log) {
		t.Fatalf("%d and %d lines", len(a.log), len(b.log))
	}
	for i := range a.log {
		if a.log[i] != b.log[i] {
			t.Fatalf("line %d: %s, then %s", i, a.log[i], b.log[i])
		}
	}
}

// From a loss to the moment at which the next one may come: the successor, or the
// member itself, is in the membership and has all copies.
func TestNextLossMayComeWithinTheTimeToCatchUp(t *testing.T) {
	for _, z := range []struct{ members, losses int }{{3, 1}, {5, 1}, {11, 2}, {19, 2}} {
		for _, what := range []trouble{replace, wipe, crash, planned} {
			worst, sum := time.Duration(0), time.Duration(0)
			const seeds = 6
			for seed := int64(1); seed <= seeds; seed++ {
				g := &game{world: newWorld(t, seed, z.members), p: plan{Members: z.members}, taken: map[string]bool{}}
				g.r = newRules(g.world)
				g.run(time.Duration(z.members)*500*time.Millisecond + 3*time.Second)
				g.whole("before the loss")
				g.r.work(g.now + time.Minute)
				g.run(g.now + time.Second)
				m := g.all()[g.rng.Intn(z.members)]
				since := g.now
				switch what {
				case replace:
					m.kill()
					g.run(g.now + time.Second)
					since = g.now
					g.successor()
				case wipe:
					m.kill()
					m.disk = nil
					g.run(g.now + time.Second)
					since = g.now
					m.start()
				case crash:
					m.kill()
					g.run(g.now + time.Second)
					since = g.now
					m.start()
				case planned:
					g.successor()
					g.run(g.now + time.Second)
					since = g.now
					g.leave(m, func() {})
				}
				for g.run(g.now + 20*time.Millisecond); g.wrong() != "" && g.now < since+10*time.Second; {
					g.run(g.now + 20*time.Millisecond)
				}
				worst, sum = max(worst, g.now-since), sum+g.now-since
			}
			t.Logf("%2d members, %-8v mean %v, worst %v", z.members, what, (sum / seeds).Round(10*time.Millisecond), worst)
			if worst > catchUp*3/4 {
				t.Errorf("%d members, %v: %v", z.members, what, worst)
			}
		}
	}
}

// The next loss may come the moment a leaver has ended: its successor counts by
// then, and the leaver no more.
func TestLeaverStaysUntilItsSuccessorIsIn(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		g := &game{world: newWorld(t, seed, 3), p: plan{Members: 3}, taken: map[string]bool{}}
		g.r = newRules(g.world)
		g.run(5 * time.Second)
		g.r.work(g.now + time.Minute)
		g.successor()
		g.run(g.now + catchUp - 100*time.Millisecond)
		ms, i := g.all(), g.rng.Intn(3)
		gone := false
		g.leave(ms[i], func() { gone = true })
		for !gone {
			g.run(g.now + 10*time.Millisecond)
		}
		ms[(i+1)%3].kill()
		before := g.r.served
		g.run(g.now + 3*time.Second)
		if g.owners() != simShards || g.r.served < before+20 {
			g.r.broken("%d shards are owned after the next loss, %d calls served", g.owners(), g.r.served-before)
		}
	}
}
