package replication_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A scenario says how many members there are and how many may be lost at once, and
// has a track of faults, one after the other, for each of the latter. A track goes
// on once the lost node, or its successor, has had catchUpTime. So each scenario
// must be survived, with every shard owned whenever the last fault began or ended
// settleTime ago.

const (
	catchUpTime  = 4 * time.Second
	settleTime   = 4 * time.Second
	gracePeriod  = 4500 * time.Millisecond
	transferTime = 400 * time.Millisecond
)

type fault int

const (
	crash fault = iota
	wipe
	partition
	receiveNothing
	sendNothing
	freeze
	slowDisk
	stuckDisk
	fullDisk
	starved
	replace
	plannedReplacement
	restart
	crashAfterAck
	connectionResets
	partialPartition
	faultCount
)

var faultNames = [...]string{"crash", "wipe", "cut off", "deaf", "mute", "freeze", "slow disk", "stuck disk", "full disk", "slowed", "replace", "planned", "restart", "after ack", "resets", "apart"}

func (t fault) String() string { return faultNames[t] }

type faultStep struct {
	Fault fault
	// Target is a node by its number; TargetMaster is the owner of shard 0 instead.
	Target       int
	TargetMaster bool
	Wait         time.Duration
	Duration     time.Duration
	Gap          time.Duration
}

type scenario struct {
	Seed    int64
	Members int
	Tracks  [][]faultStep
	// KillAllAt are the moments at which every process is killed.
	KillAllAt []time.Duration
	// KillAllAfterAck has them killed as soon as a change has been acknowledged.
	KillAllAfterAck bool
	// SyncDelay is how long a disk takes for a sync.
	SyncDelay     time.Duration
	LossRate      float64
	DelayRate     float64
	DuplicateRate float64
	// KillAllAtEnd wipes as many as may be lost while all others are killed.
	KillAllAtEnd bool
}

func drawDuration(t *rapid.T, what string, lo, hi time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(lo/time.Millisecond), int64(hi/time.Millisecond)).Draw(t, what)) * time.Millisecond
}

func drawStep(members int) *rapid.Generator[faultStep] {
	return rapid.Custom(func(t *rapid.T) faultStep {
		return faultStep{
			Fault: fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "what")), Target: rapid.IntRange(0, members-1).Draw(t, "who"),
			TargetMaster: rapid.IntRange(0, 2).Draw(t, "leader") == 0, Wait: rapid.SampledFrom([]time.Duration{0, 0, 150 * time.Millisecond, 1200 * time.Millisecond}).Draw(t, "wait"),
			Duration: drawDuration(t, "for", 50*time.Millisecond, 7*time.Second), Gap: drawDuration(t, "gap", 0, 2*time.Second),
		}
	})
}

func drawScenario(sizes [][2]int) *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		size := rapid.SampledFrom(sizes).Draw(t, "size")
		drawn := scenario{Members: size[0], Seed: rapid.Int64Range(1, 1<<40).Draw(t, "seed")}
		for range size[1] {
			drawn.Tracks = append(drawn.Tracks, rapid.SliceOfN(drawStep(size[0]), 0, 4).Draw(t, "place"))
		}
		for range rapid.IntRange(0, 2).Draw(t, "all down") {
			drawn.KillAllAt = append(drawn.KillAllAt, drawDuration(t, "at", 3*time.Second, 30*time.Second))
		}
		drawn.SyncDelay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 500 * time.Microsecond, 12 * time.Millisecond}).Draw(t, "sync")
		drawn.LossRate = rapid.SampledFrom([]float64{0, 0, 0, 0.02}).Draw(t, "loss")
		drawn.DelayRate = rapid.SampledFrom([]float64{0, 0, 0.02}).Draw(t, "late")
		drawn.DuplicateRate = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "twice")
		drawn.KillAllAfterAck = rapid.Bool().Draw(t, "aimed")
		drawn.KillAllAtEnd = rapid.Bool().Draw(t, "closing")
		return drawn
	})
}

// survivableAlone leaves out what a single member can't survive.
func survivableAlone(row []faultStep) []faultStep {
	var out []faultStep
	for _, s := range row {
		if s.Fault != wipe && s.Fault != replace && s.Fault != plannedReplacement && s.Fault != crashAfterAck {
			out = append(out, s)
		}
	}
	return out
}

var scenarioCount = flag.Int("worlds", 15, "how many worlds to play in each lane")

// scenarioSizes are the numbers of members, and of those that may be lost, that the
// scenarios of each lane are drawn from.
var scenarioSizes = [][][2]int{{{1, 1}, {3, 1}, {3, 1}}, {{3, 1}, {5, 1}}, {{5, 2}}, {{7, 2}, {5, 2}}, {{11, 2}, {3, 1}}, {{19, 2}, {3, 1}, {3, 1}, {5, 1}, {5, 2}, {5, 2}}}

// TestRandomScenariosAreSurvived runs the same scenarios each time, unless
// rapid.seed says otherwise.
func TestRandomScenariosAreSurvived(t *testing.T) {
	setFlag(t, "rapid.checks", fmt.Sprint(*scenarioCount))
	setFlag(t, "rapid.nofailfile", "true")
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		setFlag(t, "rapid.seed", "1")
	}
	for lane, sizes := range scenarioSizes {
		t.Run(fmt.Sprint("lane ", lane), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) { runScenario(t, drawScenario(sizes).Draw(t, "plan")) })
		})
	}
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

func TestScenarioIsDeterministic(t *testing.T) {
	played := scenario{Seed: 9, Members: 5, DuplicateRate: 0.05, LossRate: 0.02, DelayRate: 0.02, KillAllAt: []time.Duration{9 * time.Second}, KillAllAtEnd: true,
		Tracks: [][]faultStep{{{Fault: plannedReplacement, Wait: 100 * time.Millisecond, Gap: time.Second}, {Fault: partition, TargetMaster: true, Duration: 3 * time.Second}},
			{{Fault: wipe, Target: 3, Duration: time.Second}, {Fault: freeze, TargetMaster: true, Duration: 2 * time.Second}}}}
	first, second := runScenario(t, played), runScenario(t, played)
	if len(first.logLines) != len(second.logLines) {
		t.Fatalf("%d and %d lines", len(first.logLines), len(second.logLines))
	}
	for i := range first.logLines {
		if first.logLines[i] != second.logLines[i] {
			t.Fatalf("line %d: %s, then %s", i, first.logLines[i], second.logLines[i])
		}
	}
}
