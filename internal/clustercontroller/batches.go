package clustercontroller

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const (
	// maxDirectNodes is up to how many nodes the master calls itself; more go through
	// relays.
	maxDirectNodes = 10
	// batchWindow is how long requests wait for others of their kind, and changes of
	// state for others to be merged with.
	batchWindow = 4 * time.Millisecond
	// maxRelays bounds how many members the master sends through.
	maxRelays = 16
	// relayRetryDelay is how long a member that did not answer is no relay.
	relayRetryDelay = 1500 * time.Millisecond
	// relayCallTimeout leaves a relay time to answer after its own timeout.
	relayCallTimeout = relayTimeout + 300*time.Millisecond
)

// batchKind says what the requests of a batch ask for.
type batchKind int

const (
	pollBatch batchKind = iota
	viewBatch
	configBatch
)

// batchKey tells which requests are the same for all their nodes.
type batchKey struct {
	kind                        batchKind
	baseVersion, epoch, version uint64
	patches                     int
	full                        bool
	// relayOffset is by how many places the relays differ from the usual ones.
	relayOffset int
}

// ackFunc takes what a node answered, on the master's goroutine; nil means that
// nothing was heard and the request may or may not have reached the node.
type ackFunc func(*meshpb.RelayAck)

// batch is the same request for several nodes. Each node's callback runs once.
type batch struct {
	request   *meshpb.RelayRequest
	callbacks map[string]ackFunc
}

// enqueue puts a node's request beside those of the same key, which go out together
// after batchWindow.
func (m *Master) enqueue(key batchKey, request *meshpb.RelayRequest, to *meshpb.RelayTarget, done ackFunc) {
	if m.batches == nil {
		m.batches = map[batchKey]*batch{}
		time.AfterFunc(batchWindow, func() { m.Mailbox.Post(m.sendBatches) })
	}
	b := m.batches[key]
	if b == nil {
		b = &batch{request: request, callbacks: map[string]ackFunc{}}
		m.batches[key] = b
	}
	if b.callbacks[to.Name] == nil {
		b.request.Targets = append(b.request.Targets, to)
	}
	b.callbacks[to.Name] = done
}

func (m *Master) sendBatches() {
	batches := m.batches
	m.batches = nil
	if !m.leadership.active || !m.checkLease() {
		for _, b := range batches {
			for _, done := range b.callbacks {
				done(nil)
			}
		}
		return
	}
	relays := m.availableRelays()
	for key, b := range batches {
		if len(b.request.Targets) <= maxDirectNodes || len(relays) == 0 {
			for _, to := range b.request.Targets {
				m.callDirectly(b, to)
			}
			continue
		}
		m.sendThroughRelays(b, relays, key.relayOffset)
	}
}

// availableRelays returns the other members that answered when they were last
// asked.
func (m *Master) availableRelays() []string {
	var relays []string
	now := m.options.Now()
	for _, member := range m.membership.GetMembers() {
		if len(relays) < maxRelays && m.canRelay(member.Addr, now) {
			relays = append(relays, member.Addr)
		}
	}
	return relays
}

func (m *Master) canRelay(addr string, now time.Duration) bool {
	return addr != m.options.SelfAddr && now >= m.relayRetryAt[addr] &&
		(m.options.InContact == nil || m.options.InContact(addr))
}

// sendThroughRelays parts a batch's nodes among the relays. A node keeps to one of
// them, but for relayOffset, so that connections stay few.
func (m *Master) sendThroughRelays(b *batch, relays []string, relayOffset int) {
	parts := make([][]*meshpb.RelayTarget, len(relays))
	for _, to := range b.request.Targets {
		i := (xxhash.Sum64String(to.Name) + uint64(relayOffset)) % uint64(len(relays))
		parts[i] = append(parts[i], to)
	}
	for i, targets := range parts {
		if len(targets) > 0 {
			m.callThroughRelay(b, relays[i], targets)
		}
	}
}

func (m *Master) callDirectly(b *batch, to *meshpb.RelayTarget) {
	node := m.clients.Node(to.Addr)
	done := b.callbacks[to.Name]
	go func() {
		ack := callTarget(node, to, b.request, func() StoredPayloads { return m.readStored(b.request.Stored) })
		m.Mailbox.Post(func() { done(ack) })
	}()
}

func (m *Master) readStored(versions *meshpb.StoredVersions) StoredPayloads {
	if versions == nil || m.options.ReadStored == nil {
		return StoredPayloads{}
	}
	return m.options.ReadStored(versions)
}

// callThroughRelay sends a part of a batch through a member. What it does not bring
// back is called directly, once; a member that brings back nothing is no relay for a
// while.
func (m *Master) callThroughRelay(b *batch, addr string, targets []*meshpb.RelayTarget) {
	relay := m.clients.Control(addr)
	request := &meshpb.RelayRequest{Targets: targets, View: b.request.View, Config: b.request.Config, Poll: b.request.Poll, Stored: b.request.Stored}
	go func() {
		response, err := rpc.Call(relayCallTimeout, relay.Relay, request)
		m.Mailbox.Post(func() {
			acked := b.runCallbacks(response.GetAcks())
			if err != nil || len(acked) == 0 {
				m.relayRetryAt[addr] = m.options.Now() + relayRetryDelay
			}
			m.callUnanswered(b, targets, acked)
		})
	}()
}

// runCallbacks gives each node's acknowledgement to its callback, and returns the names
// of these nodes.
func (b *batch) runCallbacks(acks []*meshpb.RelayAck) map[string]bool {
	acked := map[string]bool{}
	for _, ack := range acks {
		if done := b.callbacks[ack.Name]; done != nil && !acked[ack.Name] {
			acked[ack.Name] = true
			done(ack)
		}
	}
	return acked
}

func (m *Master) callUnanswered(b *batch, targets []*meshpb.RelayTarget, acked map[string]bool) {
	for _, to := range targets {
		switch {
		case acked[to.Name]:
		case m.hasConfig(to.Name, b.request.Config):
			b.callbacks[to.Name](nil)
		default:
			m.callDirectly(b, to)
		}
	}
}
