package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"slices"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// options holds the values of the command-line flags.
type options struct {
	// binary is the path of the corkcove executable that runs the cores.
	binary string
	// directory is where a temporary directory is created for each number of nodes.
	directory string
	cores     int
	// nodes holds the numbers of nodes that are measured, one after the other.
	nodes    []int
	services int
	routes   int
	// phaseSeconds is the duration of the idle phase and of the churn phase.
	phaseSeconds int
}

// Accepted ranges of the flags, inclusive.
const (
	minCores, maxCores     = 3, 15
	minNodes, maxNodes     = 10, 4000
	minSeconds, maxSeconds = 2, 60
)

// inRange reports whether all numeric flags are within their accepted ranges.
func (o options) inRange() bool {
	return o.cores >= minCores && o.cores <= maxCores && o.phaseSeconds >= minSeconds && o.phaseSeconds <= maxSeconds &&
		o.services >= 1 && o.routes >= 1 && slices.Max(o.nodes) <= maxNodes && slices.Min(o.nodes) >= minNodes
}

// parseOptions parses the command line. It ends the process if a flag is invalid.
func parseOptions(args []string) options {
	var o options
	app := kingpin.New("controlload", "Measures the control plane with simulated nodes on loopback addresses and prints one JSON object for each number of nodes.")
	app.Flag("corkcove", "Path of the corkcove executable that runs the cores.").Default("target/corkcove").StringVar(&o.binary)
	app.Flag("dir", "Parent of the temporary directories for the settings, logs and data of the cores.").Default(os.TempDir()).StringVar(&o.directory)
	app.Flag("cores", "Number of core processes (3 to 15).").Default("9").IntVar(&o.cores)
	app.Flag("nodes", "Number of nodes (10 to 4000); may be repeated.").Default("250", "1000", "2000").IntsVar(&o.nodes)
	app.Flag("services", "Number of services.").Default("140").IntVar(&o.services)
	app.Flag("routes", "Number of routes.").Default("300").IntVar(&o.routes)
	app.Flag("seconds", "Duration of the idle phase and of the churn phase, in seconds (2 to 60).").Default("15").IntVar(&o.phaseSeconds)
	kingpin.MustParse(app.Parse(args))
	return o
}

func main() {
	opts := parseOptions(os.Args[1:])
	if !opts.inRange() {
		fmt.Fprintln(os.Stderr, "controlload: a numeric flag is out of range; see --help")
		os.Exit(1)
	}
	raiseOpenFileLimit()
	failed := false
	for _, nodes := range opts.nodes {
		if err := measureSize(opts, nodes); err != nil {
			failed = true
			fmt.Fprintf(os.Stderr, "controlload: %d nodes: %v\n", nodes, err)
		}
		runtime.GC()
	}
	if failed {
		os.Exit(1)
	}
}

// raiseOpenFileLimit raises the soft limit on open files to the hard limit, as each
// node needs connections in both directions. Errors are ignored: a limit that is
// too low makes the listeners of the nodes fail.
func raiseOpenFileLimit() {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		limit.Cur = limit.Max
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	}
}

// measureSize runs the scenario with one number of nodes and prints the report. If
// the scenario fails, the report holds what was measured before the error.
func measureSize(opts options, nodes int) error {
	report := &loadReport{Nodes: nodes, Cores: opts.cores, Services: opts.services, Routes: opts.routes}
	scenarioErr := runScenario(report, opts)
	line, err := json.Marshal(report)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return scenarioErr
}

// runScenario starts the cores in a temporary directory, runs the scenario and removes
// the directory again.
func runScenario(report *loadReport, opts options) error {
	directory, err := os.MkdirTemp(opts.directory, "controlload-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	mesh := newLoadMesh(opts.services)
	defer mesh.close()
	if err := mesh.startCores(opts.binary, directory, opts.cores); err != nil {
		return err
	}
	s := scenario{mesh: mesh, report: report, phaseSeconds: opts.phaseSeconds}
	return s.run()
}
