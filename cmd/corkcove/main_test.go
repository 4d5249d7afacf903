package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// These tests run the command line end to end: the test binary runs itself as
// corkcove against a core of two fake members and two fake traffic nodes with fixed
// responses. The expected outputs in testdata/242832a were recorded with the
// previous release, the last one before RPC services, command-line flags and
// packages were renamed. To test a binary of that release in the same way, pass
// -binary=FILE.

const (
	runMainEnv = "CORKCOVE_TEST_RUN_MAIN"
	// busyMachineTimeout replaces the call and dial timeouts, which are too short on
	// a machine that is busy with other tests.
	busyMachineTimeout = time.Minute
)

var (
	binaryFlag = flag.String("binary", "", "test this corkcove binary instead of the current code")
	recordFlag = flag.Bool("record", false, "overwrite the recorded outputs")
)

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		toolCallTimeout, toolDialTimeout = busyMachineTimeout, busyMachineTimeout
		main()
		return
	}
	os.Exit(m.Run())
}

// fakeControl implements the Control service of a core member, which is the master
// or not according to its status.
type fakeControl struct {
	meshpb.Control

	mu     sync.Mutex
	status *meshpb.StatusResponse
	states map[string]string
}

func (c *fakeControl) setStatus(status *meshpb.StatusResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = status
}

// stepDown makes the member stop being the master.
func (c *fakeControl) stepDown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status.Master = false
}

// userStates returns a copy of the user states set so far, by node.
func (c *fakeControl) userStates() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.states)
}

func (c *fakeControl) Status(context.Context, *meshpb.StatusRequest) (*meshpb.StatusResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return proto.CloneOf(c.status), nil
}

func (c *fakeControl) SetState(_ context.Context, q *meshpb.SetStateRequest) (*meshpb.SetStateResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.status.Master {
		return &meshpb.SetStateResponse{Why: "not the master", MasterAddr: c.status.MasterAddr}, nil
	}
	if q.Node == "unknown" {
		return &meshpb.SetStateResponse{Why: `no node "unknown" is known`}, nil
	}
	c.states[q.Node] = q.State
	return &meshpb.SetStateResponse{Ok: true}, nil
}

// fakeDiagnostics implements the Diagnostics service of one process with fixed
// responses.
type fakeDiagnostics struct {
	meshpb.Diagnostics
	trace    *meshpb.TraceResponse
	flows    *meshpb.FlowsResponse
	sessions *meshpb.SessionsResponse
	records  *meshpb.RequestRecordsResponse
}

func (d *fakeDiagnostics) Trace(_ context.Context, q *meshpb.TraceRequest) (*meshpb.TraceResponse, error) {
	if q.Subject != "r12" {
		return &meshpb.TraceResponse{Node: d.trace.Node, Role: d.trace.Role}, nil
	}
	return d.trace, nil
}

func (d *fakeDiagnostics) Flows(context.Context, *meshpb.FlowsRequest) (*meshpb.FlowsResponse, error) {
	return d.flows, nil
}

func (d *fakeDiagnostics) Sessions(_ context.Context, q *meshpb.SessionsRequest) (*meshpb.SessionsResponse, error) {
	if q.Since > 5 {
		return &meshpb.SessionsResponse{Node: d.sessions.Node}, nil
	}
	return d.sessions, nil
}

func (d *fakeDiagnostics) RequestRecords(_ context.Context, q *meshpb.RequestRecordsRequest) (*meshpb.RequestRecordsResponse, error) {
	if q.SpanUs < 0 || q.Limit == 0 {
		return nil, errors.New("request for no records: negative span or no limit")
	}
	return d.records, nil
}

func (d *fakeDiagnostics) Snapshots(context.Context, *meshpb.SnapshotsRequest) (*meshpb.SnapshotsResponse, error) {
	return &meshpb.SnapshotsResponse{Views: []*meshpb.View{{Epoch: 4, Version: 9}}, Configs: []*meshpb.ConfigSnapshot{{Version: 12}}}, nil
}

// fakeMesh is a core of two members, and two traffic nodes, all listening on
// loopback.
type fakeMesh struct {
	master *fakeControl
	// coreAddr is the address of the member that is not the master.
	coreAddr string
	// addressNames are pairs of an address and the fixed name that replaces it in
	// outputs.
	addressNames []string
}

const (
	tracedAt    = 1_700_000_000_000_000
	pinnedAt    = 1_700_000_100_000_000
	hotKeySince = 1_700_000_200_000_000
)

func serveFake(t *testing.T, servers ...meshpb.TwirpServer) string {
	t.Helper()
	mux := http.NewServeMux()
	for _, s := range servers {
		rpc.Handle(mux, s)
	}
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newFakeMesh(t *testing.T) *fakeMesh {
	t.Helper()
	nodes := []string{serveNode(t, "node-a", "zone-1", "i-1"), serveNode(t, "node-b", "zone-2", "i-2")}
	master := &fakeControl{states: map[string]string{}}
	masterAddr := serveFake(t, meshpb.NewControlServer(master), meshpb.NewDiagnosticsServer(coreDiagnostics("core-1")))
	follower := &fakeControl{}
	followerAddr := serveFake(t, meshpb.NewControlServer(follower), meshpb.NewDiagnosticsServer(coreDiagnostics("core-2")))
	membership := &meshpb.Membership{Version: 3, Size: 2, Gaps: []uint32{2}, Members: []*meshpb.Member{
		{Id: "id1", Addr: masterAddr, Control: "10.0.0.1:8500", Zone: "zone-1"}, {Id: "id2", Addr: followerAddr, Control: "10.0.0.2:8500", Zone: "zone-2"}}}
	master.setStatus(masterStatus(masterAddr, membership, nodes))
	follower.setStatus(&meshpb.StatusResponse{Node: "core-2", MasterAddr: masterAddr, Epoch: 4, Membership: membership, DiskSound: true, Member: true})
	return &fakeMesh{master: master, coreAddr: followerAddr,
		addressNames: []string{masterAddr, "CORE-1", followerAddr, "CORE-2", nodes[0], "NODE-A", nodes[1], "NODE-B"}}
}

func coreDiagnostics(name string) *fakeDiagnostics {
	return &fakeDiagnostics{trace: &meshpb.TraceResponse{Node: name, Role: "core", Known: true, Lines: []*meshpb.TraceEvent{
		{AtUs: tracedAt, Step: "proposed", Epoch: 4}, {AtUs: tracedAt + 5000, Step: "committed", Epoch: 4, Detail: "shard 0, version 17"}}}}
}

func serveNode(t *testing.T, name, zone, endpoint string) string {
	t.Helper()
	return serveFake(t, meshpb.NewDiagnosticsServer(&fakeDiagnostics{
		trace: &meshpb.TraceResponse{Node: name, Role: "sidecar", Known: true, Lines: []*meshpb.TraceEvent{{AtUs: tracedAt + 9000, Step: "applied", Epoch: 4}}},
		flows: &meshpb.FlowsResponse{Node: name, Zone: zone, RemoteWeight: 2.2, BulkWeight: 5, WindowS: 10, Flows: []*meshpb.Flow{
			{Route: "read", Kind: "pure", Service: "catalogue", Endpoint: "i-1", Node: "node-a", PerS: 12, WorkMs: 20, LatencyTargetMs: 500},
			{Route: "read", Kind: "pure", Service: "catalogue", Endpoint: "i-2", Node: "node-b", PerS: 8, WorkMs: 20, LatencyTargetMs: 500}}},
		sessions: &meshpb.SessionsResponse{Node: name, Config: 12, Dropped: 1,
			Sessions: []*meshpb.Session{{Key: "s-1", Service: "catalogue", Endpoint: "i-1", Pinned: name == "node-a", Config: 12, SinceUs: pinnedAt, UsedUs: pinnedAt + 10},
				{Key: "s-" + name, Service: "catalogue", Endpoint: endpoint, Config: 11, SinceUs: pinnedAt, UsedUs: pinnedAt + 20}},
			Moves: []*meshpb.SessionMove{{Key: "s-1", Service: "catalogue", From: "i-2", To: "i-1", Why: "retired", Config: 12, AtUs: pinnedAt, ToService: "catalogue"}}},
		records: &meshpb.RequestRecordsResponse{Node: name, Zone: zone, Service: "shop", Role: "sidecar", LostUs: 1_500_000, NowUs: tracedAt, BeganUs: tracedAt - 60_000_000,
			Records: []*meshpb.RequestRecord{{Id: "q-" + name, AtUs: tracedAt - 1000, Method: "GET", Host: "h", Target: "/", Route: "read", Kind: "pure", Service: "catalogue", Code: 200}},
			Views:   []*meshpb.VersionChange{{AtUs: tracedAt - 2000, Epoch: 4, Version: 9}}, Configs: []*meshpb.VersionChange{{AtUs: tracedAt - 2000, Epoch: 4, Version: 12}}},
	}))
}

// masterStatus returns a status with every field set that the status command
// prints.
func masterStatus(addr string, membership *meshpb.Membership, nodes []string) *meshpb.StatusResponse {
	return &meshpb.StatusResponse{Node: "core-1", Master: true, MasterAddr: addr, Epoch: 4, View: 9, Config: 12, Membership: membership, DiskSound: true, Member: true,
		Shards: []*meshpb.ShardStatus{
			{Shard: 0, Owner: "id1", Epoch: 4, Version: 17, Committed: 16, LeaseMs: 700, MayLose: 1, Owned: true, Copies: []*meshpb.ReplicaStatus{
				{Addr: "10.0.0.2:8400", Reached: true, Sound: true, Known: true, Behind: 1}, {Addr: "10.0.0.3:8400", Learner: true}, {Addr: "10.0.0.4:8400", Reached: true},
				{Addr: "10.0.0.5:8400", Reached: true, Known: true, Sound: true, Leaving: true}, {Addr: "10.0.0.6:8400", Reached: true, Known: true}}},
			{Shard: 1, Owner: "id2", Epoch: 2, Version: 3}, {Shard: 2, Epoch: 1}},
		Nodes: []*meshpb.NodeStatus{
			{Name: "node-a", Addr: nodes[0], Zone: "zone-1", Service: "catalogue", Endpoint: "i-1", Reported: "ready", Official: "up", Slots: 8, Reached: true},
			{Name: "node-b", Addr: nodes[1], Zone: "zone-2", Service: "catalogue", Endpoint: "i-2", Reported: "ready", Official: "up", User: "maintenance", Slots: 4, Reached: true, Why: "set by a user"},
			{Name: "node-c", Zone: "zone-2", Service: "catalogue", Official: "down", Why: "not reached"}},
		Listed: 2, Greys: []string{"catalogue i-2"},
		Hot:       []*meshpb.HotKey{{Key: 0xabcdef, Width: 3, Service: "catalogue", Route: "read", PerS: 120.5, SinceUs: hotKeySince, Why: "needs 3 endpoints", Nodes: 2}},
		HotCounts: &meshpb.HotCounts{Widened: 3, Narrowed: 2, Refused: 1}}
}

// result is the outcome of one run of the program.
type result struct {
	stdout, stderr string
	code           int
}

// String includes only whether there was error output, not its text, because error
// messages may be reworded between releases.
func (r result) String() string {
	return fmt.Sprintf("exit code %d\nany errors: %v\n%s", r.code, r.stderr != "", r.stdout)
}

// runCommand runs corkcove. In its output it replaces the addresses of the mesh,
// which vary from run to run, and the folder with fixed names.
func (m *fakeMesh) runCommand(t *testing.T, folder string, args ...string) result {
	t.Helper()
	binary := *binaryFlag
	if binary == "" {
		binary = os.Args[0]
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*busyMachineTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, binary, args...)
	command.Args[0] = "corkcove"
	command.Env = append(os.Environ(), runMainEnv+"=1", "TZ=UTC", "CORKCOVE_CONFIG=")
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	names := strings.NewReplacer(append(slices.Clone(m.addressNames), folder, "FOLDER")...)
	return result{names.Replace(stdout.String()), names.Replace(stderr.String()), command.ProcessState.ExitCode()}
}

// sortTotalLines sorts the lines of the totals over all routes, whose order in the
// output of estimate may vary.
func sortTotalLines(text string) string {
	lines := strings.Split(text, "\n")
	var at []int
	var totals []string
	for i, l := range lines {
		if strings.HasPrefix(l, "all ") {
			at, totals = append(at, i), append(totals, l)
		}
	}
	slices.Sort(totals)
	for i, n := range at {
		lines[n] = totals[i]
	}
	return strings.Join(lines, "\n")
}

// compareWithRecorded compares a result with the recorded one, or with -record
// overwrites that.
func compareWithRecorded(t *testing.T, name string, got result) {
	t.Helper()
	file := filepath.Join("testdata", "242832a", name+".txt")
	text := sortTotalLines(got.String())
	if *recordFlag {
		qt.Assert(t, os.WriteFile(file, []byte(text), 0o644), qt.IsNil)
		return
	}
	want, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, text, qt.Equals, string(want))
}

const edgeSettings = `
[self]
nodeName = "edge-1"
ip = "127.0.6.1"
siteName = "site-1"
firstStart = true
[network]
innerPortRange = [7600, 7610]
seedList = ["127.0.5.1:7700", "127.0.5.2:7700", "127.0.5.3:7700"]
[network.listenAddrs]
front = "127.0.6.1:7702"
readyAddr = "127.0.6.1:7703"
[hostPlatform]
discoverySource = "cloud"
entryKind = "vip"
deploymentSpec = "api"
[hostPlatform.cloudApi]
address = "127.0.8.1:7800"
ratePerS = 50
maxLagS = 1
`

// inputs holds the paths of the files that the tested commands read and write.
type inputs struct {
	folder, estimate, record, settings, invalidConfig, missing string
}

func newInputs(t *testing.T) inputs {
	t.Helper()
	folder := t.TempDir()
	record, err := filepath.Abs("../../internal/replay/testdata/242832a/record")
	qt.Assert(t, err, qt.IsNil)
	in := inputs{folder: folder, record: record, estimate: filepath.Join(folder, "estimate.json"), settings: filepath.Join(folder, "edge.toml"),
		invalidConfig: filepath.Join(folder, "wrong.json"), missing: filepath.Join(folder, "missing")}
	qt.Assert(t, os.WriteFile(in.settings, []byte(edgeSettings), 0o600), qt.IsNil)
	qt.Assert(t, os.WriteFile(in.invalidConfig, []byte("{}"), 0o600), qt.IsNil)
	return in
}

// The text and JSON output of the tools must stay the same as in the previous
// release.
func TestOutputMatchesPreviousRelease(t *testing.T) {
	in := newInputs(t)
	cases := []struct {
		name string
		args []string
	}{
		{"status", []string{"status"}},
		{"trace", []string{"trace", "r12"}},
		{"trace-unknown", []string{"trace", "r13"}},
		{"keys", []string{"keys"}},
		{"sessions", []string{"sessions"}},
		{"sessions-since", []string{"sessions", "--since", "r12"}},
		{"state-set", []string{"state", "set", "node-a", "maintenance"}},
		{"estimate-retire", []string{"estimate", "retire", "node-b", "--save", in.estimate}},
		{"estimate-add", []string{"estimate", "add", "catalogue", "zone-1", "8"}},
		{"estimate-check", []string{"estimate", "check", in.estimate}},
		{"estimate-check-strict", []string{"estimate", "check", in.estimate, "--within", "0.0001"}},
		{"replay-save", []string{"replay", "save", filepath.Join(in.folder, "record")}},
		{"check", []string{"check", "--role", "edge", in.settings}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			mesh := newFakeMesh(t)
			args := append([]string{"--core", mesh.coreAddr}, c.args...)
			compareWithRecorded(t, c.name, mesh.runCommand(t, in.folder, args...))
			compareWithRecorded(t, c.name+".json", mesh.runCommand(t, in.folder, append([]string{"--json"}, args...)...))
			if c.name == "state-set" {
				qt.Check(t, mesh.master.userStates(), qt.DeepEquals, map[string]string{"node-a": "maintenance"})
			}
		})
	}
}

// A master that has stepped down still responds, but does not know the nodes or the
// view.
func TestStatusWithoutMasterMatchesPreviousRelease(t *testing.T) {
	mesh := newFakeMesh(t)
	mesh.master.stepDown()
	compareWithRecorded(t, "status-no-master", mesh.runCommand(t, t.TempDir(), "status", "--core", mesh.coreAddr))
}

func TestCommandsFailWithCode1(t *testing.T) {
	in := newInputs(t)
	noMaster := newFakeMesh(t)
	noMaster.master.stepDown()
	mesh := newFakeMesh(t)
	unreachable := &fakeMesh{coreAddr: "127.0.0.1:1"}
	cases := []struct {
		name string
		mesh *fakeMesh
		args []string
		// reason must be contained in the error output.
		reason string
	}{
		{"no subcommand", mesh, []string{"state"}, "help"},
		{"unknown flag", mesh, []string{"status", "--unknown"}, "--unknown"},
		{"unknown kind", mesh, []string{"replay", "run", in.record, "--kind", "unknown"}, "unknown"},
		{"malformed change", mesh, []string{"trace", "no change"}, "no change"},
		{"malformed version", mesh, []string{"sessions", "--since", "twelve"}, "twelve"},
		{"unknown node", mesh, []string{"state", "set", "unknown", "down"}, "unknown"},
		{"unknown state", mesh, []string{"state", "set", "node-a", "asleep"}, "asleep"},
		{"not an estimate", mesh, []string{"estimate", "check", in.settings}, in.settings},
		{"missing estimate", mesh, []string{"estimate", "check", in.missing}, in.missing},
		{"zero span", mesh, []string{"replay", "save", in.missing, "--span", "0s"}, "--span"},
		{"parallel below range", mesh, []string{"replay", "save", in.missing, "--parallel", "0"}, "--parallel"},
		{"parallel above range", mesh, []string{"replay", "save", in.missing, "--parallel", "257"}, "--parallel"},
		{"neither configuration nor retry settings", mesh, []string{"replay", "run", in.record}, "--config"},
		{"missing recording", mesh, []string{"replay", "run", in.missing, "--config", in.invalidConfig}, in.missing},
		{"invalid configuration", mesh, []string{"replay", "run", in.record, "--config", in.invalidConfig}, in.invalidConfig},
		{"mismatch out of range", mesh, []string{"replay", "run", in.record, "--options", in.settings, "--off", "2"}, ""},
		{"false alarm rate out of range", mesh, []string{"replay", "compare", in.invalidConfig, in.record, "--miss", "0"}, "--"},
		{"missing forecast", mesh, []string{"replay", "compare", in.missing, in.record}, in.missing},
		{"check of an invalid configuration", mesh, []string{"check", "--config", in.invalidConfig}, ""},
		{"check of settings of another role", mesh, []string{"check", "--role", "core", in.settings}, ""},
		{"edge without settings", mesh, []string{"edge", "--settings", in.missing}, in.missing},
		{"status, no core", unreachable, []string{"status"}, "127.0.0.1:1"},
		{"keys, no core", unreachable, []string{"keys"}, "127.0.0.1:1"},
		{"state set, no core", unreachable, []string{"state", "set", "node-a", "up"}, "no core node answers"},
		{"keys, no master", noMaster, []string{"keys"}, "no master"},
		{"sessions, no master", noMaster, []string{"sessions"}, "no master"},
		{"estimate, no master", noMaster, []string{"estimate", "retire", "node-b"}, "no master"},
		{"replay save, no master", noMaster, []string{"replay", "save", in.missing}, "no master"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := c.mesh.runCommand(t, "FOLDER", append([]string{"--core", c.mesh.coreAddr}, c.args...)...)
			qt.Check(t, got.code, qt.Equals, 1)
			qt.Check(t, got.stdout, qt.Equals, "")
			qt.Check(t, got.stderr, qt.Not(qt.Equals), "")
			qt.Check(t, got.stderr, qt.Contains, c.reason)
		})
	}
}

// Each command gets past flag parsing and then fails because a file or the core is
// missing, so exit code 1 without a usage hint shows that the flags of the
// previous release are still accepted.
func TestAcceptsFlagsOfPreviousRelease(t *testing.T) {
	in := newInputs(t)
	mesh := newFakeMesh(t)
	for _, args := range [][]string{
		{"--chatty", "--json", "--core", "127.0.0.1:1", "--core", "127.0.0.1:2", "status", "--settings", in.missing},
		{"check", "--role", "sidecar", "--config", in.missing},
		{"sessions", "--core", "127.0.0.1:1", "--since", "r12"},
		{"replay", "save", "--core", "127.0.0.1:1", "--span", "5s", "--parallel", "3", in.missing},
		{"replay", "run", in.missing, "--config", "c", "--options", "o", "--seed", "2", "--most", "5", "--off", "0.1", "--coverage", "0.5", "--by-node", "--watch", "a", "--watch", "b",
			"--settle", "1s", "--save", "s", "--route", "r", "--kind", "pure", "--node", "n", "--verdict", "v"},
		{"replay", "compare", in.missing, in.missing, "--miss", "0.02", "--slack", "0.1", "--least", "10", "--settle", "2s", "--coverage", "0.5", "--any", "--most", "5"},
		{"estimate", "retire", "--core", "127.0.0.1:1", "node-b", "--save", "s"},
		{"estimate", "add", "--core", "127.0.0.1:1", "--save", "s", "catalogue", "zone-1", "8"},
		{"estimate", "check", "--core", "127.0.0.1:1", in.missing, "--within", "0.5"},
		{"sidecar", "--chatty", "--settings", in.missing},
		{"core", "--chatty", "--settings", in.missing},
		{"edge", "--chatty", "--settings", in.missing},
	} {
		got := mesh.runCommand(t, in.folder, args...)
		qt.Check(t, got.code, qt.Equals, 1, qt.Commentf("%q", args))
		qt.Check(t, got.stderr, qt.Not(qt.Contains), "try --help", qt.Commentf("%q", args))
	}
}
