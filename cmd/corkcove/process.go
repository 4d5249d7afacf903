package main

import (
	"io"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"corkcove/internal/changetrace"
	"corkcove/internal/logring"
	"corkcove/internal/settings"
)

// The roles of a process, as the settings and the nodes' answers name them.
const (
	roleSidecar = "sidecar"
	roleCore    = "core"
	roleEdge    = "edge"
)

const (
	// logEntries is how many log entries are kept until something goes wrong and
	// they are written out.
	logEntries = 256
	// logFlushInterval is the least time between two writings of them.
	logFlushInterval = 5 * time.Second
	// traceEvents is how many steps of changes each process remembers.
	traceEvents = 1024
	// seedReloadInterval is how often the seeds are read anew while the process
	// has not found the core.
	seedReloadInterval = 2 * time.Second
)

// process is what each role has: settings, log, trace and clock. It is made
// before any goroutine of the role starts; after that only the goroutine of
// waitForStop changes options.
type process struct {
	settingsFile string
	role         string
	options      settings.Options
	ring         *logring.Ring
	traceRing    *changetrace.Ring
	startedAt    time.Time
}

// runRole loads the settings of a role and runs it until it ends.
func runRole(role string, global *globalOptions, run func(*process) error) error {
	// The machine runs other processes too: one processor is all that this may take.
	runtime.GOMAXPROCS(1)
	p, err := newProcess(role, global)
	if err != nil {
		return &roleError{role, err}
	}
	p.limitMemory()
	log.SetOutput(io.Discard)
	klog.LogToStderr(true)
	if err := run(p); err != nil {
		p.ring.Flush("corkcove " + role + " ends: " + err.Error())
		return &roleError{role, err}
	}
	return nil
}

func newProcess(role string, global *globalOptions) (*process, error) {
	file := global.settingsFile
	if file == "" {
		file = settings.Path()
	}
	options, err := settings.Load(file, role)
	if err != nil {
		return nil, err
	}
	var observer func(logring.Entry)
	if global.verbose {
		observer = logring.WriteNow
	}
	return &process{settingsFile: file, role: role, options: options, ring: logring.New(logEntries, logFlushInterval, observer),
		traceRing: changetrace.NewRing(traceEvents), startedAt: time.Now()}, nil
}

// limitMemory makes the collector work harder from 60% of the memory that the
// settings allow, which leaves room for what it doesn't count.
func (p *process) limitMemory() {
	if megabytes := p.options.Self.Limits.MemoryMB; megabytes > 0 {
		debug.SetMemoryLimit(megabytes << 20 * 6 / 10)
	}
}

// now is the time since the process was started.
func (p *process) now() time.Duration { return time.Since(p.startedAt) }

// log returns the logger of a component.
func (p *process) log(component string) logring.Logger { return p.ring.Logger(component) }

// trace remembers a step of a change for the trace command.
func (p *process) trace(kind, action string, epoch, version uint64) {
	p.traceRing.Add(changetrace.Event{Time: time.Now(), Action: action, Kind: kind, Version: version, Epoch: epoch})
	p.log("trace").Info("change progressed", "kind", kind, "version", version, "step", action, "epoch", epoch)
}

// reloadSettings reads the settings file anew; a wrong one leaves the old
// settings in force.
func (p *process) reloadSettings() {
	options, err := settings.Load(p.settingsFile, p.role)
	if err != nil {
		p.log("settings").Warn("failed to reload settings", "error", err)
		p.ring.Flush("settings not reloaded")
		return
	}
	p.options.Network.Seeds = options.Network.Seeds
	p.log("settings").Info("reloaded settings")
}

// reloadSeeds reads the settings, which may change without a signal, anew as
// long as this process looks for the core, and hands them to use. It doesn't
// return.
func (p *process) reloadSeeds(searching func() bool, use func(settings.Options)) {
	for range time.Tick(seedReloadInterval) {
		if !searching() {
			continue
		}
		if options, err := settings.Load(p.settingsFile, p.role); err == nil {
			use(options)
		}
	}
}

// waitForStop returns at SIGTERM or SIGINT; SIGHUP reloads the settings.
func (p *process) waitForStop() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for s := range signals {
		if s != syscall.SIGHUP {
			return
		}
		p.reloadSettings()
	}
}
