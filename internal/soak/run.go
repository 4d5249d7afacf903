package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

const (
	// recoveryLimit is the time after the last fault by which the core must serve again:
	// the agreed recoverS.
	recoveryLimit = 15 * time.Second
	// minRecovery is the minimum time between the last fault and the end of a run.
	minRecovery = 3 * time.Second
)

// Options describe a run.
type Options struct {
	// Binary is the path of the corkcove executable.
	Binary string
	// Directory receives the settings, logs and data of the members.
	Directory string
	Seed      uint64
	// Members is the size of the core, at least 2.
	Members int
	// Faults is the time in which faults begin and end.
	Faults time.Duration
	// Kinds are the kinds of faults that are drawn.
	Kinds []FaultKind
	// Relays puts a relay in front of each member, which faults of links need. Members
	// need the setting self.bindIp for it, which earlier releases lack.
	Relays bool
	// Verbose makes the members write all log messages. Old releases lack the flag.
	Verbose bool
	// Locks, Numbers, Keys and Callers are how many there are of each. All keys are in one
	// group.
	Locks, Numbers, Keys, Callers int
}

// Event records that a fault began.
type Event struct {
	Fault Fault `json:"fault"`
	// Member is the member that the fault hit, or the first of several.
	Member string `json:"member"`
}

// Report is the result of a run.
type Report struct {
	Seed       uint64      `json:"seed"`
	Members    int         `json:"members"`
	Attempts   int         `json:"attempts"`
	Succeeded  int         `json:"succeeded"`
	Events     []Event     `json:"events"`
	Violations []Violation `json:"violations"`
	// Directory holds the files of the members.
	Directory string `json:"directory"`

	history []Attempt
}

// Run runs a core under faults and judges what its callers saw. The error is one of the
// run itself; broken rules are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cluster, err := startCluster(ctx, o)
	if err != nil {
		return Report{}, fmt.Errorf("failed to start the cluster: %w", err)
	}
	defer cluster.stop()
	r := &run{options: o, cluster: cluster, start: time.Now(), history: &History{}}
	faultsEnd := r.play(ctx)
	attempts := r.history.Attempts()
	report := Report{Seed: o.Seed, Members: o.Members, Attempts: len(attempts), Events: r.events, Directory: o.Directory, history: attempts}
	for _, a := range attempts {
		if a.Succeeded() {
			report.Succeeded++
		}
	}
	report.Violations = slices.Concat(CheckLocks(attempts), CheckNumbers(attempts), CheckCells(attempts), CheckRecovery(attempts, faultsEnd))
	return report, errors.Join(r.errs...)
}

// run is a run in progress.
type run struct {
	options Options
	cluster *cluster
	start   time.Time
	history *History

	mu     sync.Mutex
	events []Event
	errs   []error
}

// play runs callers and faults. It returns once calls succeed again after the last fault,
// or recoveryLimit after it, and returns the time of the end of the last fault.
func (r *run) play(ctx context.Context) (faultsEnd time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range r.options.Callers {
		c := newCaller(i, r.options.Seed, r.cluster, r.history, r.start, names("lock", r.options.Locks), names("number", r.options.Numbers), names("group.key", r.options.Keys))
		callers.Go(func() { c.run(ctx) })
	}
	random := rand.New(rand.NewPCG(r.options.Seed, 0))
	schedule := drawSchedule(random, r.options.Kinds, r.options.Faults, (r.options.Members-1)/2)
	i := &injector{cluster: r.cluster, record: r.recordEvent, errors: r.recordError}
	i.run(ctx, r.start, schedule)
	faultsEnd = time.Since(r.start)
	sleep(ctx, minRecovery)
	for time.Since(r.start) < faultsEnd+recoveryLimit && len(CheckRecovery(r.history.Attempts(), faultsEnd)) > 0 {
		if !sleep(ctx, maxPause) {
			break
		}
	}
	cancel()
	callers.Wait()
	return faultsEnd
}

// names returns n names with a common prefix.
func names(prefix string, n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint(prefix, "-", i))
	}
	return all
}

func (r *run) recordEvent(f Fault, member string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, Event{f, member})
}

func (r *run) recordError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

// historyFile is the name of the file with all attempts of a run that broke a rule.
const historyFile = "history.txt"

// SaveHistory writes all attempts to a file in the report's directory.
func (r Report) SaveHistory() error {
	var text []byte
	for _, a := range r.history {
		text = fmt.Appendln(text, a)
	}
	return os.WriteFile(filepath.Join(r.Directory, historyFile), text, 0o644)
}
