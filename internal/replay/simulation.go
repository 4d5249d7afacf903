package replay

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"corkcove/internal/affinity"
	"corkcove/internal/coordination"
	"corkcove/internal/hotkeys"
	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/proxy/retry"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const (
	// assumedUptime is how long nodes have been up when the recording begins, so
	// that their retry budgets are fully grown.
	assumedUptime = time.Hour
	// sessionLifetime is how long a node keeps a session without asking again: no
	// session ends within a recording.
	sessionLifetime = time.Hour
	// maxSimulatedSessions bounds the sessions of one node; a recording has fewer.
	maxSimulatedSessions = 1 << 20
	// pinHistory is how long the table of pins remembers applied changes.
	pinHistory = time.Minute
	// slowStart is how long a new endpoint gets a growing share of requests.
	slowStart = 2 * time.Second
	// afterAnyRequestUs is later than any recorded time.
	afterAnyRequestUs = int64(1) << 62
)

// viewID identifies a view.
type viewID struct{ epoch, version uint64 }

// simulation plays a recording in virtual time under one scenario.
type simulation struct {
	eventQueue
	recording *meshpb.ReplayFile
	scenario  Scenario
	startUs   int64
	model     *trafficModel
	nodes     []*simulatedNode
	// pins is the control state's table of sessions.
	pins *coordination.Table
	// recordedRoutes are the recorded configurations by version.
	recordedRoutes map[uint64]*routeconfig.Table
	// proposedRoutes is nil if the scenario has no configuration.
	proposedRoutes *routeconfig.Table
	hotKeys        hotKeyState
	results        map[*meshpb.RequestRecord]*Result
}

// simulatedNode is one node with the components that decide for its requests.
type simulatedNode struct {
	recorded *meshpb.RequestRecordsResponse
	balancer *loadbalancer.Balancer
	budget   *retry.Budget
	sessions *affinity.Sessions
	routes   *routeconfig.Table
	view     *meshpb.View
	keyMeter *hotkeys.Meter
}

// simulate plays the recording under the scenario to its end.
func simulate(recording *meshpb.ReplayFile, scenario Scenario) (*simulation, error) {
	s, err := newSimulation(recording, scenario)
	if err != nil {
		return nil, err
	}
	s.restoreSessions()
	s.run()
	return s, nil
}

func newSimulation(recording *meshpb.ReplayFile, scenario Scenario) (*simulation, error) {
	s := &simulation{
		recording: recording,
		scenario:  scenario,
		startUs:   firstRequestUs(recording),
		pins:      coordination.NewTable(pinHistory),
		results:   map[*meshpb.RequestRecord]*Result{},
	}
	var err error
	if s.model, err = newTrafficModel(recording); err != nil {
		return nil, err
	}
	if s.recordedRoutes, err = compileConfigs(recording.Configs); err != nil {
		return nil, err
	}
	if scenario.Config != nil {
		s.proposedRoutes = routeconfig.Compile(*scenario.Config)
	}
	s.nowUs = s.startUs
	views := viewsByID(recording.Views)
	for _, recorded := range recording.Nodes {
		n := s.newNode(recorded)
		s.scheduleViews(n, views)
		s.scheduleConfigs(n)
		s.nodes = append(s.nodes, n)
	}
	return s, nil
}

// firstRequestUs is when the recording's first request began.
func firstRequestUs(recording *meshpb.ReplayFile) int64 {
	first := afterAnyRequestUs
	for _, node := range recording.Nodes {
		for _, record := range node.Records {
			first = min(first, record.AtUs)
		}
	}
	return first
}

func viewsByID(views []*meshpb.View) map[viewID]*meshpb.View {
	out := map[viewID]*meshpb.View{}
	for _, view := range views {
		out[viewID{view.Epoch, view.Version}] = view
	}
	return out
}

// parseSnapshot unpacks a recorded configuration.
func parseSnapshot(snapshot *meshpb.ConfigSnapshot) (routeconfig.Config, error) {
	b, err := rpc.Decompress(snapshot.Packed)
	if err != nil {
		return routeconfig.Config{}, err
	}
	return routeconfig.Parse(b)
}

func compileConfigs(snapshots []*meshpb.ConfigSnapshot) (map[uint64]*routeconfig.Table, error) {
	out := map[uint64]*routeconfig.Table{}
	for _, snapshot := range snapshots {
		config, err := parseSnapshot(snapshot)
		if err != nil {
			return nil, err
		}
		out[snapshot.Version] = routeconfig.Compile(config)
	}
	return out, nil
}

// now is the virtual time as live components read it.
func (s *simulation) now() time.Time { return time.UnixMicro(s.nowUs) }

// uptime is the virtual time since the nodes are taken to have started.
func (s *simulation) uptime() time.Duration {
	return microseconds(s.nowUs-s.startUs) + assumedUptime
}

func (s *simulation) newNode(recorded *meshpb.RequestRecordsResponse) *simulatedNode {
	n := &simulatedNode{recorded: recorded, routes: s.proposedRoutes, keyMeter: hotkeys.NewMeter(s.now)}
	n.balancer = s.newBalancer(recorded)
	n.budget = s.newBudget(n)
	n.sessions = affinity.New(affinity.Options{
		Now:             s.now,
		ConfigVersion:   n.configVersion,
		RefreshInterval: sessionLifetime,
		IdleTimeout:     sessionLifetime,
		MaxSessions:     maxSimulatedSessions,
		Pin:             s.pinSession,
	})
	return n
}

func (s *simulation) newBalancer(recorded *meshpb.RequestRecordsResponse) *loadbalancer.Balancer {
	b := loadbalancer.New(recorded.Zone, recorded.RemoteWeight, recorded.BulkWeight).
		PreferSubset(recorded.Node, int(recorded.PreferredEndpoints)).
		SlowStart(slowStart)
	if recorded.Role == "sidecar" {
		b.SetLocalNode(recorded.Node)
	}
	random := s.newRandom(recorded.Node)
	b.SetRandomAndClock(random.Float64, func() int64 { return s.nowUs * int64(time.Microsecond) })
	return b
}

// newRandom returns a source of its own for what is named, so that a change for
// one node or request does not shift what others draw.
func (s *simulation) newRandom(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(s.scenario.Seed, h.Sum64()))
}

func (s *simulation) newBudget(n *simulatedNode) *retry.Budget {
	window := time.Duration(n.recorded.WindowS * float64(time.Second))
	settings := RetrySettings{Ratio: n.recorded.Ratio, Slack: n.recorded.Slack, Window: window}
	if s.scenario.Retries != nil {
		settings = *s.scenario.Retries
	}
	return retry.NewBudget(settings.Ratio, settings.Slack, settings.Window, n.balancer.NodeCount, s.uptime)
}

func (n *simulatedNode) configVersion() uint64 {
	if n.routes == nil {
		return 0
	}
	return n.routes.Version
}

// pinSession answers a node's question about a session as the control state does.
func (s *simulation) pinSession(_ context.Context, request *meshpb.PinRequest) (*meshpb.PinResponse, error) {
	decision := s.pins.PinSession(request, s.uptime())
	if decision.Change != nil {
		s.pins.Apply(decision.Change, s.uptime())
	}
	return decision.Result.Response(), nil
}

// scheduleViews brings the recorded views into force at the node, the first one
// at once.
func (s *simulation) scheduleViews(n *simulatedNode, views map[viewID]*meshpb.View) {
	for i, recorded := range n.recorded.Views {
		view := views[viewID{recorded.Epoch, recorded.Version}]
		switch {
		case view == nil:
		case i == 0:
			s.applyView(n, view)
		default:
			s.schedule(recorded.AtUs, func() { s.applyView(n, view) })
		}
	}
}

// scheduleConfigs brings the recorded configurations into force at the node, the
// first one at once, unless a proposal is in force.
func (s *simulation) scheduleConfigs(n *simulatedNode) {
	if s.proposedRoutes != nil {
		return
	}
	for i, recorded := range n.recorded.Configs {
		routes := s.recordedRoutes[recorded.Version]
		switch {
		case routes == nil:
		case i == 0:
			n.routes = routes
		default:
			s.schedule(recorded.AtUs, func() { n.routes = routes })
		}
	}
}

// applyView brings a view into force at a node; under a proposal with hot keys
// their widths are those of the simulation.
func (s *simulation) applyView(n *simulatedNode, view *meshpb.View) {
	n.view = view
	if s.hotKeys.tracker != nil {
		view = view.ForNodes()
		view.HotKeys = s.hotKeys.current
	}
	n.balancer.ApplyView(view)
}

// restoreSessions assigns each session to the endpoint where the recording has
// it first.
func (s *simulation) restoreSessions() {
	for key, record := range firstOfSessions(s.recording) {
		pin := &meshpb.Pin{Key: key.session, Service: key.service, Endpoint: record.Attempts[0].Endpoint, Config: record.Config}
		s.pins.Apply(&meshpb.Change{Pin: pin}, assumedUptime)
		for _, n := range s.nodes {
			n.sessions.Add(pin.Key, pin.Service, pin.Endpoint)
		}
	}
}

type sessionID struct{ session, service string }

// firstOfSessions returns the earliest request of each session that reached an
// endpoint.
func firstOfSessions(recording *meshpb.ReplayFile) map[sessionID]*meshpb.RequestRecord {
	first := map[sessionID]*meshpb.RequestRecord{}
	for _, node := range recording.Nodes {
		for _, record := range node.Records {
			if record.Session == "" || len(record.Attempts) == 0 {
				continue
			}
			key := sessionID{record.Session, record.Service}
			if earlier := first[key]; earlier == nil || record.AtUs < earlier.AtUs {
				first[key] = record
			}
		}
	}
	return first
}

// run plays all requests.
func (s *simulation) run() {
	if config := s.scenario.Config; config != nil && config.HasHotKeys() {
		s.trackHotKeys(s.lastRequestUs())
	}
	for _, n := range s.nodes {
		for _, record := range n.recorded.Records {
			s.schedule(record.AtUs, func() { s.startRequest(n, record) })
		}
	}
	s.drain()
}

func (s *simulation) lastRequestUs() int64 {
	last := int64(0)
	for _, n := range s.nodes {
		for _, record := range n.recorded.Records {
			last = max(last, record.AtUs)
		}
	}
	return last
}
