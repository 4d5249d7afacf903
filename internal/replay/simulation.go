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
	// assumedUptime is the uptime of the nodes at the start of the recording. It is
	// meant to exceed the window in which a retry budget's slack grows to its full
	// size after a start.
	assumedUptime = time.Hour
	// sessionLifetime is the refresh interval and the idle timeout of sessions at a
	// node, long enough that no session expires within a recording.
	sessionLifetime = time.Hour
	// maxSimulatedSessions is the maximum number of sessions cached at one node. A
	// recording has fewer, so that none is evicted.
	maxSimulatedSessions = 1 << 20
	// pinHistory is how long the coordination table retains applied changes.
	pinHistory = time.Minute
	// slowStart is the time over which an endpoint that is added to a hot key reaches
	// its full share of the key's reads.
	slowStart = 2 * time.Second
	// afterAnyRequestUs is later than any recorded time, in Unix microseconds.
	afterAnyRequestUs = int64(1) << 62
)

// viewID identifies a view by its epoch and version.
type viewID struct{ epoch, version uint64 }

// simulation replays a recording in virtual time under one scenario.
type simulation struct {
	eventQueue
	recording *meshpb.ReplayFile
	scenario  Scenario
	// startUs is the time at which the first request began, in Unix microseconds.
	startUs int64
	model   *trafficModel
	nodes   []*simulatedNode
	// pins is the table in which the core pins sessions to endpoints.
	pins *coordination.Table
	// recordedRoutes maps versions to the route tables of the recorded
	// configurations.
	recordedRoutes map[uint64]*routeconfig.Table
	// proposedRoutes is the route table of the scenario's configuration, or nil if it
	// has none.
	proposedRoutes *routeconfig.Table
	hotKeys        hotKeyState
	results        map[*meshpb.RequestRecord]*Result
}

// simulatedNode is a node with the components that route its requests.
type simulatedNode struct {
	recorded *meshpb.RequestRecordsResponse
	balancer *loadbalancer.Balancer
	budget   *retry.Budget
	sessions *affinity.Sessions
	routes   *routeconfig.Table
	view     *meshpb.View
	keyMeter *hotkeys.Meter
}

// simulate replays the whole recording under the scenario and returns the finished
// simulation.
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

// firstRequestUs returns the time at which the first request of the recording began,
// or afterAnyRequestUs if there are no requests.
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

// parseSnapshot decompresses and parses a recorded configuration.
func parseSnapshot(snapshot *meshpb.ConfigSnapshot) (routeconfig.Config, error) {
	b, err := rpc.Decompress(snapshot.Packed)
	if err != nil {
		return routeconfig.Config{}, err
	}
	return routeconfig.Parse(b)
}

// compileConfigs returns the route tables of the recorded configurations by version.
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

// now returns the virtual time; it replaces the wall clock of the live components.
func (s *simulation) now() time.Time { return time.UnixMicro(s.nowUs) }

// uptime returns the virtual time since the assumed start of the nodes.
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

// newRandom returns a random source that depends only on the seed and on the name of
// a node or request, so that a change to one of them does not affect the numbers
// that the others draw.
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

// pinSession handles a node's request to pin a session as the core does. It never
// fails.
func (s *simulation) pinSession(_ context.Context, request *meshpb.PinRequest) (*meshpb.PinResponse, error) {
	decision := s.pins.PinSession(request, s.uptime())
	if decision.Change != nil {
		s.pins.Apply(decision.Change, s.uptime())
	}
	return decision.Result.Response(), nil
}

// scheduleViews applies the node's first recorded view immediately and schedules the
// others for their recorded times.
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

// scheduleConfigs puts the node's first recorded configuration in force immediately
// and schedules the others for their recorded times. It does nothing if the scenario
// has a configuration, which is in force from the start.
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

// applyView applies a view at a node. If the proposal has hot keys, their recorded
// widths are replaced by those of the simulation.
func (s *simulation) applyView(n *simulatedNode, view *meshpb.View) {
	n.view = view
	if s.hotKeys.tracker != nil {
		view = view.ForNodes()
		view.HotKeys = s.hotKeys.current
	}
	n.balancer.ApplyView(view)
}

// restoreSessions pins each session to the endpoint of the first attempt that the
// recording has of it, and caches the pin at all nodes.
func (s *simulation) restoreSessions() {
	for key, record := range firstRequestsOfSessions(s.recording) {
		pin := &meshpb.Pin{Key: key.session, Service: key.service, Endpoint: record.Attempts[0].Endpoint, Config: record.Config}
		s.pins.Apply(&meshpb.Change{Pin: pin}, assumedUptime)
		for _, n := range s.nodes {
			n.sessions.Add(pin.Key, pin.Service, pin.Endpoint)
		}
	}
}

// sessionID identifies a session of a service.
type sessionID struct{ session, service string }

// firstRequestsOfSessions returns each session's earliest recorded request that has
// an attempt.
func firstRequestsOfSessions(recording *meshpb.ReplayFile) map[sessionID]*meshpb.RequestRecord {
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

// run schedules all recorded requests and runs the simulation until no event is
// left.
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

// lastRequestUs returns the time at which the last request of the recording began.
func (s *simulation) lastRequestUs() int64 {
	last := int64(0)
	for _, n := range s.nodes {
		for _, record := range n.recorded.Records {
			last = max(last, record.AtUs)
		}
	}
	return last
}
