package endpointagent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// orders calls f with each way to merge the threads' steps.
func orders(lens []int, f func(order []int)) {
	var rec func(at []int, o []int)
	rec = func(at []int, o []int) {
		done := true
		for i := range lens {
			if at[i] < lens[i] {
				done = false
				at[i]++
				rec(at, append(o, i))
				at[i]--
			}
		}
		if done {
			f(append([]int(nil), o...))
		}
	}
	rec(make([]int, len(lens)), nil)
}

func desk(now func() time.Time) *Agent {
	return New(Options{Service: "s", HeartbeatInterval: time.Second, MissedHeartbeats: 3, QueuePerSlot: 1, Now: now, Logf: func(string, ...any) {}, OnChange: func(Status) {}})
}

func beat(id, state string, seq uint64) Heartbeat {
	return Heartbeat{ID: id, Service: "s", Slots: 1, State: state, Seq: seq}
}

// Two requests, a drain and a new life, in every order: at most one request
// holds the only slot, none is let in after the drain was acknowledged, and
// none reaches a life that it was not meant for.
func TestEveryOrderOfAdmitDrainAndNewLife(t *testing.T) {
	n := 0
	orders([]int{2, 2, 3}, func(order []int) {
		n++
		synctest.Test(t, func(t *testing.T) {
			d := desk(time.Now)
			d.RecordHeartbeat(beat("a", "ready", 1))
			running, drained := 0, false
			life := "a"
			type req struct {
				free func()
				why  RejectReason
				back chan struct{}
			}
			rs := [2]req{}
			step := [3]int{}
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			for _, who := range order {
				switch {
				case who < 2 && step[who] == 0:
					r := &rs[who]
					r.back = make(chan struct{})
					late := drained
					go func() {
						r.free, r.why = d.Admit(ctx, "a", Priority{Rank: who, Deadline: time.Now().Add(time.Hour)}, time.Hour)
						close(r.back)
					}()
					synctest.Wait()
					if late {
						<-r.back
						qt.Check(t, r.why, qt.Not(qt.Equals), NotRejected, qt.Commentf("%v: let in after the drain", order))
					}
				case who < 2:
					r := &rs[who]
					select {
					case <-r.back:
						if r.why == NotRejected {
							r.free()
							r.why = RejectedCanceled
							synctest.Wait()
						}
					default:
					}
				case step[2] == 0:
					d.RecordHeartbeat(beat("a", "draining", 2))
					drained = true
				case step[2] == 1:
					d.Deregister("a")
				default:
					qt.Check(t, d.RecordHeartbeat(beat("b", "ready", 1)), qt.IsTrue)
					life = "b"
				}
				step[who]++
				synctest.Wait()
				running = 0
				for i := range rs {
					if rs[i].back == nil {
						continue
					}
					select {
					case <-rs[i].back:
						if rs[i].why == NotRejected {
							running++
						}
					default:
						qt.Check(t, drained, qt.IsFalse, qt.Commentf("%v: still queued after the drain", order))
					}
				}
				qt.Check(t, running <= 1, qt.IsTrue, qt.Commentf("%v: %d in one slot", order, running))
			}
			qt.Check(t, d.Status().ID, qt.Equals, life)
			qt.Check(t, d.RecordHeartbeat(beat("a", "ready", 9)), qt.IsFalse, qt.Commentf("an ended life came back"))
			qt.Check(t, d.Status().ID, qt.Equals, "b")
			free, why := d.Admit(ctx, "b", Priority{Deadline: time.Now().Add(time.Hour)}, time.Hour)
			qt.Check(t, why, qt.Equals, NotRejected)
			free()
		})
	})
	qt.Assert(t, n, qt.Equals, 210)
}

func TestQueueGoesByRankThenDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := desk(time.Now)
		b := beat("a", "ready", 1)
		b.Slots = 4
		d.RecordHeartbeat(b)
		var held []func()
		for i := 0; i < 4; i++ {
			f, why := d.Admit(context.Background(), "a", Priority{Deadline: time.Now().Add(time.Minute)}, time.Minute)
			qt.Assert(t, why, qt.Equals, NotRejected)
			held = append(held, f)
		}
		got := make(chan string, 8)
		for _, x := range []struct {
			late bool
			rank int
			due  time.Duration
		}{{false, 2, 10}, {false, 1, 30}, {true, 0, 5}, {false, 1, 20}, {false, 0, 40}} {
			go func() {
				f, why := d.Admit(context.Background(), "a", Priority{Late: x.late, Rank: x.rank, Deadline: time.Now().Add(x.due * time.Second)}, time.Minute)
				got <- fmt.Sprintf("%d %d %s", x.rank, int(x.due), why)
				if f != nil {
					f()
				}
			}()
			synctest.Wait()
		}
		held[0]()
		synctest.Wait()
		for _, w := range []string{"0 40", "1 20", "1 30", "2 10", "0 5"} {
			qt.Check(t, <-got, qt.Equals, w+" ")
		}
	})
}

func TestSilentEndpointIsUnsoundUntilItsNextBeat(t *testing.T) {
	now := time.Unix(0, 0)
	d := desk(func() time.Time { return now })
	d.RecordHeartbeat(beat("a", "ready", 1))
	now = now.Add(3500 * time.Millisecond)
	d.Tick()
	_, why := d.Admit(context.Background(), "a", Priority{Deadline: now.Add(time.Second)}, time.Second)
	qt.Check(t, why, qt.Equals, RejectedUnhealthy)
	qt.Check(t, d.RecordHeartbeat(beat("a", "ready", 1)), qt.IsFalse)
	qt.Check(t, d.RecordHeartbeat(beat("a", "ready", 2)), qt.IsTrue)
	f, why := d.Admit(context.Background(), "a", Priority{Deadline: now.Add(time.Second)}, time.Second)
	qt.Check(t, why, qt.Equals, NotRejected)
	f()
}

func TestHotReadsLeaveSlotsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{HeartbeatInterval: time.Hour, MissedHeartbeats: 3, QueuePerSlot: 1, Logf: func(string, ...any) {}, OnChange: func(Status) {}})
		d.RecordHeartbeat(Heartbeat{ID: "a", Slots: 8, State: "ready", Seq: 1})
		at := func(hot bool) Priority { return Priority{Deadline: time.Now().Add(time.Minute), Hot: hot} }
		free, why := d.Admit(context.Background(), "a", at(false), 0)
		qt.Assert(t, why, qt.Equals, NotRejected)
		free()
		var frees []func()
		for range 6 {
			f, why := d.Admit(context.Background(), "a", at(true), 0)
			qt.Assert(t, why, qt.Equals, NotRejected)
			frees = append(frees, f)
		}
		// One more waits, and others pass it.
		got := make(chan RejectReason, 1)
		go func() {
			f, why := d.Admit(context.Background(), "a", at(true), time.Minute)
			got <- why
			f()
		}()
		synctest.Wait()
		qt.Assert(t, len(got), qt.Equals, 0)
		for range 2 {
			f, why := d.Admit(context.Background(), "a", at(false), 0)
			qt.Assert(t, why, qt.Equals, NotRejected)
			frees = append(frees, f)
		}
		frees[7]()
		synctest.Wait()
		qt.Assert(t, len(got), qt.Equals, 0, qt.Commentf("that slot is not for hot reads"))
		frees[0]()
		synctest.Wait()
		qt.Assert(t, <-got, qt.Equals, NotRejected)
		for _, f := range frees[1:7] {
			f()
		}
		qt.Assert(t, d.Load().Running, qt.Equals, 0)
		// With nobody else about, all slots may be theirs.
		time.Sleep(2 * sparedFor)
		qt.Assert(t, d.hotMost(time.Now()), qt.Equals, 8)
	})
}
