package coordination

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc/meshpb"
)

// A full table must refuse a new session rather than drop a pin in use, and accept it
// once idle pins have expired. A pin that was used meanwhile must survive.
func TestPinsAreBoundedAndIdlePinsExpire(t *testing.T) {
	table := NewTable(time.Minute)
	table.SetPinLimits(10*time.Second, 3)
	pin := func(key string, now time.Duration) PinResult {
		return apply(table, table.PinSession(&meshpb.PinRequest{Key: key, Allowed: []string{"s"}, Service: "s", Want: "e"}, now), now).Result
	}
	for i := range 3 {
		qt.Assert(t, pin(fmt.Sprint(i), 0).Endpoint, qt.Equals, "e")
	}
	qt.Assert(t, pin("3", time.Second).Full, qt.IsTrue)
	pin("0", 8*time.Second)
	qt.Assert(t, pin("3", 12*time.Second).Full, qt.IsFalse)
	qt.Assert(t, len(table.sessions.pins), qt.Equals, 2)
}
