package affinity

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/coordination"
	"corkcove/internal/rpc/meshpb"
)

type seats struct {
	up  map[string][]string
	out map[string]string
}

func (s seats) Accepts(service, id string) (bool, string) {
	if slices.Contains(s.up[service], id) {
		return true, ""
	}
	if w := s.out[id]; w != "" {
		return false, w
	}
	return false, ReasonEnded
}

func (s seats) Available(service string) []string { return s.up[service] }

// stage runs threads one step at a time: a thread hands over at each question
// to the core, and a list of choices says which goes on.
type stage struct {
	choices []int
	at      int
	width   []int
	ready   []*thread
}

type thread struct {
	name string
	run  func(yield func())
	ch   chan bool
	back chan bool
}

func (s *stage) add(name string, run func(yield func())) {
	t := &thread{name: name, run: run, ch: make(chan bool), back: make(chan bool)}
	s.ready = append(s.ready, t)
	go func() {
		<-t.ch
		t.run(func() {
			t.back <- true
			<-t.ch
		})
		t.back <- false
	}()
}

// play runs all threads; it returns the choices for the next order, or nil.
func (s *stage) play() []int {
	for len(s.ready) > 0 {
		n := len(s.ready)
		k := 0
		if s.at < len(s.choices) {
			k = s.choices[s.at]
		} else {
			s.choices = append(s.choices, 0)
		}
		s.width = append(s.width, n)
		s.at++
		t := s.ready[k]
		t.ch <- true
		if !<-t.back {
			s.ready = slices.Delete(s.ready, k, k+1)
		}
	}
	next := slices.Clone(s.choices)
	for i := len(next) - 1; i >= 0; i-- {
		if next[i]+1 < s.width[i] {
			next[i]++
			return next[:i+1]
		}
	}
	return nil
}

// core is the owner of the pins; a takeover loads its state elsewhere.
type core struct{ t *coordination.Table }

func (c *core) takeover() {
	s := c.t.Snapshot(0)
	c.t = coordination.NewTable(time.Minute)
	c.t.Restore(s, 0, false)
}

func (c *core) answer(q *meshpb.PinRequest) *meshpb.PinResponse {
	d := c.t.PinSession(q, 0)
	if d.Change != nil {
		c.t.Apply(d.Change, 0)
	}
	return d.Result.Response()
}

type player struct {
	c     *Sessions
	see   *seats
	yield func()
	conf  uint64
}

func newPlayer(k *core, now *time.Time, see *seats) *player {
	p := &player{see: see, conf: 1}
	p.c = New(Options{Now: func() time.Time { return *now }, ConfigVersion: func() uint64 { return p.conf }, SettleTime: 300 * time.Millisecond, RefreshInterval: time.Hour, IdleTimeout: time.Hour, MaxSessions: 10,
		Pin: func(_ context.Context, q *meshpb.PinRequest) (*meshpb.PinResponse, error) {
			p.yield()
			return k.answer(q), nil
		}})
	return p
}

func (p *player) find(key string, allowed ...string) Assignment {
	return p.c.Find(context.Background(), Query{SessionKey: key, AllowedServices: allowed, Service: allowed[0], EarlierServices: []string{"s", "t"}}, p.see)
}

func direct() {}

// All orders of two nodes that meet a session for the first time, a node that
// is new and already sees another endpoint, a push and a takeover: the session
// has one instance.
func TestOneInstanceInAllOrders(t *testing.T) {
	differ, total := 0, 0
	for n := range 3 {
		key := SessionKey("header X", fmt.Sprint("fan-", n))
		old := []string{"e0", "e1", "e2"}
		later := []string{"e0", "e1", "e2", "e3", "e4", "e5"}
		if Candidate(key, old) != Candidate(key, later) {
			differ++
		}
		for choices := []int{}; choices != nil; total++ {
			now := time.Unix(0, 0)
			k := &core{coordination.NewTable(time.Minute)}
			a, b, c := newPlayer(k, &now, &seats{up: map[string][]string{"s": old}}), newPlayer(k, &now, &seats{up: map[string][]string{"s": old}}), newPlayer(k, &now, &seats{up: map[string][]string{"s": later}})
			var went []string
			st := &stage{choices: choices}
			for i, p := range []*player{a, b, c} {
				st.add(fmt.Sprint("node ", i), func(yield func()) {
					p.yield = yield
					if x := p.find(key, "s"); x.State == Pinned {
						went = append(went, x.Endpoint)
					}
				})
			}
			st.add("push", func(func()) { a.conf, b.conf, c.conf = 2, 2, 2 })
			st.add("takeover", func(func()) { k.takeover() })
			choices = st.play()
			for _, p := range []*player{a, b, c} {
				p.yield = direct
				p.see.up["s"] = later
				went = append(went, p.find(key, "s").Endpoint)
			}
			for _, e := range went {
				qt.Assert(t, e, qt.Equals, went[0], qt.Commentf("order %v", st.choices))
			}
		}
	}
	qt.Assert(t, differ > 0, qt.IsTrue)
	qt.Assert(t, total > 4000, qt.IsTrue, qt.Commentf("%d orders", total))
}

// All orders of two nodes that hear of a drain and go on with a session there:
// once one has used the new instance, none uses the old.
func TestDrainMovesOnceInAllOrders(t *testing.T) {
	key := SessionKey("header X", "fan")
	all := []string{"e0", "e1", "e2"}
	home := Candidate(key, all)
	rest := slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == home })
	total := 0
	for choices := []int{}; choices != nil; total++ {
		now := time.Unix(0, 0)
		k := &core{coordination.NewTable(time.Minute)}
		var ps []*player
		for range 2 {
			p := newPlayer(k, &now, &seats{up: map[string][]string{"s": all}, out: map[string]string{}})
			p.yield = direct
			qt.Assert(t, p.find(key, "s").Endpoint, qt.Equals, home)
			ps = append(ps, p)
		}
		var went []string
		st := &stage{choices: choices}
		for i, p := range ps {
			st.add(fmt.Sprint("node ", i), func(yield func()) {
				p.yield = yield
				for n := range 2 {
					if n > 0 {
						yield()
					}
					if x := p.find(key, "s"); x.State == Pinned {
						went = append(went, x.Endpoint)
					}
				}
			})
		}
		// The settle time is longer than the views take to all nodes.
		st.add("views", func(yield func()) {
			for _, p := range ps {
				*p.see = seats{up: map[string][]string{"s": rest}, out: map[string]string{home: ReasonDrain}}
				yield()
			}
			now = now.Add(400 * time.Millisecond)
		})
		choices = st.play()
		now = now.Add(time.Second)
		for range 2 {
			for _, p := range ps {
				p.yield = direct
				if x := p.find(key, "s"); x.State == Pinned {
					went = append(went, x.Endpoint)
				}
				now = now.Add(time.Second)
			}
		}
		gone := false
		for _, e := range went {
			if e != home {
				gone = true
			}
			qt.Assert(t, gone && e == home, qt.IsFalse, qt.Commentf("order %v went %v", st.choices, went))
		}
		qt.Assert(t, gone, qt.IsTrue)
		end := went[len(went)-1]
		for _, p := range ps {
			ss, ms, _ := p.c.Report(0)
			qt.Assert(t, len(ss), qt.Equals, 1)
			qt.Assert(t, ss[0].Endpoint, qt.Equals, end)
			qt.Assert(t, len(ms), qt.Equals, 1)
			qt.Assert(t, ms[0].Why, qt.Equals, ReasonDrain)
		}
	}
	qt.Assert(t, total > 200, qt.IsTrue, qt.Commentf("%d orders", total))
}

func TestKnownPinsHoldWhileNoCoreAnswersAndNewOnesFollowTheHash(t *testing.T) {
	now := time.Unix(0, 0)
	k := &core{coordination.NewTable(time.Minute)}
	see := &seats{up: map[string][]string{"s": {"e0", "e1", "e2"}}}
	p := newPlayer(k, &now, see)
	p.yield = direct
	was := p.find("k1", "s").Endpoint
	silent := New(Options{Now: p.c.o.Now, ConfigVersion: p.c.o.ConfigVersion, SettleTime: 300 * time.Millisecond, RefreshInterval: time.Hour, IdleTimeout: time.Hour, MaxSessions: 10,
		Pin: func(context.Context, *meshpb.PinRequest) (*meshpb.PinResponse, error) {
			return nil, errors.New("silent")
		}})
	silent.Add("k1", "s", was)
	q := func(key string) Assignment {
		return silent.Find(context.Background(), Query{SessionKey: key, AllowedServices: []string{"s"}, Service: "s"}, see)
	}
	qt.Assert(t, q("k1"), qt.DeepEquals, Assignment{Service: "s", Endpoint: was})
	x := q("k2")
	qt.Assert(t, x.State, qt.Equals, Provisional)
	qt.Assert(t, x.Endpoint, qt.Equals, Candidate("k2", see.up["s"]))
	ss, _, _ := silent.Report(0)
	qt.Assert(t, ss[1].Pinned, qt.IsFalse)
	see.up["s"] = slices.DeleteFunc(slices.Clone(see.up["s"]), func(e string) bool { return e == was })
	qt.Assert(t, q("k1").State, qt.Equals, Pending)
	now = now.Add(time.Second)
	qt.Assert(t, q("k1").State, qt.Equals, Pending, qt.Commentf("a move that is not recorded is not made"))
}

func TestVersionThatForbidsTheServiceMovesTheSessionAndSaysSo(t *testing.T) {
	now := time.Unix(0, 0)
	k := &core{coordination.NewTable(time.Minute)}
	see := &seats{up: map[string][]string{"s": {"e0", "e1"}, "t": {"f0", "f1"}}}
	a, b := newPlayer(k, &now, see), newPlayer(k, &now, see)
	a.yield, b.yield = direct, direct
	x := a.find("k", "s", "t")
	qt.Assert(t, b.find("k", "t", "s"), qt.DeepEquals, x, qt.Commentf("changed shares move nobody"))
	a.conf, b.conf = 7, 7
	y := a.find("k", "t")
	qt.Assert(t, y.Service, qt.Equals, "t")
	qt.Assert(t, b.find("k", "t"), qt.DeepEquals, y)
	for _, p := range []*player{a, b} {
		_, ms, _ := p.c.Report(7)
		qt.Assert(t, len(ms), qt.Equals, 1)
		qt.Assert(t, ms[0].Why+" "+ms[0].From+" "+ms[0].To, qt.Equals, ReasonConfig+" "+x.Endpoint+" "+y.Endpoint)
		_, none, _ := p.c.Report(8)
		qt.Assert(t, len(none), qt.Equals, 0)
	}
}

func TestPinsAreBoundedAndIdleOnesEnd(t *testing.T) {
	tb := coordination.NewTable(time.Minute)
	tb.SetPinLimits(10*time.Second, 3)
	ask := func(key string, now time.Duration) coordination.PinResult {
		d := tb.PinSession(&meshpb.PinRequest{Key: key, Allowed: []string{"s"}, Service: "s", Want: "e"}, now)
		if d.Change != nil {
			tb.Apply(d.Change, now)
		}
		return d.Result
	}
	for i := range 3 {
		qt.Assert(t, ask(fmt.Sprint(i), 0).Endpoint, qt.Equals, "e")
	}
	qt.Assert(t, ask("3", time.Second).Full, qt.IsTrue)
	ask("0", 8*time.Second)
	qt.Assert(t, ask("3", 12*time.Second).Full, qt.IsFalse)
	qt.Assert(t, tb.PinCount(), qt.Equals, 2)
}
