package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"corkcove/internal/soak"
)

// Accepted ranges of the flags, inclusive.
const (
	minMembers, maxMembers = 2, 9
	maxParallel            = 16
)

// Numbers and keys of each run.
const (
	numberCount = 2
	keyCount    = 4
)

// Exit codes.
const (
	exitViolations = 1
	exitFailure    = 2
)

// options holds the values of the command-line flags.
type options struct {
	binary, directory string
	firstSeed         uint64
	runs, parallel    int
	members           int
	duration          time.Duration
	kinds             []string
	locks, callers    int
	relays, verbose   bool
	json              bool
}

// parseOptions parses the command line. It ends the process if a flag is invalid.
func parseOptions(args []string) options {
	var kinds []string
	for _, kind := range soak.FaultKinds() {
		kinds = append(kinds, string(kind))
	}
	var o options
	app := kingpin.New("soak", "Runs cores of real processes under faults on loopback addresses and reports broken rules. Exit code 1: a rule was broken; 2: a run failed.")
	app.Flag("corkcove", "Path of the corkcove executable.").Default("target/corkcove").StringVar(&o.binary)
	app.Flag("dir", "Parent of the directories with settings, logs and data; those of runs that keep all rules are removed.").Default(os.TempDir()).StringVar(&o.directory)
	app.Flag("seed", "Seed of the first run; further runs use the numbers after it.").Default("1").Uint64Var(&o.firstSeed)
	app.Flag("runs", "Number of runs.").Default("1").IntVar(&o.runs)
	app.Flag("parallel", "Number of runs at the same time.").Default("1").IntVar(&o.parallel)
	app.Flag("members", "Number of core members.").Default("3").IntVar(&o.members)
	app.Flag("duration", "Time in which faults happen, in each run.").Default("40s").DurationVar(&o.duration)
	app.Flag("fault", "Kind of fault; may be repeated. Default: all kinds.").EnumsVar(&o.kinds, kinds...)
	app.Flag("relays", "Put relays between the members. Without them there are no faults of links; releases without the setting self.bindIp need that.").Default("true").BoolVar(&o.relays)
	app.Flag("verbose", "Keep all log messages of the members; old releases lack the flag.").Default("true").BoolVar(&o.verbose)
	app.Flag("locks", "Number of locks.").Default("10").IntVar(&o.locks)
	app.Flag("callers", "Number of callers.").Default("30").IntVar(&o.callers)
	app.Flag("json", "Print reports as JSON, one per line.").BoolVar(&o.json)
	kingpin.MustParse(app.Parse(args))
	if o.members < minMembers || o.members > maxMembers || o.parallel < 1 || o.parallel > maxParallel || o.runs < 1 || o.locks < 1 || o.callers < 1 {
		app.Fatalf("a number is out of range: %d to %d members, 1 to %d parallel runs, 1 or more of the others", minMembers, maxMembers, maxParallel)
	}
	if len(o.kinds) == 0 {
		o.kinds = kinds
	}
	o.kinds = slices.DeleteFunc(o.kinds, func(kind string) bool { return !o.relays && soak.FaultKind(kind).NeedsRelays() })
	if len(o.kinds) == 0 {
		app.Fatalf("the faults of links need relays")
	}
	return o
}

func main() {
	o := parseOptions(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := runAll(ctx, o)
	stop()
	os.Exit(code)
}

// runAll carries out all runs and returns the exit code.
func runAll(ctx context.Context, o options) int {
	var (
		mu   sync.Mutex
		wg   sync.WaitGroup
		code int
	)
	slots := make(chan struct{}, o.parallel)
	for i := range o.runs {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-slots }()
			report, err := runOne(ctx, o, o.firstSeed+uint64(i))
			mu.Lock()
			defer mu.Unlock()
			code = max(code, printResult(o, report, err))
		})
	}
	wg.Wait()
	return code
}

// runOne carries out one run in a directory of its own.
func runOne(ctx context.Context, o options, seed uint64) (soak.Report, error) {
	directory, err := os.MkdirTemp(o.directory, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return soak.Report{}, err
	}
	binary, err := filepath.Abs(o.binary)
	if err != nil {
		return soak.Report{}, err
	}
	var kinds []soak.FaultKind
	for _, kind := range o.kinds {
		kinds = append(kinds, soak.FaultKind(kind))
	}
	report, err := soak.Run(ctx, soak.Options{
		Binary: binary, Directory: directory, Seed: seed, Members: o.members, Faults: o.duration, Kinds: kinds, Relays: o.relays, Verbose: o.verbose,
		Locks: o.locks, Numbers: numberCount, Keys: keyCount, Callers: o.callers,
	})
	if err != nil {
		return report, err
	}
	if len(report.Violations) > 0 {
		return report, report.SaveHistory()
	}
	return report, os.RemoveAll(directory)
}

// printResult prints the result of a run and returns the exit code that it calls for.
func printResult(o options, report soak.Report, err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak: run failed:", err)
		return exitFailure
	}
	if o.json {
		// A report is always encodable.
		data, _ := json.Marshal(report)
		fmt.Println(string(data))
	} else {
		fmt.Print(describe(o, report))
	}
	if len(report.Violations) > 0 {
		return exitViolations
	}
	return 0
}

// describe returns the report as text.
func describe(o options, report soak.Report) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults, %d of %d attempts succeeded, %d violations\n", report.Seed, len(report.Events), report.Succeeded, report.Attempts, len(report.Violations))
	for _, v := range report.Violations {
		fmt.Fprintf(&b, "  %s: %s\n", v.Rule, v.Description)
		for _, a := range v.Attempts {
			fmt.Fprintf(&b, "    %s\n", a)
		}
	}
	if len(report.Violations) > 0 {
		fmt.Fprintf(&b, "  files: %s\n  again: soak --corkcove %s --seed %d --members %d --duration %s %s --fault %s\n", report.Directory, o.binary,
			report.Seed, o.members, o.duration, relaysFlag(o.relays), strings.Join(o.kinds, " --fault "))
	}
	return b.String()
}

func relaysFlag(relays bool) string {
	if relays {
		return "--relays"
	}
	return "--no-relays"
}
