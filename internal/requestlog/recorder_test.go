package requestlog

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/names"
	"corkcove/internal/rpc/meshpb"
)

// fakeClock is a clock that tests advance.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func newTestRecorder(size int, span time.Duration) (*Recorder, *fakeClock) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	return New(size, span, clock.Now), clock
}

func constantBalance(string) float64 { return 2 }

// addRecords adds the records of count requests, which start 100 ms apart.
func addRecords(r *Recorder, clock *fakeClock, count int) {
	for i := range count {
		clock.now = clock.now.Add(100 * time.Millisecond)
		r.Begin()
		r.End(&meshpb.RequestRecord{Id: fmt.Sprint("r", i), Service: "s", AtUs: clock.now.UnixMicro()}, constantBalance)
	}
}

func TestReportPagesThroughRecords(t *testing.T) {
	r, clock := newTestRecorder(8, time.Minute)
	addRecords(r, clock, 20)
	r.Begin()
	first := r.Report(time.Minute, 0, 5)
	qt.Assert(t, first.Records, qt.HasLen, 5)
	qt.Assert(t, first.Records[0].Id, qt.Equals, "r12")
	qt.Assert(t, first.Next, qt.Equals, uint32(5))
	qt.Assert(t, first.Dropped, qt.Equals, uint64(12))
	qt.Assert(t, first.LostUs, qt.Equals, int64(1_300_000))
	qt.Assert(t, first.Unfinished, qt.Equals, uint64(1))
	qt.Assert(t, first.BudgetSamples, qt.HasLen, 2)
	second := r.Report(time.Minute, first.Next, 5)
	qt.Assert(t, second.Records, qt.HasLen, 3)
	qt.Assert(t, second.Records[2].Id, qt.Equals, "r19")
	qt.Assert(t, second.Next, qt.Equals, uint32(0))
	qt.Assert(t, second.BudgetSamples, qt.HasLen, 0)
}

// Guards against one request with a header in Latin-1 that hides all records of a node.
func TestReportCanBeSentWhateverClientsSent(t *testing.T) {
	r, clock := newTestRecorder(8, time.Minute)
	r.Begin()
	r.End(&meshpb.RequestRecord{Id: "r\xe9", Method: "GET", Host: "h\xe9", Target: "/caf\xe9", AtUs: clock.now.UnixMicro(),
		Headers: map[string]string{"Cookie": "caf\xe9"}}, constantBalance)
	report := r.Report(time.Minute, 0, 5)
	_, err := proto.Marshal(report)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, names.Unescape(report.Records[0].Target), qt.Equals, "/caf\xe9")
	qt.Assert(t, names.Unescape(report.Records[0].Headers["Cookie"]), qt.Equals, "caf\xe9")
}

func TestReportOmitsRecordsOlderThanSpan(t *testing.T) {
	r, clock := newTestRecorder(100, time.Minute)
	addRecords(r, clock, 20)
	qt.Assert(t, r.Report(time.Second, 0, 100).Records, qt.HasLen, 11)
}

func TestViewsAndConfigsAreRetainedWhileRecordsNeedThem(t *testing.T) {
	r, clock := newTestRecorder(8, time.Minute)
	for version := range uint64(4) {
		r.RecordView(&meshpb.View{Epoch: 1, Version: version})
		r.RecordConfig(version, func() []byte { return fmt.Append(nil, version) })
		clock.now = clock.now.Add(40 * time.Second)
	}
	report := r.Report(time.Minute, 0, 1)
	qt.Assert(t, report.Views, qt.HasLen, 2)
	qt.Assert(t, report.Views[0].Version, qt.Equals, uint64(2))
	qt.Assert(t, report.Configs, qt.HasLen, 2)
	wanted := &meshpb.SnapshotsRequest{
		Views:   []*meshpb.VersionChange{{Epoch: 1, Version: 0}, {Epoch: 1, Version: 3}, {Epoch: 2, Version: 3}},
		Configs: []uint64{0, 3},
	}
	snapshots := r.Snapshots(wanted)
	qt.Assert(t, snapshots.Views, qt.HasLen, 1)
	qt.Assert(t, snapshots.Views[0].Version, qt.Equals, uint64(3))
	qt.Assert(t, snapshots.Configs, qt.HasLen, 1)
	qt.Assert(t, snapshots.Configs[0].Version, qt.Equals, uint64(3))
	for version := range uint64(2 * maxConfigs) {
		r.RecordConfig(100+version, nil)
	}
	qt.Assert(t, len(r.configs) <= maxConfigs, qt.IsTrue)
}

func TestNilRecorderReturnsNothing(t *testing.T) {
	var r *Recorder
	r.RecordView(&meshpb.View{})
	r.RecordConfig(1, nil)
	qt.Assert(t, r.Report(time.Minute, 0, 1).Records, qt.HasLen, 0)
	qt.Assert(t, r.Snapshots(&meshpb.SnapshotsRequest{Configs: []uint64{1}}).Configs, qt.HasLen, 0)
}
