package hotkeys

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A frequently read key must stand out among many that are read once, and both the
// report and the memory for keys must stay bounded. After a pause longer than the
// window, nothing is left.
func TestMeterReportsMostReadKeysOfItsWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	meter := NewMeter(func() time.Time { return now })
	for i := range 4000 {
		now = now.Add(time.Millisecond)
		meter.Record(Hash("s", "final"), "read", "s", 40*time.Millisecond)
		meter.Record(Hash("s", fmt.Sprint("other-", i)), "read", "s", 40*time.Millisecond)
	}
	rates, unchanged := meter.Rates()
	qt.Assert(t, unchanged, qt.IsFalse)
	qt.Assert(t, len(rates) <= maxReportedKeys, qt.IsTrue)
	qt.Assert(t, rates[0].Key, qt.Equals, Hash("s", "final"))
	qt.Assert(t, rates[0].PerS > 700 && rates[0].PerS < 1400, qt.IsTrue, qt.Commentf("%v", rates[0].PerS))
	qt.Assert(t, len(meter.keys) <= maxTrackedKeys, qt.IsTrue)
	_, unchanged = meter.Rates()
	qt.Assert(t, unchanged, qt.IsTrue)
	now = now.Add(time.Minute)
	rates, _ = meter.Rates()
	qt.Assert(t, rates, qt.HasLen, 0)
	qt.Assert(t, meter.keys, qt.HasLen, 0)
}
