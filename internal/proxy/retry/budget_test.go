package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// In any window, the retries of all nodes together stay within the limit given by
// the requests of that window and the slack. The limit must also hold while new
// nodes join before the node count is updated, and while nodes restart.
func TestBudgetsOfAllNodesStayUnderTheBound(t *testing.T) {
	const window, ratio, slack = 10 * time.Second, 0.2, 60.0
	for _, n := range []int{3, 16, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			now := time.Duration(0)
			knownNodes := n / 2
			nodeCount := func() int { return max(knownNodes, 1) }
			newBudget := func() *Budget {
				return NewBudget(ratio, slack, window, nodeCount, func() time.Duration { return now })
			}
			var budgets []*Budget
			for range knownNodes {
				budgets = append(budgets, newBudget())
			}
			type sample struct {
				at                time.Duration
				requests, retries int
			}
			var samples []sample
			for now < 40*time.Second {
				now += 50 * time.Millisecond
				if now == 8*time.Second {
					for len(budgets) < n {
						budgets = append(budgets, newBudget())
					}
				}
				if now == 8500*time.Millisecond {
					knownNodes = n
				}
				if now == 20*time.Second {
					for i := range n / 4 {
						budgets[i] = newBudget()
					}
				}
				current := sample{at: now}
				for _, b := range budgets {
					if rng.Float64() < 0.2 {
						b.RecordRequest("s")
						current.requests++
					}
					for b.Spend("s") {
						current.retries++
					}
				}
				samples = append(samples, current)
			}
			total := 0
			for i := range samples {
				requests, retries := 0, 0
				for j := i; j < len(samples) && samples[j].at-samples[i].at < window; j++ {
					requests += samples[j].requests
					retries += samples[j].retries
				}
				total += retries
				qt.Assert(t, float64(retries) <= ratio*float64(requests)+slack, qt.IsTrue, qt.Commentf("window from %v: %d retries, %d requests", samples[i].at, retries, requests))
			}
			qt.Assert(t, total > 0, qt.IsTrue)
		})
	}
}

// With 100 nodes, the share of one node in the slack is 0.25 attempts. Together
// with 0.1 attempts per request it must still add up to whole retries.
func TestFractionalShareAccumulatesToRetries(t *testing.T) {
	now := time.Duration(0)
	b := NewBudget(0.2, 50, 10*time.Second, func() int { return 100 }, func() time.Duration { return now })
	qt.Assert(t, b.Spend("s"), qt.IsFalse)
	retries := 0
	for range 100 {
		now += 20 * time.Millisecond
		b.RecordRequest("s")
		if b.Spend("s") {
			retries++
		}
	}
	qt.Assert(t, retries, qt.Equals, 10)
	now += 11 * time.Second
	qt.Assert(t, b.Balance("s"), qt.Equals, 0.25)
}
