package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"k8s.io/klog/v2"

	"corkcove/internal/changetrace"
	"corkcove/internal/loadestimate"
	"corkcove/internal/logring"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
)

var version = "0.1.0"

func main() {
	app := kingpin.New("corkcove", "A service mesh and API gateway: sidecars or edges carry the traffic, core nodes keep the control state.")
	app.HelpFlag.Short('h')
	file := app.Flag("settings", "Settings file; default: the file named in "+settings.PathVariable+".").String()
	chatty := app.Flag("chatty", "Write each log line out as it comes, not only on trouble.").Bool()
	side := app.Command("sidecar", "Carry the traffic of the endpoint on this machine.")
	core := app.Command("core", "Keep nodes, endpoints, configuration, locks, numbers and keys.")
	edge := app.Command("edge", "Carry the traffic of clients to the endpoints that the platform lists.")
	check := app.Command("check", "Check a settings file, or with --config a configuration; exit code 1 if it is wrong.")
	checkRole := check.Flag("role", "Role whose settings are checked.").Default("sidecar").Enum("sidecar", "core", "edge")
	checkConf := check.Flag("config", "The file is an operator's configuration.").Bool()
	checkFile := check.Arg("file", "The file.").Required().String()
	ver := app.Command("version", "Print the version.")
	cores := app.Flag("core", "Inner address of a core node, for the tools; may be repeated. Default: the seeds in the settings file.").Strings()
	asJSON := app.Flag("json", "Tools print JSON.").Bool()
	status := app.Command("status", "Show the core, the view, and each node's state and why.")
	tr := app.Command("trace", "Follow one change through all nodes: r12, view:9, key:group.name or pin:SESSION.")
	trWhat := tr.Arg("change", "The change.").Required().String()
	st := app.Command("state", "User states of nodes.").Command("set", "Cap a node's state; kept over restarts and takeovers.")
	stNode := st.Arg("node", "The node's name.").Required().String()
	stState := st.Arg("state", "up, maintenance, retired or down.").Required().String()
	sess := app.Command("sessions", "Show open sessions, which instance each is pinned to, and which moved and why.")
	sessSince := sess.Flag("since", "Only moves under this configuration or later, such as r12.").String()
	keys := app.Command("keys", "Show the keys that draw a crowd: over how many endpoints their reads go, since when and why.")
	rp := app.Command("replay", "Play carried traffic again under other rules before they are pushed.")
	rps := rp.Command("save", "Take what all nodes remember into a file.")
	rpsFile := rps.Arg("file", "The file.").Required().String()
	rpsSpan := rps.Flag("span", "How far back.").Default("60s").Duration()
	rpsMost := rps.Flag("parallel", "How many nodes are asked at once.").Default("16").Int()
	rpr := rp.Command("run", "Play a saved file under the old rules and under the new; exit code 1 if requests would be sent twice, dropped or left waiting.")
	var ro replayOpts
	rpr.Arg("file", "A file of replay save.").Required().StringVar(&ro.file)
	rpr.Flag("config", "The new configuration, whole, as JSON.").StringVar(&ro.config)
	rpr.Flag("options", "A settings file with the new termTable.boundSet.retryRatio, retrySlack and retryWindowS.").StringVar(&ro.opts)
	rpr.Flag("seed", "Where chance begins.").Default("1").Uint64Var(&ro.seed)
	rpr.Flag("most", "How many requests and moves are listed.").Default("40").IntVar(&ro.most)
	rpr.Flag("off", "Share of the record that the old rules may fail to give back.").Default("0.02").Float64Var(&ro.bars.MaxMismatch)
	rpr.Flag("coverage", "Share of what the nodes carried that the record must have.").Default("0.9").Float64Var(&ro.bars.MinCoverage)
	rpr.Flag("by-node", "Tell flows apart by the node where they begin, not its zone.").BoolVar(&ro.bars.ByNode)
	rpr.Flag("watch", "Flag the requests of this route too; may be repeated.").StringsVar(&ro.bars.WatchedRoutes)
	rpr.Flag("settle", "How much of the record's beginning is not counted in the flows.").Default("0s").DurationVar(&ro.bars.WarmUp)
	rpr.Flag("save", "Keep the forecast in a file for compare.").StringVar(&ro.save)
	rpc := rp.Command("compare", "Hold a kept forecast against a record taken once the change is live; exit code 1 if a flow is not as foretold.")
	var rc compareOpts
	rpc.Arg("forecast", "A file of replay run --save.").Required().StringVar(&rc.forecast)
	rpc.Arg("file", "A file of replay save, taken since.").Required().StringVar(&rc.file)
	rpc.Flag("miss", "Chance that a right forecast is called wrong.").Default("0.01").Float64Var(&rc.bars.FalseAlarmRate)
	rpc.Flag("slack", "What a share may be off beyond chance.").Default("0.03").Float64Var(&rc.bars.Tolerance)
	rpc.Flag("least", "How many requests a flow needs on both sides.").Default("30").IntVar(&rc.bars.MinRequests)
	rpc.Flag("settle", "How long after a node took the change its requests begin to count.").Default("1s").DurationVar(&rc.bars.WarmUp)
	rpc.Flag("coverage", "Share of what the nodes carried that the record must have.").Default("0.9").Float64Var(&rc.bars.MinCoverage)
	rpc.Flag("any", "Compare even if another proposal than the one foretold is in force.").BoolVar(&rc.bars.AnyConfig)
	rpc.Flag("most", "How many lines of each sort are shown.").Default("40").IntVar(&rc.most)
	rpr.Flag("route", "List only this route.").StringVar(&ro.filter.Route)
	rpr.Flag("kind", "List only this kind.").EnumVar(&ro.filter.Kind, "", "pure", "effectful", "upload", "download")
	rpr.Flag("node", "List only requests that began at this node.").StringVar(&ro.filter.Node)
	rpr.Flag("verdict", "List only this verdict.").StringVar(&ro.filter.Verdict)
	est := app.Command("estimate", "Tell which requests would go to another endpoint before one is added or retired.")
	ret := est.Command("retire", "Estimate the retirement of a node or endpoint.")
	retWho := ret.Arg("node", "The node's name or the endpoint's id.").Required().String()
	retSave := ret.Flag("save", "Keep the estimate in a file for check.").String()
	add := est.Command("add", "Estimate the addition of an endpoint.")
	addSvc := add.Arg("service", "Its service.").Required().String()
	addZone := add.Arg("site", "Its site.").Required().String()
	addSlots := add.Arg("slots", "Its slots.").Required().Uint32()
	addSave := add.Flag("save", "Keep the estimate in a file for check.").String()
	chk := est.Command("check", "Hold a kept estimate against the flows of the last seconds.")
	chkFile := chk.Arg("file", "The kept estimate.").Required().String()
	chkIn := chk.Flag("within", "Share of requests that may have gone elsewhere than foretold.").Default("0.1").Float64()

	cmd := kingpin.MustParse(app.Parse(os.Args[1:]))
	switch cmd {
	case side.FullCommand():
		run("sidecar", *file, *chatty, runSidecar)
	case core.FullCommand():
		run("core", *file, *chatty, runCore)
	case edge.FullCommand():
		run("edge", *file, *chatty, runEdge)
	case check.FullCommand():
		if err := checkOne(*checkFile, *checkRole, *checkConf); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println("ok")
	case ver.FullCommand():
		fmt.Println("corkcove", version, runtime.Version())
	case rpr.FullCommand():
		ro.json = *asJSON
		if err := runReplay(ro); err != nil {
			fmt.Fprintln(os.Stderr, "corkcove: "+err.Error())
			os.Exit(1)
		}
	case rpc.FullCommand():
		rc.json = *asJSON
		if err := compareReplay(rc); err != nil {
			fmt.Fprintln(os.Stderr, "corkcove: "+err.Error())
			os.Exit(1)
		}
	default:
		t, err := newTool(*file, *cores, *asJSON)
		if err == nil {
			switch cmd {
			case status.FullCommand():
				err = t.runStatus()
			case tr.FullCommand():
				err = t.trace(*trWhat)
			case st.FullCommand():
				err = t.setState(*stNode, *stState)
			case rps.FullCommand():
				err = t.saveReplay(*rpsFile, *rpsSpan, *rpsMost)
			case keys.FullCommand():
				err = t.keys()
			case sess.FullCommand():
				err = t.sessions(*sessSince)
			case ret.FullCommand():
				err = t.estimate(loadestimate.Change{Retire: *retWho}, *retSave)
			case add.FullCommand():
				err = t.estimate(loadestimate.Change{Add: &meshpb.Endpoint{Id: "to-be-added", Service: *addSvc, Zone: *addZone, Slots: *addSlots, State: "up", Node: "to-be-added"}}, *addSave)
			case chk.FullCommand():
				err = t.checkEstimate(*chkFile, *chkIn)
			}
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "corkcove: "+err.Error())
			os.Exit(1)
		}
	}
}

func checkOne(file, role string, conf bool) error {
	if !conf {
		_, err := settings.Load(file, role)
		return err
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	_, err = routeconfig.Parse(b)
	return err
}

type process struct {
	path  string
	role  string
	o     settings.Options
	ring  *logring.Ring
	steps *changetrace.Ring
	t0    time.Time
}

func (p *process) now() time.Duration { return time.Since(p.t0) }

// log returns the logger of a component.
func (p *process) log(component string) logring.Logger { return p.ring.Logger(component) }

// reload takes the settings file again; a bad one leaves the old in force.
func (p *process) reload() {
	o, err := settings.Load(p.path, p.role)
	if err != nil {
		p.log("settings").Warn("failed to reload settings", "error", err)
		p.ring.Flush("settings not reloaded")
		return
	}
	p.o.Network.Seeds = o.Network.Seeds
	p.log("settings").Info("reloaded settings")
}

const reseedEach = 2 * time.Second

// reseed reads the settings again, which may change without a signal, while this
// process looks for the core.
func (p *process) reseed(lost func() bool, set func(settings.Options)) {
	for range time.Tick(reseedEach) {
		if !lost() {
			continue
		}
		if o, err := settings.Load(p.path, p.role); err == nil {
			set(o)
		}
	}
}

// wait returns at SIGTERM or SIGINT; SIGHUP takes the settings again.
func (p *process) wait() {
	sig := make(chan os.Signal, 4)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for s := range sig {
		if s != syscall.SIGHUP {
			return
		}
		p.reload()
	}
}

func run(role, file string, chatty bool, f func(*process) error) {
	runtime.GOMAXPROCS(1)
	if file == "" {
		file = settings.Path()
	}
	o, err := settings.Load(file, role)
	if err != nil {
		fmt.Fprintln(os.Stderr, "corkcove "+role+": "+err.Error())
		os.Exit(1)
	}
	if m := o.Self.Limits.MemoryMB; m > 0 {
		debug.SetMemoryLimit(m << 20 * 6 / 10)
	}
	log.SetOutput(io.Discard)
	klog.LogToStderr(true)
	var observer func(logring.Entry)
	if chatty {
		observer = logring.WriteNow
	}
	p := &process{path: file, role: role, o: o, ring: logring.New(256, 5*time.Second, observer), steps: changetrace.NewRing(1024), t0: time.Now()}
	if err := f(p); err != nil {
		p.ring.Flush("corkcove " + role + " ends: " + err.Error())
		fmt.Fprintln(os.Stderr, "corkcove "+role+": "+err.Error())
		os.Exit(1)
	}
}
