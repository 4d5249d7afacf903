package clustercontroller

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const (
	// maxDirectNodes is the size up to which the master itself calls the nodes of a
	// batch. Larger batches go through relays.
	maxDirectNodes = 10
	// batchWindow is the delay of requests that are to be batched, and the delay of a merge
	// of the nodes' states, so that it covers further changes.
	batchWindow = 4 * time.Millisecond
	// maxRelays is the largest number of members that the master uses as relays.
	maxRelays = 16
	// relayRetryDelay is the time for which a member that did not answer is not used as a
	// relay.
	relayRetryDelay = 1500 * time.Millisecond
	// relayCallTimeout is the timeout of a call to a relay. It leaves the relay time to
	// respond after its own timeout.
	relayCallTimeout = relayTimeout + 300*time.Millisecond
)

// batchKind is the type of the requests in a batch.
type batchKind int

const (
	pollBatch batchKind = iota
	viewBatch
	configBatch
)

// batchKey identifies requests with the same content, which are sent as one batch.
type batchKey struct {
	kind                        batchKind
	baseVersion, epoch, version uint64
	patchCount                  int
	fullConfig                  bool
	// relayOffset shifts each node's assignment by this many relays.
	relayOffset int
}

// ackFunc handles a node's acknowledgement on the master's goroutine. It gets nil if
// none arrived; the request may or may not have reached the node then.
type ackFunc func(*meshpb.RelayAck)

// batch is one request to several nodes.
type batch struct {
	request *meshpb.RelayRequest
	// callbacks holds the callback of each node by name. Each runs once.
	callbacks map[string]ackFunc
}

// enqueue adds a node's request to the batch of its key. All batches are sent
// batchWindow after the first request was enqueued. For a node that is already in the
// batch, only the callback is replaced.
func (m *Master) enqueue(key batchKey, request *meshpb.RelayRequest, target *meshpb.RelayTarget, done ackFunc) {
	if m.batches == nil {
		m.batches = map[batchKey]*batch{}
		time.AfterFunc(batchWindow, func() { m.Mailbox.Post(m.sendBatches) })
	}
	b := m.batches[key]
	if b == nil {
		b = &batch{request: request, callbacks: map[string]ackFunc{}}
		m.batches[key] = b
	}
	if b.callbacks[target.Name] == nil {
		b.request.Targets = append(b.request.Targets, target)
	}
	b.callbacks[target.Name] = done
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
			for _, target := range b.request.Targets {
				m.callDirectly(b, target)
			}
			continue
		}
		m.sendThroughRelays(b, relays, key.relayOffset)
	}
}

// availableRelays returns the addresses of up to maxRelays other members that are in
// contact and did not recently fail as a relay.
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

// sendThroughRelays distributes a batch's nodes among the relays. With the same
// relayOffset a node is always assigned to the same one, which keeps the number of
// connections low.
func (m *Master) sendThroughRelays(b *batch, relays []string, relayOffset int) {
	targetsByRelay := make([][]*meshpb.RelayTarget, len(relays))
	for _, target := range b.request.Targets {
		i := (xxhash.Sum64String(target.Name) + uint64(relayOffset)) % uint64(len(relays))
		targetsByRelay[i] = append(targetsByRelay[i], target)
	}
	for i, targets := range targetsByRelay {
		if len(targets) > 0 {
			m.callThroughRelay(b, relays[i], targets)
		}
	}
}

func (m *Master) callDirectly(b *batch, target *meshpb.RelayTarget) {
	node := m.clients.Node(target.Addr)
	done := b.callbacks[target.Name]
	go func() {
		ack := callTarget(node, target, b.request, func() StoredPayloads { return m.readStored(b.request.Stored) })
		m.Mailbox.Post(func() { done(ack) })
	}()
}

func (m *Master) readStored(versions *meshpb.StoredVersions) StoredPayloads {
	if versions == nil || m.options.ReadStored == nil {
		return StoredPayloads{}
	}
	return m.options.ReadStored(versions)
}

// callThroughRelay sends some of a batch's targets through a relay. Targets without an
// acknowledgement are then called directly, once. A relay that fails or returns no
// acknowledgement is not used again for relayRetryDelay.
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
			m.retryUnanswered(b, targets, acked)
		})
	}()
}

// runCallbacks passes each node's acknowledgement to its callback and returns the
// names of these nodes.
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

// retryUnanswered calls the targets without an acknowledgement directly, except for
// those that have acknowledged the configuration over another path.
func (m *Master) retryUnanswered(b *batch, targets []*meshpb.RelayTarget, acked map[string]bool) {
	for _, target := range targets {
		switch {
		case acked[target.Name]:
		case m.hasConfig(target.Name, b.request.Config):
			b.callbacks[target.Name](nil)
		default:
			m.callDirectly(b, target)
		}
	}
}
