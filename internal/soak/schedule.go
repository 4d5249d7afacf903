package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault that a schedule can contain.
type FaultKind string

// Kinds of faults. Faults of a member hit one that is drawn when they begin.
const (
	// Freeze suspends a member (SIGSTOP) and resumes it.
	Freeze FaultKind = "freeze"
	// Stutter lets a member run for a tenth of the time only.
	Stutter FaultKind = "stutter"
	// Kill ends a member (SIGKILL) and starts it again.
	Kill FaultKind = "kill"
	// Terminate asks a member to stop (SIGTERM) and starts it again.
	Terminate FaultKind = "terminate"
	// Wipe kills a member, removes its disk and starts it again.
	Wipe FaultKind = "wipe"
	// Replace starts a member at a new address and ends one for good.
	Replace FaultKind = "replace"
	// HoldLink holds the bytes from one member to another.
	HoldLink FaultKind = "hold-link"
	// Isolate holds the bytes from and to a member.
	Isolate FaultKind = "isolate"
	// Deafen holds the bytes to a member, but not those from it.
	Deafen FaultKind = "deafen"
	// Split holds the bytes between two parts of the core.
	Split FaultKind = "split"
	// KillAll kills all members at once and starts them again.
	KillAll FaultKind = "kill-all"
	// FreezeAll suspends all members at once.
	FreezeAll FaultKind = "freeze-all"
)

// faultWeights tells how often each kind is drawn.
var faultWeights = map[FaultKind]int{
	Freeze: 30, Stutter: 6, Kill: 14, Terminate: 8, Wipe: 3, Replace: 3,
	HoldLink: 10, Isolate: 10, Deafen: 6, Split: 6, KillAll: 2, FreezeAll: 2,
}

// FaultKinds returns all kinds, sorted.
func FaultKinds() []FaultKind {
	var kinds []FaultKind
	for kind := range faultWeights {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// NeedsRelays reports whether the fault is one of links.
func (k FaultKind) NeedsRelays() bool {
	return k == HoldLink || k == Isolate || k == Deafen || k == Split
}

const (
	// calmStart is the time before the first fault, in which the core starts.
	calmStart = 2 * time.Second
	minFault  = 50 * time.Millisecond
	maxFault  = 6 * time.Second
	// longFault is the length above which a suspended member has lost its leases.
	longFault = time.Second
)

// meanGaps are the mean times from the start of a fault to that of the next; each run
// draws one.
var meanGaps = []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second}

// Fault is a fault of a schedule. Times are durations since the start of the run.
type Fault struct {
	Kind FaultKind     `json:"kind"`
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	// Draw chooses the members that the fault hits.
	Draw uint64 `json:"draw"`
}

// String describes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%.3f s: %s for %.3f s", f.At.Seconds(), f.Kind, f.For.Seconds())
}

// drawSchedule returns the faults of a run, in the order in which they start. Disks of at
// most maxDiskLosses members are lost; every other fault may overlap with any number of
// others. The last fault ends before end.
func drawSchedule(random *rand.Rand, kinds []FaultKind, end time.Duration, maxDiskLosses int) []Fault {
	gap := meanGaps[random.IntN(len(meanGaps))]
	var faults []Fault
	for at := calmStart; at < end; at += time.Duration(random.ExpFloat64() * float64(gap)) {
		fault := Fault{Kind: drawKind(random, kinds), At: at, For: drawDuration(random), Draw: random.Uint64()}
		if fault.Kind == Wipe || fault.Kind == Replace {
			if maxDiskLosses == 0 {
				continue
			}
			maxDiskLosses--
		}
		if fault.At+fault.For < end {
			faults = append(faults, fault)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

func drawKind(random *rand.Rand, kinds []FaultKind) FaultKind {
	total := 0
	for _, kind := range kinds {
		total += faultWeights[kind]
	}
	n := random.IntN(total)
	for _, kind := range kinds {
		if n -= faultWeights[kind]; n < 0 {
			return kind
		}
	}
	return kinds[len(kinds)-1]
}

// drawDuration returns a duration of which half are short and half long enough for
// leases to end.
func drawDuration(random *rand.Rand) time.Duration {
	low, high := minFault, longFault
	if random.IntN(2) == 0 {
		low, high = longFault, maxFault
	}
	return low + time.Duration(random.Float64()*float64(high-low))
}
