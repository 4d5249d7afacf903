package clustercontroller

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// How long a relay waits for its nodes: until all have said something, or none
// has for a while.
const (
	relayIdleTimeout = 300 * time.Millisecond
	relayTimeout     = time.Second
	relayConcurrency = 8
)

// Bundle is what a member holds of what the master names as kept: a configuration
// as it is delivered and a view as it is published, nil where it holds another.
type StoredPayloads struct{ Config, View []byte }

// Relay brings a request of the master's to several nodes and gathers what they
// say. It keeps nothing: order and epochs are the nodes' to check.
func Relay(ctx context.Context, lines *rpc.Clients, q *meshpb.RelayRequest, x func() StoredPayloads) *meshpb.RelayResponse {
	acks := make(chan *meshpb.RelayAck, len(q.Targets))
	sem := make(chan bool, relayConcurrency)
	go func() {
		var wg sync.WaitGroup
		for _, to := range q.Targets {
			sem <- true
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer func() { <-sem }()
				if a := callTarget(lines.Node(to.Addr), to, q, x); a != nil {
					acks <- a
				}
			}()
		}
		wg.Wait()
		close(acks)
	}()
	r := &meshpb.RelayResponse{}
	end := time.After(relayTimeout)
	still := time.NewTimer(relayIdleTimeout)
	defer still.Stop()
	for {
		select {
		case a, ok := <-acks:
			if !ok {
				return r
			}
			r.Acks = append(r.Acks, a)
			still.Reset(relayIdleTimeout)
		case <-still.C:
			return r
		case <-end:
			return r
		case <-ctx.Done():
			return r
		}
	}
}

func callTarget(n meshpb.Node, to *meshpb.RelayTarget, q *meshpb.RelayRequest, x func() StoredPayloads) *meshpb.RelayAck {
	a := &meshpb.RelayAck{Name: to.Name}
	var err error
	switch {
	case q.Poll != nil:
		a.Poll, err = rpc.Call(relayTimeout, n.Poll, &meshpb.PollRequest{Epoch: q.Poll.Epoch, NextPollMs: q.Poll.NextPollMs, Name: to.Name, LastEndpoint: to.LastEndpoint})
		if err == nil && !a.Poll.GetStale() {
			restoreNode(n, to, q, a.Poll.GetNode(), x)
		}
	case q.View != nil:
		a.View, err = rpc.Call(relayTimeout, n.PublishView, &meshpb.PublishViewRequest{To: to.Name, Packed: q.View.Packed, Epoch: q.View.Epoch})
	case q.Config != nil:
		c, wait := q.Config, relayTimeout
		if c.BaseVersion == 0 {
			wait *= 2
		}
		a.Config, err = rpc.Call(wait, n.DeliverConfig, &meshpb.DeliverConfigRequest{Epoch: c.Epoch, Version: c.Version, Data: c.Data, To: to.Name, BaseVersion: c.BaseVersion, Patches: c.Patches})
	}
	if err != nil {
		return nil
	}
	return a
}

// fill gives a node that has just started what it lacks, and notes that it has
// it now.
func restoreNode(n meshpb.Node, to *meshpb.RelayTarget, q *meshpb.RelayRequest, s *meshpb.NodeState, bundle func() StoredPayloads) {
	k := q.Stored
	if s == nil || k == nil || s.ConfigVersion > 0 && s.ViewVersion > 0 {
		return
	}
	x := bundle()
	if s.ConfigVersion == 0 && x.Config != nil {
		r, err := rpc.Call(2*relayTimeout, n.DeliverConfig, &meshpb.DeliverConfigRequest{Epoch: q.Poll.Epoch, Version: k.ConfigVersion, Data: x.Config, To: to.Name})
		if err == nil && r.Ok {
			s.ConfigVersion = r.Version
		}
	}
	if s.ViewVersion == 0 && x.View != nil {
		r, err := rpc.Call(relayTimeout, n.PublishView, &meshpb.PublishViewRequest{To: to.Name, Packed: x.View, Epoch: q.Poll.Epoch})
		if err == nil && r.Ok {
			s.ViewEpoch, s.ViewVersion = r.Epoch, r.Version
		}
	}
}

// fewDirect nodes are called by the master itself; more go through relays.
const (
	maxDirectNodes   = 10
	batchWindow      = 4 * time.Millisecond
	relayRetryDelay  = 1500 * time.Millisecond
	maxRelays        = 16
	relayCallTimeout = relayTimeout + 300*time.Millisecond
)

// parcel is the same request for several nodes; done runs on the master's
// goroutine once for each, with nil where nothing was heard.
type batch struct {
	request *meshpb.RelayRequest
	// relayOffset is by how many places its relays differ from the usual ones.
	relayOffset int
	callbacks   map[string]func(*meshpb.RelayAck)
}

// send puts a node's request beside those that go out together.
func (m *Master) enqueue(key string, req *meshpb.RelayRequest, to *meshpb.RelayTarget, done func(*meshpb.RelayAck)) {
	m.enqueueVia(0, key, req, to, done)
}

// sendVia is send through other relays than usual, with a relayOffset above zero.
func (m *Master) enqueueVia(relayOffset int, key string, req *meshpb.RelayRequest, to *meshpb.RelayTarget, done func(*meshpb.RelayAck)) {
	if m.batches == nil {
		m.batches = map[string]*batch{}
		time.AfterFunc(batchWindow, func() { m.Mailbox.Post(m.sendBatches) })
	}
	p := m.batches[key]
	if p == nil {
		p = &batch{request: req, relayOffset: relayOffset, callbacks: map[string]func(*meshpb.RelayAck){}}
		m.batches[key] = p
	}
	if p.callbacks[to.Name] == nil {
		p.request.Targets = append(p.request.Targets, to)
	}
	p.callbacks[to.Name] = done
}

// relays are the other members that answered when they were last asked. A node
// keeps to one of them, so that streams stay few.
func (m *Master) availableRelays() []string {
	var out []string
	now := m.options.Now()
	for _, x := range m.membership.GetMembers() {
		if x.Addr != m.options.SelfAddr && now >= m.relayRetryAt[x.Addr] && (m.options.InContact == nil || m.options.InContact(x.Addr)) && len(out) < maxRelays {
			out = append(out, x.Addr)
		}
	}
	return out
}

func (m *Master) sendBatches() {
	ps := m.batches
	m.batches = nil
	if !m.leading || !m.checkLease() {
		for _, p := range ps {
			for _, done := range p.callbacks {
				done(nil)
			}
		}
		return
	}
	rs := m.availableRelays()
	for _, p := range ps {
		if len(p.request.Targets) <= maxDirectNodes || len(rs) == 0 {
			for _, to := range p.request.Targets {
				m.callDirectly(p, to)
			}
			continue
		}
		parts := make([][]*meshpb.RelayTarget, len(rs))
		for _, to := range p.request.Targets {
			i := (xxhash.Sum64String(to.Name) + uint64(p.relayOffset)) % uint64(len(rs))
			parts[i] = append(parts[i], to)
		}
		for i, to := range parts {
			if len(to) > 0 {
				m.callThroughRelay(p, rs[i], to)
			}
		}
	}
}

// configured tells that a node has acknowledged this configuration, or a newer one,
// by another way meanwhile.
func (m *Master) hasConfig(name string, q *meshpb.DeliverConfigRequest) bool {
	c := m.progress[name]
	return q != nil && c != nil && c.configVersion >= q.Version
}

func (m *Master) readStored(k *meshpb.StoredVersions) StoredPayloads {
	if k == nil || m.options.ReadStored == nil {
		return StoredPayloads{}
	}
	return m.options.ReadStored(k)
}

func (m *Master) callDirectly(p *batch, to *meshpb.RelayTarget) {
	n := m.clients.Node(to.Addr)
	done := p.callbacks[to.Name]
	go func() {
		a := callTarget(n, to, p.request, func() StoredPayloads { return m.readStored(p.request.Stored) })
		m.Mailbox.Post(func() { done(a) })
	}()
}

// relay sends a part of a parcel through a member. What it does not bring back
// is called directly, once; a member that does not answer is left out a while.
func (m *Master) callThroughRelay(p *batch, addr string, to []*meshpb.RelayTarget) {
	c := m.clients.Control(addr)
	q := &meshpb.RelayRequest{Targets: to, View: p.request.View, Config: p.request.Config, Poll: p.request.Poll, Stored: p.request.Stored}
	go func() {
		r, err := rpc.Call(relayCallTimeout, c.Relay, q)
		m.Mailbox.Post(func() {
			got := map[string]bool{}
			for _, a := range r.GetAcks() {
				if d := p.callbacks[a.Name]; d != nil && !got[a.Name] {
					got[a.Name] = true
					d(a)
				}
			}
			if err != nil || len(got) == 0 {
				m.relayRetryAt[addr] = m.options.Now() + relayRetryDelay
			}
			for _, t := range to {
				switch {
				case got[t.Name]:
				case m.hasConfig(t.Name, p.request.Config):
					p.callbacks[t.Name](nil)
				default:
					m.callDirectly(p, t)
				}
			}
		})
	}()
}
