package coordination

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The numbers that an owner issues within a reservation are not replicated, so that
// its successor would issue them a second time if it did not skip the reservation.
func TestNewOwnerSkipsReservedNumbers(t *testing.T) {
	owner, successor := NewTable(20*time.Second), NewTable(20*time.Second)
	next := func() uint64 {
		d := owner.NextNumber("n")
		if d.Change != nil {
			owner.Apply(d.Change, 0)
			successor.Apply(d.Change, 0)
		}
		return d.Result
	}
	last := next()
	for i := 0; i < 40; i++ {
		number := next()
		qt.Assert(t, number, qt.Equals, last+1)
		last = number
	}
	successor.BecomeOwner()
	qt.Assert(t, successor.NextNumber("n").Result > last, qt.IsTrue)
}
