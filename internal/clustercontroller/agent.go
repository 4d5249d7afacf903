package clustercontroller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// Agent is a node's side: it answers polls, takes views and configurations
// whose epoch and version rise, and says hello while no master polls it.
type Agent struct {
	Clients       *rpc.Clients
	Seeds         []string
	Incarnation   string
	Name          string
	RegisterAfter time.Duration
	Now           func() time.Duration
	Logf          func(f string, a ...any)
	Trace         func(kind, what string, epoch, version uint64)
	OnView        func(*meshpb.View)
	// OnConfig applies a whole configuration, OnPatch changes to the one in
	// force; an error leaves the old one.
	OnConfig func(version uint64, data []byte) error
	OnPatch  func(version uint64, patches [][]byte) error

	mu             sync.Mutex
	state          *meshpb.NodeState
	stateChanged   chan struct{}
	pollSuperseded chan struct{}
	masterEpoch    uint64
	view           *meshpb.View
	configVersion  uint64
	polledUntil    time.Duration
	configMu       sync.Mutex
	lastEndpoint   *meshpb.Endpoint
}

func (a *Agent) Start(n *meshpb.NodeState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = n
	a.state.Seq = 1
	a.stateChanged = make(chan struct{})
	a.polledUntil = -1 << 40
}

// Set changes the node's own account and answers the lingering poll.
func (a *Agent) UpdateState(f func(*meshpb.NodeState)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := proto.Clone(a.state).(*meshpb.NodeState)
	f(n)
	if proto.Equal(n, a.state) {
		return
	}
	n.Seq++
	a.state = n
	close(a.stateChanged)
	a.stateChanged = make(chan struct{})
}

// Murmur changes what the node's next answer to a poll says, without answering
// the lingering one.
func (a *Agent) UpdateStateWithoutWake(f func(*meshpb.NodeState)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := proto.Clone(a.state).(*meshpb.NodeState)
	f(n)
	a.state = n
}

func (a *Agent) acceptEpoch(epoch uint64) bool {
	if epoch < a.masterEpoch {
		return false
	}
	a.masterEpoch = epoch
	return true
}

func (a *Agent) Poll(ctx context.Context, q *meshpb.PollRequest) (*meshpb.PollResponse, error) {
	a.mu.Lock()
	if q.Name != a.Name || !a.acceptEpoch(q.Epoch) {
		r := &meshpb.PollResponse{Stale: true, Epoch: a.masterEpoch}
		a.mu.Unlock()
		return r, nil
	}
	// While a poll lingers, or another is promised, no other master is looked for.
	promised := time.Duration(q.NextPollMs) * time.Millisecond
	a.polledUntil = a.Now() + promised
	if q.Incarnation == a.state.Incarnation && q.Seq == a.state.Seq {
		a.polledUntil += time.Duration(q.LingerMs) * time.Millisecond
	}
	if a.pollSuperseded != nil {
		close(a.pollSuperseded)
	}
	c := make(chan struct{})
	a.pollSuperseded = c
	n, w := a.state, a.stateChanged
	if a.lastEndpoint == nil {
		a.lastEndpoint = q.LastEndpoint
	}
	a.mu.Unlock()
	if q.Incarnation == n.Incarnation && q.Seq == n.Seq {
		t := time.NewTimer(time.Duration(q.LingerMs) * time.Millisecond)
		defer t.Stop()
		select {
		case <-w:
		case <-c:
		case <-t.C:
		case <-ctx.Done():
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pollSuperseded == c {
		a.pollSuperseded = nil
		if ctx.Err() != nil {
			a.polledUntil = -1 << 40
			return nil, ctx.Err()
		}
	}
	a.polledUntil = max(a.Now()+promised, a.promisedByNewerPoll(c))
	out := proto.Clone(a.state).(*meshpb.NodeState)
	out.ViewEpoch, out.ViewVersion, out.ConfigVersion = a.view.GetEpoch(), a.view.GetVersion(), a.configVersion
	return &meshpb.PollResponse{Node: out, Epoch: a.masterEpoch}, nil
}

// polledUnless is what a poll that came since the one with that mark has
// promised.
func (a *Agent) promisedByNewerPoll(c chan struct{}) time.Duration {
	if a.pollSuperseded != nil && a.pollSuperseded != c {
		return a.polledUntil
	}
	return 0
}

func (a *Agent) PublishView(_ context.Context, q *meshpb.PublishViewRequest) (*meshpb.PublishViewResponse, error) {
	v := &meshpb.View{}
	if err := proto.Unmarshal(q.Packed, v); err != nil {
		return nil, Error.Wrap(err)
	}
	ok := a.applyView(v, max(q.Epoch, v.Epoch), q.To)
	a.mu.Lock()
	defer a.mu.Unlock()
	return &meshpb.PublishViewResponse{Ok: ok, Epoch: a.view.GetEpoch(), Version: a.view.GetVersion()}, nil
}

// take takes a view from a master under an epoch, which may be later than the
// view's own.
func (a *Agent) applyView(v *meshpb.View, epoch uint64, to string) bool {
	if v == nil || to != "" && to != a.Name {
		return false
	}
	a.mu.Lock()
	if !a.acceptEpoch(epoch) {
		a.mu.Unlock()
		return false
	}
	if o := a.view; o != nil && (v.Epoch < o.Epoch || v.Epoch == o.Epoch && v.Version <= o.Version) {
		ok := v.Epoch == o.Epoch && v.Version == o.Version
		a.mu.Unlock()
		return ok
	}
	if v.BaseVersion > 0 {
		if o := a.view; o == nil || o.Epoch != v.Epoch || o.Version != v.BaseVersion {
			a.mu.Unlock()
			return false
		}
		v = v.Onto(a.view)
	}
	a.view = v
	f := a.OnView
	a.mu.Unlock()
	if a.Trace != nil {
		a.Trace("view", "applied", v.Epoch, v.Version)
	}
	f(v)
	return true
}

func (a *Agent) DeliverConfig(_ context.Context, q *meshpb.DeliverConfigRequest) (*meshpb.DeliverConfigResponse, error) {
	if q.To != "" && q.To != a.Name {
		return &meshpb.DeliverConfigResponse{}, nil
	}
	ok := a.applyConfig(q.Epoch, q.Version, q.BaseVersion, q.Data, q.Patches)
	a.mu.Lock()
	defer a.mu.Unlock()
	return &meshpb.DeliverConfigResponse{Ok: ok, Version: a.configVersion}, nil
}

func (a *Agent) applyConfig(epoch, version, base uint64, data []byte, patches [][]byte) bool {
	a.configMu.Lock()
	defer a.configMu.Unlock()
	a.mu.Lock()
	old := a.configVersion
	a.mu.Unlock()
	if version <= old {
		return true
	}
	var err error
	if base > 0 {
		if base != old {
			return false
		}
		var ps [][]byte
		for _, p := range patches {
			if p, err = rpc.Unpack(p); err != nil {
				break
			}
			ps = append(ps, p)
		}
		if err == nil {
			err = a.OnPatch(version, ps)
		}
	} else if data, err = rpc.Unpack(data); err == nil {
		err = a.OnConfig(version, data)
	}
	if err != nil {
		a.Logf("configuration %d from epoch %d can't be applied: %v", version, epoch, err)
		return false
	}
	a.mu.Lock()
	a.configVersion = version
	a.mu.Unlock()
	if a.Trace != nil {
		a.Trace("configuration", "applied", epoch, version)
	}
	return true
}

func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view != nil && a.configVersion > 0
}

// Last is the endpoint that the master knew beside this node before it started.
func (a *Agent) LastEndpoint() *meshpb.Endpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastEndpoint
}

// Config is the version of the configuration in force here.
func (a *Agent) ConfigVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.configVersion
}

func (a *Agent) View() *meshpb.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view
}

// Cores are the addresses at which this node would look for the core.
func (a *Agent) CoreAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := map[string]bool{}
	var out []string
	add := func(s string) {
		if s != "" && !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	add(a.view.GetMaster())
	for _, m := range a.view.GetMembership().GetMembers() {
		add(m.Addr)
	}
	for _, s := range a.Seeds {
		add(s)
	}
	return out
}

// Reseed changes the core nodes that this one was told of.
func (a *Agent) SetSeeds(seeds []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Seeds = seeds
}

// Run says hello to the core until a master polls this node; it asks less
// often the longer none does.
func (a *Agent) Run(ctx context.Context, gap time.Duration) {
	wait := gap
	for {
		a.mu.Lock()
		quiet := a.Now()-a.polledUntil > a.RegisterAfter
		a.mu.Unlock()
		if quiet {
			if a.register(ctx) {
				wait = max(a.RegisterAfter/3, gap)
			} else {
				wait = min(wait*5/4, 5*gap)
			}
		} else {
			wait = gap
		}
		t := time.NewTimer(wait + rand.N(wait/4+1))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// helloMost bounds how many core nodes one hello asks.
const (
	maxRegisterCalls = 4
	registerTimeout  = 500 * time.Millisecond
)

// hello looks for the master among the core nodes: first the one last heard of,
// then the one that another names, then others in turns. So hundreds of nodes
// that start at once do not all ask the whole core.
func (a *Agent) register(ctx context.Context) bool {
	a.mu.Lock()
	n := a.state
	a.mu.Unlock()
	todo := a.CoreAddresses()
	first := 0
	if a.View().GetMaster() != "" {
		first = 1
	}
	rand.Shuffle(len(todo)-first, func(i, j int) { todo[first+i], todo[first+j] = todo[first+j], todo[first+i] })
	asked := map[string]bool{}
	for len(todo) > 0 && len(asked) < maxRegisterCalls && ctx.Err() == nil {
		c := todo[0]
		todo = todo[1:]
		if c == "" || asked[c] {
			continue
		}
		asked[c] = true
		r, err := rpc.Call(registerTimeout, a.Clients.Control(c).RegisterNode, &meshpb.RegisterNodeRequest{Node: n})
		if err != nil {
			continue
		}
		if r.Master {
			a.mu.Lock()
			if a.lastEndpoint == nil {
				a.lastEndpoint = r.LastEndpoint
			}
			a.mu.Unlock()
			return true
		}
		for _, m := range r.Membership.GetMembers() {
			todo = append(todo, m.Addr)
		}
		if r.MasterAddr != "" {
			todo = append([]string{r.MasterAddr}, todo...)
		}
	}
	return false
}
