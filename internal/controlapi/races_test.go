package controlapi

import (
	"flag"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/routeconfig"
)

var seeds = flag.Int64("seeds", 12, "how many worlds of operators and troubles to try")

// ledger is what two operators know of their orders.
type ledger struct {
	t       *testing.T
	name    string
	mu      sync.Mutex
	taken   map[sending]uint64
	refused map[sending]uint64
	top     uint64
}

func (l *ledger) floor() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.top
}

// saw notes a version that was shown or acknowledged; none below it may be shown
// to a call that is sent afterwards.
func (l *ledger) saw(v, floor uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v < floor {
		l.t.Errorf("%s: %s is shown behind %s", l.name, version(v), version(floor))
	}
	l.top = max(l.top, v)
}

func (l *ledger) note(o sending, v uint64, code int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if code >= 400 {
		if _, was := l.taken[o]; was {
			l.t.Errorf("%s: %s %s was taken and is refused with %d", l.name, o.method, version(v), code)
		}
		l.refused[o] = v
		return
	}
	if _, was := l.refused[o]; was {
		l.t.Errorf("%s: %s %s was refused and is taken", l.name, o.method, version(v))
	}
	for x, u := range l.taken {
		if u == v && x != o {
			l.t.Errorf("%s: two orders were taken under %s", l.name, version(v))
		}
	}
	l.taken[o] = v
	l.top = max(l.top, v)
}

func (l *ledger) old(n int) (sending, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for o, v := range l.taken {
		if n--; n < 0 {
			return o, v, true
		}
	}
	return sending{}, 0, false
}

// order sends until an answer is clear, a second to each member; late answers
// are lost.
func (w *room) order(rng *rand.Rand, l *ledger, o sending, v uint64) {
	for range 30 {
		to := w.ms[rng.Intn(len(w.ms))].addr
		got := make(chan int, 1)
		w.wg.Go(func() {
			c, _ := w.once(to, o)
			got <- c
		})
		select {
		case c := <-got:
			if c == 200 || c >= 400 && c < 500 {
				if rng.Intn(5) > 0 {
					l.note(o, v, c)
					return
				}
			}
		case <-time.After(time.Second):
		}
		time.Sleep(time.Duration(rng.Intn(300)) * time.Millisecond)
	}
}

func (w *room) operate(rng *rand.Rand, l *ledger, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		if o, v, ok := l.old(rng.Intn(12)); ok && rng.Intn(3) == 0 {
			w.order(rng, l, o, v)
		}
		time.Sleep(time.Duration(1+rng.Intn(100)) * time.Millisecond)
		var on uint64
		floor := l.floor()
		if c, b := w.once(w.ms[rng.Intn(len(w.ms))].addr, sending{method: "GET", path: place}); c == 200 {
			d, err := routeconfig.Parse([]byte(b))
			qt.Check(w.t, err, qt.IsNil)
			on = d.Version
		} else if c != 404 {
			continue
		}
		l.saw(on, floor)
		time.Sleep(time.Duration(rng.Intn(100)) * time.Millisecond)
		v := on + 1 + uint64(rng.Intn(2))
		host := fmt.Sprintf("h%d.%d", i, rng.Int31())
		if on > 0 && rng.Intn(2) == 0 {
			w.order(rng, l, part(v, on, host), v)
		} else {
			w.order(rng, l, whole(v, on, host), v)
		}
	}
}

func (w *room) trouble(rng *rand.Rand, end time.Time) {
	ms := func(n int) { time.Sleep(time.Duration(rng.Intn(n)) * time.Millisecond) }
	for time.Now().Before(end) {
		ms(1500)
		m := w.ms[rng.Intn(len(w.ms))]
		switch rng.Intn(5) {
		case 0:
			m.kill()
			ms(2000)
			m.start(false)
		case 1:
			w.cut(m.addr, true)
			ms(2500)
			w.cut(m.addr, false)
		case 2:
			flow := m.disk.stall()
			ms(2500)
			flow()
		case 3:
			for _, m := range w.ms {
				m.kill()
			}
			ms(800)
			for _, m := range w.ms {
				m.start(false)
			}
		case 4:
			time.Sleep(5 * time.Second)
			m.kill()
			m.disk = &shelf{}
			ms(500)
			m.start(false)
			time.Sleep(6 * time.Second)
		}
	}
}

func TestTwoOperatorsAmongTroubles(t *testing.T) {
	taken, refused := 0, 0
	for seed := int64(1); seed <= *seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			w := furnish(t, 3)
			defer w.close()
			l := &ledger{t: t, name: fmt.Sprint("world ", seed), taken: map[sending]uint64{}, refused: map[sending]uint64{}}
			end := time.Now().Add(25 * time.Second)
			var wg sync.WaitGroup
			for i := range int64(2) {
				wg.Go(func() { w.operate(rand.New(rand.NewSource(2*seed+i)), l, end) })
			}
			wg.Go(func() { w.trouble(rand.New(rand.NewSource(-seed)), end) })
			wg.Wait()
			in, _ := routeconfig.ParseVersion(w.inForce())
			for o, v := range l.taken {
				qt.Check(t, v <= in, qt.IsTrue, qt.Commentf("%s: %s was taken, %s is in force", l.name, version(v), version(in)))
				c, _ := w.sure(int(seed), o)
				qt.Check(t, c, qt.Equals, 200, qt.Commentf("%s: %s at the end", l.name, version(v)))
			}
			for o, v := range l.refused {
				c, _ := w.sure(int(seed), o)
				qt.Check(t, c, qt.Not(qt.Equals), 200, qt.Commentf("%s: %s was refused", l.name, version(v)))
			}
			taken, refused = taken+len(l.taken), refused+len(l.refused)
		})
		if t.Failed() {
			t.Fatalf("in world %d", seed)
		}
	}
	t.Logf("%d orders taken, %d refused", taken, refused)
	qt.Assert(t, taken > int(*seeds)*40 && refused > int(*seeds)*10, qt.IsTrue)
}
