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
	relayStill = 300 * time.Millisecond
	relayMost  = time.Second
	relayOnce  = 8
)

// Bundle is what a member holds of what the master names as kept: a configuration
// as it is delivered and a view as it is published, nil where it holds another.
type StoredPayloads struct{ Config, View []byte }

// Relay brings a request of the master's to several nodes and gathers what they
// say. It keeps nothing: order and epochs are the nodes' to check.
func Relay(ctx context.Context, lines *rpc.Clients, q *meshpb.RelayRequest, x func() StoredPayloads) *meshpb.RelayResponse {
	acks := make(chan *meshpb.RelayAck, len(q.Targets))
	sem := make(chan bool, relayOnce)
	go func() {
		var wg sync.WaitGroup
		for _, to := range q.Targets {
			sem <- true
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer func() { <-sem }()
				if a := relayed(lines.Node(to.Addr), to, q, x); a != nil {
					acks <- a
				}
			}()
		}
		wg.Wait()
		close(acks)
	}()
	r := &meshpb.RelayResponse{}
	end := time.After(relayMost)
	still := time.NewTimer(relayStill)
	defer still.Stop()
	for {
		select {
		case a, ok := <-acks:
			if !ok {
				return r
			}
			r.Acks = append(r.Acks, a)
			still.Reset(relayStill)
		case <-still.C:
			return r
		case <-end:
			return r
		case <-ctx.Done():
			return r
		}
	}
}

func relayed(n meshpb.Node, to *meshpb.RelayTarget, q *meshpb.RelayRequest, x func() StoredPayloads) *meshpb.RelayAck {
	a := &meshpb.RelayAck{Name: to.Name}
	var err error
	switch {
	case q.Poll != nil:
		a.Poll, err = rpc.Call(relayMost, n.Poll, &meshpb.PollRequest{Epoch: q.Poll.Epoch, NextPollMs: q.Poll.NextPollMs, Name: to.Name, LastEndpoint: to.LastEndpoint})
		if err == nil && !a.Poll.GetStale() {
			fill(n, to, q, a.Poll.GetNode(), x)
		}
	case q.View != nil:
		a.View, err = rpc.Call(relayMost, n.PublishView, &meshpb.PublishViewRequest{To: to.Name, Packed: q.View.Packed, Epoch: q.View.Epoch})
	case q.Config != nil:
		c, wait := q.Config, relayMost
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
func fill(n meshpb.Node, to *meshpb.RelayTarget, q *meshpb.RelayRequest, s *meshpb.NodeState, bundle func() StoredPayloads) {
	k := q.Stored
	if s == nil || k == nil || s.ConfigVersion > 0 && s.ViewVersion > 0 {
		return
	}
	x := bundle()
	if s.ConfigVersion == 0 && x.Config != nil {
		r, err := rpc.Call(2*relayMost, n.DeliverConfig, &meshpb.DeliverConfigRequest{Epoch: q.Poll.Epoch, Version: k.ConfigVersion, Data: x.Config, To: to.Name})
		if err == nil && r.Ok {
			s.ConfigVersion = r.Version
		}
	}
	if s.ViewVersion == 0 && x.View != nil {
		r, err := rpc.Call(relayMost, n.PublishView, &meshpb.PublishViewRequest{To: to.Name, Packed: x.View, Epoch: q.Poll.Epoch})
		if err == nil && r.Ok {
			s.ViewEpoch, s.ViewVersion = r.Epoch, r.Version
		}
	}
}

// fewDirect nodes are called by the master itself; more go through relays.
const (
	fewDirect  = 10
	gatherFor  = 4 * time.Millisecond
	shunRelay  = 1500 * time.Millisecond
	mostRelays = 16
	relayWait  = relayMost + 300*time.Millisecond
)

// parcel is the same request for several nodes; done runs on the master's
// goroutine once for each, with nil where nothing was heard.
type parcel struct {
	req *meshpb.RelayRequest
	// relayOffset is by how many places its relays differ from the usual ones.
	relayOffset int
	done        map[string]func(*meshpb.RelayAck)
}

// send puts a node's request beside those that go out together.
func (m *Master) send(key string, req *meshpb.RelayRequest, to *meshpb.RelayTarget, done func(*meshpb.RelayAck)) {
	m.sendVia(0, key, req, to, done)
}

// sendVia is send through other relays than usual, with a relayOffset above zero.
func (m *Master) sendVia(relayOffset int, key string, req *meshpb.RelayRequest, to *meshpb.RelayTarget, done func(*meshpb.RelayAck)) {
	if m.parcels == nil {
		m.parcels = map[string]*parcel{}
		time.AfterFunc(gatherFor, func() { m.Mailbox.Post(m.flush) })
	}
	p := m.parcels[key]
	if p == nil {
		p = &parcel{req: req, relayOffset: relayOffset, done: map[string]func(*meshpb.RelayAck){}}
		m.parcels[key] = p
	}
	if p.done[to.Name] == nil {
		p.req.Targets = append(p.req.Targets, to)
	}
	p.done[to.Name] = done
}

// relays are the other members that answered when they were last asked. A node
// keeps to one of them, so that streams stay few.
func (m *Master) relays() []string {
	var out []string
	now := m.o.Now()
	for _, x := range m.membership.GetMembers() {
		if x.Addr != m.o.SelfAddr && now >= m.shunned[x.Addr] && (m.o.InContact == nil || m.o.InContact(x.Addr)) && len(out) < mostRelays {
			out = append(out, x.Addr)
		}
	}
	return out
}

func (m *Master) flush() {
	ps := m.parcels
	m.parcels = nil
	if !m.leading || !m.sure() {
		for _, p := range ps {
			for _, done := range p.done {
				done(nil)
			}
		}
		return
	}
	rs := m.relays()
	for _, p := range ps {
		if len(p.req.Targets) <= fewDirect || len(rs) == 0 {
			for _, to := range p.req.Targets {
				m.direct(p, to)
			}
			continue
		}
		parts := make([][]*meshpb.RelayTarget, len(rs))
		for _, to := range p.req.Targets {
			i := (xxhash.Sum64String(to.Name) + uint64(p.relayOffset)) % uint64(len(rs))
			parts[i] = append(parts[i], to)
		}
		for i, to := range parts {
			if len(to) > 0 {
				m.relay(p, rs[i], to)
			}
		}
	}
}

// configured tells that a node has acknowledged this configuration, or a newer one,
// by another way meanwhile.
func (m *Master) configured(name string, q *meshpb.DeliverConfigRequest) bool {
	c := m.sends[name]
	return q != nil && c != nil && c.conf >= q.Version
}

func (m *Master) bundle(k *meshpb.StoredVersions) StoredPayloads {
	if k == nil || m.o.ReadStored == nil {
		return StoredPayloads{}
	}
	return m.o.ReadStored(k)
}

func (m *Master) direct(p *parcel, to *meshpb.RelayTarget) {
	n := m.lines.Node(to.Addr)
	done := p.done[to.Name]
	go func() {
		a := relayed(n, to, p.req, func() StoredPayloads { return m.bundle(p.req.Stored) })
		m.Mailbox.Post(func() { done(a) })
	}()
}

// relay sends a part of a parcel through a member. What it does not bring back
// is called directly, once; a member that does not answer is left out a while.
func (m *Master) relay(p *parcel, addr string, to []*meshpb.RelayTarget) {
	c := m.lines.Control(addr)
	q := &meshpb.RelayRequest{Targets: to, View: p.req.View, Config: p.req.Config, Poll: p.req.Poll, Stored: p.req.Stored}
	go func() {
		r, err := rpc.Call(relayWait, c.Relay, q)
		m.Mailbox.Post(func() {
			got := map[string]bool{}
			for _, a := range r.GetAcks() {
				if d := p.done[a.Name]; d != nil && !got[a.Name] {
					got[a.Name] = true
					d(a)
				}
			}
			if err != nil || len(got) == 0 {
				m.shunned[addr] = m.o.Now() + shunRelay
			}
			for _, t := range to {
				switch {
				case got[t.Name]:
				case m.configured(t.Name, p.req.Config):
					p.done[t.Name](nil)
				default:
					m.direct(p, t)
				}
			}
		})
	}()
}
