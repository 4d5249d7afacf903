package nodeagent

import (
	"context"
	"math/rand/v2"
	"time"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const (
	// maxRegisterCalls bounds how many core members one registration asks.
	maxRegisterCalls = 4
	// registerTimeout bounds one such call.
	registerTimeout = 500 * time.Millisecond
	// After Agent.RegisterAfter divided by registeredWaitDivisor, a node that has
	// registered looks whether it is polled.
	registeredWaitDivisor = 3
	// maxRetryIntervals bounds the wait after failed registrations, in intervals; it
	// grows by a quarter with each.
	maxRetryIntervals = 5
	// Up to each wait divided by jitterDivisor is added to it at random, so that nodes
	// that start together do not register together.
	jitterDivisor = 4
)

// SetSeeds changes the addresses of core members from the settings.
func (a *Agent) SetSeeds(seeds []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Seeds = seeds
}

// CoreAddresses returns where this node would look for the core: the master of
// its view, the members named there, then the seeds.
func (a *Agent) CoreAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := map[string]bool{}
	var addrs []string
	add := func(addr string) {
		if addr != "" && !seen[addr] {
			seen[addr] = true
			addrs = append(addrs, addr)
		}
	}
	add(a.view.GetMaster())
	for _, m := range a.view.GetMembership().GetMembers() {
		add(m.Addr)
	}
	for _, s := range a.Seeds {
		add(s)
	}
	return addrs
}

// Run registers the node with the master, and again whenever no master polls it,
// until ctx ends. It tries less often the longer it finds none, beginning with
// interval.
func (a *Agent) Run(ctx context.Context, interval time.Duration) {
	wait := interval
	for {
		switch {
		case !a.PollOverdue():
			wait = interval
		case a.register(ctx):
			wait = max(a.RegisterAfter/registeredWaitDivisor, interval)
		default:
			wait = min(wait*5/4, maxRetryIntervals*interval)
		}
		timer := time.NewTimer(wait + rand.N(wait/jitterDivisor+1))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// register looks for the master among the core members: first the one last heard
// of, then the one that another names, then others in random order. So hundreds of
// nodes that start at once do not all ask the whole core.
func (a *Agent) register(ctx context.Context) bool {
	state := a.State()
	candidates := a.registrationOrder()
	asked := map[string]bool{}
	for len(candidates) > 0 && len(asked) < maxRegisterCalls && ctx.Err() == nil {
		addr := candidates[0]
		candidates = candidates[1:]
		if addr == "" || asked[addr] {
			continue
		}
		asked[addr] = true
		response, err := rpc.Call(registerTimeout, a.Clients.Control(addr).RegisterNode, &meshpb.RegisterNodeRequest{Node: state})
		if err != nil {
			continue
		}
		if response.Master {
			a.keepLastEndpoint(response.LastEndpoint)
			return true
		}
		for _, m := range response.Membership.GetMembers() {
			candidates = append(candidates, m.Addr)
		}
		if response.MasterAddr != "" {
			candidates = append([]string{response.MasterAddr}, candidates...)
		}
	}
	return false
}

// registrationOrder is CoreAddresses in random order, the last master first.
func (a *Agent) registrationOrder() []string {
	addrs := a.CoreAddresses()
	others := addrs
	if a.View().GetMaster() != "" {
		others = addrs[1:]
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return addrs
}

func (a *Agent) keepLastEndpoint(endpoint *meshpb.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastEndpoint == nil {
		a.lastEndpoint = endpoint
	}
}
