package nodeagent

import (
	"context"
	"math/rand/v2"
	"time"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const (
	// maxRegisterCalls is the maximum number of core members that one registration
	// attempt calls.
	maxRegisterCalls = 4
	// registerTimeout is the timeout of each of these calls.
	registerTimeout = 500 * time.Millisecond
	// A node that has registered waits for Agent.RegisterAfter divided by
	// pollCheckDivisor, but at least one interval, before it checks whether it is
	// polled.
	pollCheckDivisor = 3
	// maxRetryIntervals limits the wait after failed registrations, as a multiple of
	// Run's interval. The wait grows by a quarter with each failure.
	maxRetryIntervals = 5
	// Each wait is extended by a random jitter of at most the wait divided by
	// jitterDivisor, so that nodes that start together do not register together.
	jitterDivisor = 4
)

// SetSeeds replaces the addresses of core members that come from the settings.
func (a *Agent) SetSeeds(seeds []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Seeds = seeds
}

// CoreAddresses returns the addresses at which this node looks for the core, without
// duplicates: the master of the current view, the members in that view, then the
// seeds.
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
// until ctx ends. The wait between attempts starts at interval and grows as long as
// registration fails.
func (a *Agent) Run(ctx context.Context, interval time.Duration) {
	wait := interval
	for {
		switch {
		case !a.PollOverdue():
			wait = interval
		case a.register(ctx):
			wait = max(a.RegisterAfter/pollCheckDivisor, interval)
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

// register calls core members until one of them is the master, and reports whether
// it found it. It tries the master of the current view first, then the other known
// addresses in random order. A master named by a member that is not the master is
// tried next; the members in that answer are tried last. The order and
// maxRegisterCalls keep hundreds of nodes that start at once from all calling the
// whole core.
func (a *Agent) register(ctx context.Context) bool {
	state := a.State()
	candidates := a.registrationCandidates()
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
			a.recordLastEndpoint(response.LastEndpoint)
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

// registrationCandidates returns CoreAddresses in random order, but with the master
// of the current view first.
func (a *Agent) registrationCandidates() []string {
	addrs := a.CoreAddresses()
	others := addrs
	if a.View().GetMaster() != "" {
		others = addrs[1:]
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return addrs
}

// recordLastEndpoint sets lastEndpoint unless it is known already.
func (a *Agent) recordLastEndpoint(endpoint *meshpb.Endpoint) {
	a.mu.Lock()
	first := a.lastEndpoint == nil && endpoint != nil
	if first {
		a.lastEndpoint = endpoint
	}
	a.mu.Unlock()
	if first && a.OnLastEndpoint != nil {
		a.OnLastEndpoint(endpoint)
	}
}
