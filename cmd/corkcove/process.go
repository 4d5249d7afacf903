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

// The roles of a process, as named in the settings and in the responses of nodes.
const (
	roleSidecar = "sidecar"
	roleCore    = "core"
	roleEdge    = "edge"
)

const (
	// logCapacity is the number of log entries that are kept in memory. They are
	// written out only when an error occurs.
	logCapacity = 256
	// logFlushInterval is the minimum time between two flushes of these entries.
	logFlushInterval = 5 * time.Second
	// traceCapacity is the number of trace events that each process keeps.
	traceCapacity = 1024
	// seedReloadInterval is the interval at which the seeds are reloaded while the process
	// has not found the core.
	seedReloadInterval = 2 * time.Second
)

// process holds what all roles need: settings, log, trace and clock. It is created
// before the role starts any goroutine. Afterwards, only the goroutine that runs
// waitForStop modifies options.
type process struct {
	settingsFile string
	role         string
	options      settings.Options
	logRing      *logring.Ring
	traceRing    *changetrace.Ring
	startedAt    time.Time
	// signals receives the signals to this process; see waitForStop.
	signals signalChannels
}

// signalChannels holds a channel for each reaction to a signal. Each holds one signal:
// further ones of its kind, while that one waits, ask for the same.
type signalChannels struct {
	// stop receives SIGTERM and SIGINT.
	stop chan os.Signal
	// reload receives SIGHUP.
	reload chan os.Signal
}

// catchSignals keeps signals from ending the process, and returns the channels that
// receive them.
func catchSignals() signalChannels {
	signals := signalChannels{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(signals.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(signals.reload, syscall.SIGHUP)
	return signals
}

// runRole loads the settings of a role and runs the role until it exits.
func runRole(role string, global *globalOptions, run func(*process) error) error {
	// Other processes share the machine, so this one uses a single processor.
	runtime.GOMAXPROCS(1)
	p, err := newProcess(role, global)
	if err != nil {
		return &roleError{role, err}
	}
	p.limitMemory()
	log.SetOutput(io.Discard)
	klog.LogToStderr(true)
	if err := run(p); err != nil {
		p.logRing.Flush("corkcove " + role + " ends: " + err.Error())
		return &roleError{role, err}
	}
	return nil
}

// newProcess loads the settings, from the default path if the command line names
// none, and creates the log and the trace. It catches signals first, because SIGHUP
// would end the process and may come while it starts.
func newProcess(role string, global *globalOptions) (*process, error) {
	signals := catchSignals()
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
	return &process{settingsFile: file, role: role, options: options, logRing: logring.New(logCapacity, logFlushInterval, observer),
		traceRing: changetrace.NewRing(traceCapacity), startedAt: time.Now(), signals: signals}, nil
}

// limitMemory sets the Go runtime's soft memory limit to 60% of the memory that the
// settings allow. The rest is headroom for memory that the limit does not count.
func (p *process) limitMemory() {
	if megabytes := p.options.Self.Limits.MemoryMB; megabytes > 0 {
		debug.SetMemoryLimit(megabytes << 20 * 6 / 10)
	}
}

// now returns the time since the process started.
func (p *process) now() time.Duration { return time.Since(p.startedAt) }

// log returns the logger for a component.
func (p *process) log(component string) logring.Logger { return p.logRing.Logger(component) }

// trace records a step of a change, for the trace command, and logs it.
func (p *process) trace(kind, action string, epoch, version uint64) {
	p.traceRing.Add(changetrace.Event{Time: time.Now(), Action: action, Kind: kind, Version: version, Epoch: epoch})
	p.log("trace").Info("change progressed", "kind", kind, "version", version, "step", action, "epoch", epoch)
}

// reloadSettings reloads the settings file and stores its seeds in options. Changes
// of other settings need a restart. If the file is invalid, the current settings
// remain in effect.
func (p *process) reloadSettings() {
	options, err := settings.Load(p.settingsFile, p.role)
	if err != nil {
		p.log("settings").Warn("failed to reload settings", "error", err)
		p.logRing.Flush("settings not reloaded")
		return
	}
	p.options.Network.Seeds = options.Network.Seeds
	p.log("settings").Info("reloaded settings")
}

// reloadSeeds reloads the settings periodically while searching reports that this
// process has not found the core, and passes them to apply. The file may change
// without a SIGHUP. It never returns.
func (p *process) reloadSeeds(searching func() bool, apply func(settings.Options)) {
	for range time.Tick(seedReloadInterval) {
		if !searching() {
			continue
		}
		if options, err := settings.Load(p.settingsFile, p.role); err == nil {
			apply(options)
		}
	}
}

// waitForStop blocks until SIGTERM or SIGINT. SIGHUP reloads the settings.
func (p *process) waitForStop() {
	for {
		select {
		case <-p.signals.stop:
			return
		case <-p.signals.reload:
			p.reloadSettings()
		}
	}
}
