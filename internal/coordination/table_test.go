package coordination

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestShorterRenewalKeepsTheLongerHold(t *testing.T) {
	a, b := NewTable(20*time.Second), NewTable(20*time.Second)
	c, g := a.AcquireLock("l", "x", 3*time.Second, 0)
	a.Apply(c, 0)
	c, _ = a.RenewLock("l", "x", g.FencingToken, time.Second, 100*time.Millisecond)
	a.Apply(c, 100*time.Millisecond)
	at := 500 * time.Millisecond
	b.Restore(a.Snapshot(at), at, false)
	_, g2 := b.AcquireLock("l", "y", time.Second, 2900*time.Millisecond)
	qt.Assert(t, g2.Outcome, qt.Equals, Held)
	_, g2 = b.AcquireLock("l", "y", time.Second, 3002*time.Millisecond)
	qt.Assert(t, g2.Outcome, qt.Equals, Done)
	qt.Assert(t, g2.FencingToken > g.FencingToken, qt.IsTrue)
}

func TestAfterARestartAFullHoldRuns(t *testing.T) {
	a, b := NewTable(20*time.Second), NewTable(20*time.Second)
	c, _ := a.AcquireLock("l", "x", 3*time.Second, 0)
	a.Apply(c, 0)
	b.Restore(a.Snapshot(2*time.Second), 0, true)
	_, g := b.AcquireLock("l", "y", time.Second, 2900*time.Millisecond)
	qt.Assert(t, g.Outcome, qt.Equals, Held)
}

func TestNumbersPassOverWhatAnEarlierOwnerReserved(t *testing.T) {
	a, b := NewTable(20*time.Second), NewTable(20*time.Second)
	c, n := a.NextNumber("n")
	a.Apply(c, 0)
	b.Apply(c, 0)
	for i := 0; i < 40; i++ {
		var x uint64
		c, x = a.NextNumber("n")
		qt.Assert(t, x, qt.Equals, n+1)
		n = x
		if c != nil {
			a.Apply(c, 0)
			b.Apply(c, 0)
		}
	}
	b.BecomeOwner()
	_, m := b.NextNumber("n")
	qt.Assert(t, m > n, qt.IsTrue)
}

func TestValueThatComesAgainGetsItsFirstRevision(t *testing.T) {
	a := NewTable(20 * time.Second)
	put := func(k, v string, on *uint64, now time.Duration) Cell {
		c, r := a.Put(k, v, on, now)
		if c != nil {
			a.Apply(c, now)
		}
		return r
	}
	zero := uint64(0)
	qt.Assert(t, put("g.a", "v1", &zero, 0).Revision, qt.Equals, uint64(1))
	qt.Assert(t, put("g.b", "w1", nil, 0).Revision, qt.Equals, uint64(2))
	one := uint64(1)
	qt.Assert(t, put("g.a", "v2", &one, 0).Revision, qt.Equals, uint64(3))
	again := put("g.a", "v1", &zero, time.Second)
	qt.Assert(t, again, qt.Equals, Cell{Outcome: Done, Revision: 1})
	late := put("g.a", "v3", &one, time.Second)
	qt.Assert(t, late, qt.Equals, Cell{Outcome: Moved, Revision: 3})
	qt.Assert(t, put("h.a", "v1", nil, 0).Revision, qt.Equals, uint64(1))
}

func TestHistoryOutlivesItsTimeAndARestart(t *testing.T) {
	a := NewTable(20 * time.Second)
	at := func(i int) time.Duration { return time.Duration(i) * time.Second }
	for i := 1; i <= 60; i++ {
		c, _ := a.Put("g.k", string(rune('0'+i)), nil, at(i))
		a.Apply(c, at(i))
	}
	e := a.EventsSince("g.", 40)
	qt.Assert(t, len(e.Events), qt.Equals, 20)
	for i, p := range e.Events {
		qt.Assert(t, p.Revision, qt.Equals, uint64(41+i))
	}
	qt.Assert(t, a.EventsSince("g.", 3).Outcome, qt.Equals, Gone)
	qt.Assert(t, a.EventsSince("g.", 60).Outcome, qt.Equals, Waiting)
	b := NewTable(20 * time.Second)
	b.Restore(a.Snapshot(at(60)), 0, true)
	qt.Assert(t, len(b.EventsSince("g.", 40).Events), qt.Equals, 20)
	c, r := b.Put("g.k", "new", nil, 0)
	qt.Assert(t, r.Revision, qt.Equals, uint64(61))
	b.Apply(c, 0)
	qt.Assert(t, b.Get("g.k"), qt.Equals, Cell{Done, "new", 61})
}
