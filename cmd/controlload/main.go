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

// loadOptions are the command's flags.
type loadOptions struct {
	// binary is the corkcove program whose cores are started.
	binary string
	// directory gets a fresh folder for each size.
	directory string
	cores     int
	nodes     []int
	services  int
	routes    int
	// seconds is how long each measured stretch lasts.
	seconds int
}

// Bounds of the flags.
const (
	minCores, maxCores     = 3, 15
	minNodes, maxNodes     = 10, 4000
	minSeconds, maxSeconds = 2, 60
)

func (o loadOptions) valid() bool {
	return o.cores >= minCores && o.cores <= maxCores && o.seconds >= minSeconds && o.seconds <= maxSeconds &&
		o.services >= 1 && o.routes >= 1 && slices.Max(o.nodes) <= maxNodes && slices.Min(o.nodes) >= minNodes
}

func parseOptions(args []string) loadOptions {
	var o loadOptions
	app := kingpin.New("controlload", "Measures the control plane with hollow (simulated) nodes on loopback; one JSON object for each size.")
	app.Flag("corkcove", "The program whose cores are started.").Default("target/corkcove").StringVar(&o.binary)
	app.Flag("dir", "Where cores keep their settings, logs and data; a fresh folder in it is used.").Default(os.TempDir()).StringVar(&o.directory)
	app.Flag("cores", "How many core processes (3 to 15).").Default("9").IntVar(&o.cores)
	app.Flag("nodes", "How many nodes (10 to 4000); may be repeated.").Default("250", "1000", "2000").IntsVar(&o.nodes)
	app.Flag("services", "How many services.").Default("140").IntVar(&o.services)
	app.Flag("routes", "How many routes.").Default("300").IntVar(&o.routes)
	app.Flag("seconds", "How long a quiet stretch is (2 to 60).").Default("15").IntVar(&o.seconds)
	kingpin.MustParse(app.Parse(args))
	return o
}

func main() {
	options := parseOptions(os.Args[1:])
	if !options.valid() {
		fmt.Fprintln(os.Stderr, "controlload: a number is out of range; see --help")
		os.Exit(1)
	}
	raiseOpenFileLimit()
	failed := false
	for _, nodes := range options.nodes {
		if err := measureSize(options, nodes); err != nil {
			failed = true
			fmt.Fprintf(os.Stderr, "controlload: %d nodes: %v\n", nodes, err)
		}
		runtime.GC()
	}
	if failed {
		os.Exit(1)
	}
}

// raiseOpenFileLimit allows a connection from and to each node. A limit that
// can't be raised shows as an error of the nodes' listeners.
func raiseOpenFileLimit() {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		limit.Cur = limit.Max
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	}
}

// measureSize plays the scenario with one number of nodes and prints the report,
// also after an error: then of what was measured before it.
func measureSize(options loadOptions, nodes int) error {
	report := &loadReport{Nodes: nodes, Cores: options.cores, Services: options.services, Routes: options.routes}
	playErr := playScenario(report, options)
	line, err := json.Marshal(report)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return playErr
}

func playScenario(report *loadReport, options loadOptions) error {
	directory, err := os.MkdirTemp(options.directory, "controlload-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	mesh := newLoadMesh(options.services)
	defer mesh.close()
	if err := mesh.startCores(options.binary, directory, options.cores); err != nil {
		return err
	}
	s := scenario{mesh: mesh, report: report, seconds: options.seconds}
	return s.play()
}
