package endpointagent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// pendingRequest is a call of Admit on its own goroutine. When the call has returned,
// release and reason hold its results and decided is closed.
type pendingRequest struct {
	release func()
	reason  RejectReason
	decided chan struct{}
}

// isDecided reports whether Admit has returned.
func (r *pendingRequest) isDecided() bool {
	select {
	case <-r.decided:
		return true
	default:
		return false
	}
}

// interleaving executes one order of the steps of two requests and of an endpoint that
// drains, deregisters and is replaced by a new incarnation.
type interleaving struct {
	t *testing.T
	// order contains the thread of each step: the index of a request, or
	// endpointThread.
	order    []int
	agent    *Agent
	requests [2]pendingRequest
	// stepsDone is the number of steps that each thread has executed.
	stepsDone [3]int
	// draining is set once the agent has received the heartbeat that starts the drain.
	draining bool
	// wantID is the ID of the current incarnation.
	wantID string
}

// endpointThread is the thread that executes the endpoint's steps.
const endpointThread = 2

// runStep executes the next step of a thread. A request calls Admit, then releases its
// slot. The endpoint reports that it is draining, deregisters, then sends the first
// heartbeat of a new incarnation.
func (r *interleaving) runStep(ctx context.Context, thread int) {
	switch {
	case thread < endpointThread && r.stepsDone[thread] == 0:
		r.admit(ctx, thread)
	case thread < endpointThread:
		r.finish(thread)
	case r.stepsDone[endpointThread] == 0:
		r.agent.RecordHeartbeat(heartbeat("a", "draining", 2))
		r.draining = true
	case r.stepsDone[endpointThread] == 1:
		r.agent.Deregister("a")
	default:
		qt.Check(r.t, r.agent.RecordHeartbeat(heartbeat("b", "ready", 1)), qt.IsTrue)
		r.wantID = "b"
	}
	r.stepsDone[thread]++
	synctest.Wait()
}

// admit starts request i. It fails the test if the request is admitted after the drain.
func (r *interleaving) admit(ctx context.Context, i int) {
	request := &r.requests[i]
	request.decided = make(chan struct{})
	afterDrain := r.draining
	go func() {
		request.release, request.reason = r.agent.Admit(ctx, "a", Priority{Rank: i, Deadline: time.Now().Add(time.Hour)}, time.Hour, nil)
		close(request.decided)
	}()
	synctest.Wait()
	if afterDrain {
		<-request.decided
		qt.Check(r.t, request.reason, qt.Not(qt.Equals), NotRejected, qt.Commentf("%v: admitted after the drain", r.order))
	}
}

// finish releases the slot of request i if it holds one. The reason RejectedCanceled
// then marks the request as finished.
func (r *interleaving) finish(i int) {
	request := &r.requests[i]
	if request.isDecided() && request.reason == NotRejected {
		request.release()
		request.reason = RejectedCanceled
		synctest.Wait()
	}
}

// checkInvariants checks that at most one request holds the only slot and that none is
// queued after the drain.
func (r *interleaving) checkInvariants() {
	running := 0
	for i := range r.requests {
		request := &r.requests[i]
		if request.decided == nil {
			continue
		}
		if !request.isDecided() {
			qt.Check(r.t, r.draining, qt.IsFalse, qt.Commentf("%v: still queued after the drain", r.order))
		} else if request.reason == NotRejected {
			running++
		}
	}
	qt.Check(r.t, running <= 1, qt.IsTrue, qt.Commentf("%v: %d requests hold the only slot", r.order, running))
}

// Races between admission, drain and replacement must not break slot accounting. In
// every interleaving of two requests with a drain and a new incarnation, at most one
// request holds the only slot, none is admitted after the drain was acknowledged, and
// none reaches an incarnation that it was not addressed to.
func TestAdmitInEveryInterleavingWithDrainAndReplacement(t *testing.T) {
	count := 0
	interleavings([]int{2, 2, 3}, func(order []int) {
		count++
		synctest.Test(t, func(t *testing.T) {
			a := newAgent(time.Now)
			a.RecordHeartbeat(heartbeat("a", "ready", 1))
			r := &interleaving{t: t, order: order, agent: a, wantID: "a"}
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			for _, thread := range order {
				r.runStep(ctx, thread)
				r.checkInvariants()
			}
			qt.Check(t, a.Status().ID, qt.Equals, r.wantID)
			qt.Check(t, a.RecordHeartbeat(heartbeat("a", "ready", 9)), qt.IsFalse, qt.Commentf("heartbeat of an ended incarnation was accepted"))
			qt.Check(t, a.Status().ID, qt.Equals, "b")
			release, reason := a.Admit(ctx, "b", Priority{Deadline: time.Now().Add(time.Hour)}, time.Hour, nil)
			qt.Check(t, reason, qt.Equals, NotRejected)
			release()
		})
	})
	qt.Assert(t, count, qt.Equals, 210)
}

// Queued requests are admitted in priority order, not in order of arrival: late requests
// last, then by rank, then by deadline.
func TestQueueOrdersByLateRankAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent(time.Now)
		h := heartbeat("a", "ready", 1)
		h.Slots = 4
		a.RecordHeartbeat(h)
		var releases []func()
		for i := 0; i < 4; i++ {
			release, reason := a.Admit(context.Background(), "a", Priority{Deadline: time.Now().Add(time.Minute)}, time.Minute, nil)
			qt.Assert(t, reason, qt.Equals, NotRejected)
			releases = append(releases, release)
		}
		admitted := make(chan string, 8)
		for _, request := range []struct {
			late     bool
			rank     int
			deadline time.Duration // in seconds from now
		}{{false, 2, 10}, {false, 1, 30}, {true, 0, 5}, {false, 1, 20}, {false, 0, 40}} {
			go func() {
				release, reason := a.Admit(context.Background(), "a", Priority{Late: request.late, Rank: request.rank, Deadline: time.Now().Add(request.deadline * time.Second)}, time.Minute, nil)
				admitted <- fmt.Sprintf("%d %d %s", request.rank, int(request.deadline), reason)
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

// Hot reads that have reached their slot limit must wait in the queue, where other
// requests overtake them. Rejecting them refused reads although slots were free.
func TestHotReadsLeaveSlotsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Options{HeartbeatInterval: time.Hour, MissedHeartbeats: 3, QueuePerSlot: 1, OnChange: func(Status) {}})
		a.RecordHeartbeat(Heartbeat{ID: "a", Slots: 8, State: "ready", Seq: 1})
		priority := func(hotRead bool) Priority {
			return Priority{Deadline: time.Now().Add(time.Minute), HotRead: hotRead}
		}
		release, reason := a.Admit(context.Background(), "a", priority(false), 0, nil)
		qt.Assert(t, reason, qt.Equals, NotRejected)
		release()
		var releases []func()
		for range 6 {
			release, reason := a.Admit(context.Background(), "a", priority(true), 0, nil)
			qt.Assert(t, reason, qt.Equals, NotRejected)
			releases = append(releases, release)
		}
		// A seventh hot read is queued, and other requests overtake it.
		decision := make(chan RejectReason, 1)
		go func() {
			release, reason := a.Admit(context.Background(), "a", priority(true), time.Minute, nil)
			decision <- reason
			release()
		}()
		synctest.Wait()
		qt.Assert(t, len(decision), qt.Equals, 0)
		for range 2 {
			release, reason := a.Admit(context.Background(), "a", priority(false), 0, nil)
			qt.Assert(t, reason, qt.Equals, NotRejected)
			releases = append(releases, release)
		}
		releases[7]()
		synctest.Wait()
		qt.Assert(t, len(decision), qt.Equals, 0, qt.Commentf("hot read was admitted to a reserved slot"))
		releases[0]()
		synctest.Wait()
		qt.Assert(t, <-decision, qt.Equals, NotRejected)
		for _, release := range releases[1:7] {
			release()
		}
		qt.Assert(t, a.Load().Running, qt.Equals, 0)
		// Without other requests, the reservation expires and hot reads may use all slots.
		time.Sleep(2 * reservationPeriod)
		qt.Assert(t, a.hotSlotLimit(time.Now()), qt.Equals, 8)
	})
}
