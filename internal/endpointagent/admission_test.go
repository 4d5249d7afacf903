package endpointagent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// pendingRequest is a request that waits in Admit until decided is closed.
type pendingRequest struct {
	release func()
	reason  RejectReason
	decided chan struct{}
}

func (r *pendingRequest) isDecided() bool {
	select {
	case <-r.decided:
		return true
	default:
		return false
	}
}

// interleavedRun plays one order of two requests, a drain and a new incarnation.
type interleavedRun struct {
	t        *testing.T
	order    []int
	agent    *Agent
	requests [2]pendingRequest
	steps    [3]int
	drained  bool
	// current is the incarnation that runs.
	current string
}

const endpointThread = 2

// step plays the next step of a thread: a request's are to ask for a slot and to
// free it, the endpoint's to drain, to deregister and to start anew.
func (r *interleavedRun) step(ctx context.Context, thread int) {
	switch {
	case thread < endpointThread && r.steps[thread] == 0:
		r.admit(ctx, thread)
	case thread < endpointThread:
		r.finish(thread)
	case r.steps[endpointThread] == 0:
		r.agent.RecordHeartbeat(heartbeat("a", "draining", 2))
		r.drained = true
	case r.steps[endpointThread] == 1:
		r.agent.Deregister("a")
	default:
		qt.Check(r.t, r.agent.RecordHeartbeat(heartbeat("b", "ready", 1)), qt.IsTrue)
		r.current = "b"
	}
	r.steps[thread]++
	synctest.Wait()
}

func (r *interleavedRun) admit(ctx context.Context, i int) {
	q := &r.requests[i]
	q.decided = make(chan struct{})
	late := r.drained
	go func() {
		q.release, q.reason = r.agent.Admit(ctx, "a", Priority{Rank: i, Deadline: time.Now().Add(time.Hour)}, time.Hour)
		close(q.decided)
	}()
	synctest.Wait()
	if late {
		<-q.decided
		qt.Check(r.t, q.reason, qt.Not(qt.Equals), NotRejected, qt.Commentf("%v: admitted after the drain", r.order))
	}
}

func (r *interleavedRun) finish(i int) {
	q := &r.requests[i]
	if q.isDecided() && q.reason == NotRejected {
		q.release()
		q.reason = RejectedCanceled
		synctest.Wait()
	}
}

func (r *interleavedRun) checkSlots() {
	running := 0
	for i := range r.requests {
		q := &r.requests[i]
		if q.decided == nil {
			continue
		}
		if !q.isDecided() {
			qt.Check(r.t, r.drained, qt.IsFalse, qt.Commentf("%v: still queued after the drain", r.order))
		} else if q.reason == NotRejected {
			running++
		}
	}
	qt.Check(r.t, running <= 1, qt.IsTrue, qt.Commentf("%v: %d in one slot", r.order, running))
}

// Two requests, a drain and a new incarnation, in every order: at most one request
// holds the only slot, none is admitted after the drain was acknowledged, and none
// reaches an incarnation that it was not meant for.
func TestAdmissionInEveryOrderOfDrainAndNewIncarnation(t *testing.T) {
	n := 0
	interleavings([]int{2, 2, 3}, func(order []int) {
		n++
		synctest.Test(t, func(t *testing.T) {
			a := newAgent(time.Now)
			a.RecordHeartbeat(heartbeat("a", "ready", 1))
			r := &interleavedRun{t: t, order: order, agent: a, current: "a"}
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			for _, thread := range order {
				r.step(ctx, thread)
				r.checkSlots()
			}
			qt.Check(t, a.Status().ID, qt.Equals, r.current)
			qt.Check(t, a.RecordHeartbeat(heartbeat("a", "ready", 9)), qt.IsFalse, qt.Commentf("an ended incarnation came back"))
			qt.Check(t, a.Status().ID, qt.Equals, "b")
			release, reason := a.Admit(ctx, "b", Priority{Deadline: time.Now().Add(time.Hour)}, time.Hour)
			qt.Check(t, reason, qt.Equals, NotRejected)
			release()
		})
	})
	qt.Assert(t, n, qt.Equals, 210)
}

func TestQueueIsOrderedByRankThenDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent(time.Now)
		h := heartbeat("a", "ready", 1)
		h.Slots = 4
		a.RecordHeartbeat(h)
		var releases []func()
		for i := 0; i < 4; i++ {
			release, reason := a.Admit(context.Background(), "a", Priority{Deadline: time.Now().Add(time.Minute)}, time.Minute)
			qt.Assert(t, reason, qt.Equals, NotRejected)
			releases = append(releases, release)
		}
		admitted := make(chan string, 8)
		for _, x := range []struct {
			late     bool
			rank     int
			deadline time.Duration
		}{{false, 2, 10}, {false, 1, 30}, {true, 0, 5}, {false, 1, 20}, {false, 0, 40}} {
			go func() {
				release, reason := a.Admit(context.Background(), "a", Priority{Late: x.late, Rank: x.rank, Deadline: time.Now().Add(x.deadline * time.Second)}, time.Minute)
				admitted <- fmt.Sprintf("%d %d %s", x.rank, int(x.deadline), reason)
				if release != nil {
					release()
				}
			}()
			synctest.Wait()
		}
		releases[0]()
		synctest.Wait()
		for _, want := range []string{"0 40", "1 20", "1 30", "2 10", "0 5"} {
			qt.Check(t, <-admitted, qt.Equals, want+" ")
		}
	})
}

func TestHotReadsLeaveSlotsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Options{HeartbeatInterval: time.Hour, MissedHeartbeats: 3, QueuePerSlot: 1, OnChange: func(Status) {}})
		a.RecordHeartbeat(Heartbeat{ID: "a", Slots: 8, State: "ready", Seq: 1})
		priority := func(hot bool) Priority { return Priority{Deadline: time.Now().Add(time.Minute), HotRead: hot} }
		release, reason := a.Admit(context.Background(), "a", priority(false), 0)
		qt.Assert(t, reason, qt.Equals, NotRejected)
		release()
		var releases []func()
		for range 6 {
			release, reason := a.Admit(context.Background(), "a", priority(true), 0)
			qt.Assert(t, reason, qt.Equals, NotRejected)
			releases = append(releases, release)
		}
		// One more waits, and others pass it.
		decision := make(chan RejectReason, 1)
		go func() {
			release, reason := a.Admit(context.Background(), "a", priority(true), time.Minute)
			decision <- reason
			release()
		}()
		synctest.Wait()
		qt.Assert(t, len(decision), qt.Equals, 0)
		for range 2 {
			release, reason := a.Admit(context.Background(), "a", priority(false), 0)
			qt.Assert(t, reason, qt.Equals, NotRejected)
			releases = append(releases, release)
		}
		releases[7]()
		synctest.Wait()
		qt.Assert(t, len(decision), qt.Equals, 0, qt.Commentf("that slot is not for hot reads"))
		releases[0]()
		synctest.Wait()
		qt.Assert(t, <-decision, qt.Equals, NotRejected)
		for _, release := range releases[1:7] {
			release()
		}
		qt.Assert(t, a.Load().Running, qt.Equals, 0)
		// With nobody else about, all slots may be theirs.
		time.Sleep(2 * reservationPeriod)
		qt.Assert(t, a.hotSlotLimit(time.Now()), qt.Equals, 8)
	})
}
