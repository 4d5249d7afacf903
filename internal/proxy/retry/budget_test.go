package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The sum over all nodes of what is spent in any window stays under the bound
// that the requests of that window and the slack allow, also while nodes join
// with a stale count and while some start anew.
func TestBudgetsOfAllNodesStayUnderTheBound(t *testing.T) {
	const window, ratio, slack = 10 * time.Second, 0.2, 60.0
	for _, n := range []int{3, 16, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			now := time.Duration(0)
			known := n / 2
			count := func() int { return max(known, 1) }
			mk := func() *Budget { return NewBudget(ratio, slack, window, count, func() time.Duration { return now }) }
			var bs []*Budget
			for range known {
				bs = append(bs, mk())
			}
			type at struct {
				t         time.Duration
				asks, got int
			}
			var log []at
			for now < 40*time.Second {
				now += 50 * time.Millisecond
				if now == 8*time.Second {
					for len(bs) < n {
						bs = append(bs, mk())
					}
				}
				if now == 8500*time.Millisecond {
					known = n
				}
				if now == 20*time.Second {
					for i := range n / 4 {
						bs[i] = mk()
					}
				}
				e := at{t: now}
				for _, b := range bs {
					if rng.Float64() < 0.2 {
						b.RecordRequest("s")
						e.asks++
					}
					for b.Spend("s") {
						e.got++
					}
				}
				log = append(log, e)
			}
			total := 0
			for i := range log {
				asks, got := 0, 0
				for j := i; j < len(log) && log[j].t-log[i].t < window; j++ {
					asks += log[j].asks
					got += log[j].got
				}
				total += got
				qt.Assert(t, float64(got) <= ratio*float64(asks)+slack, qt.IsTrue, qt.Commentf("from %v: %d spent, %d asked", log[i].t, got, asks))
			}
			qt.Assert(t, total > 0, qt.IsTrue)
		})
	}
}

func TestShareBelowOneAddsUpToOneRetry(t *testing.T) {
	now := time.Duration(0)
	b := NewBudget(0.2, 50, 10*time.Second, func() int { return 100 }, func() time.Duration { return now })
	qt.Assert(t, b.Spend("s"), qt.IsFalse)
	n := 0
	for range 100 {
		now += 20 * time.Millisecond
		b.RecordRequest("s")
		if b.Spend("s") {
			n++
		}
	}
	qt.Assert(t, n, qt.Equals, 10)
	now += 11 * time.Second
	qt.Assert(t, b.Balance("s"), qt.Equals, 0.25)
}
