package clustercontroller

import (
	"context"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// forgetLingerMultiple times Options.PollLinger after its last contact, an unreachable
// node is forgotten.
const forgetLingerMultiple = 10

// RegisterNode adds a node and starts to poll it. It returns the last endpoint that
// the node reported, or nil. It returns false, and registers nothing, if this member is
// not the master or does not hold the lease on shard 0.
func (m *Master) RegisterNode(state *meshpb.NodeState) (last *meshpb.Endpoint, registered bool) {
	if !m.leadership.active || !m.checkLease() {
		return nil, false
	}
	history := m.histories[state.Name]
	if history == nil {
		history = &nodeHistory{}
		m.histories[state.Name] = history
	}
	if history.state == nil || history.state.Incarnation != state.Incarnation || history.state.Addr != state.Addr {
		history.recordReport(state, m.options.Now(), m.options.historyRules())
		delete(m.progress, state.Name)
		m.stopPolling(state.Name)
		m.scheduleMerge()
	}
	m.startPolling(state.Name, state.Addr)
	m.sendUpdates(state.Name, history)
	return history.lastEndpoint, true
}

// pollAllOnce polls all nodes once, without lingering. As the responses come in, it
// starts the nodes' pollers, which linger, one after the other.
func (m *Master) pollAllOnce() {
	epoch := m.leadership.epoch
	nextPoll := min(m.directSendTime(), m.pollLinger())
	i := 0
	for name, history := range m.histories {
		if history.state.GetAddr() == "" || m.pollCancels[name] != nil {
			continue
		}
		i++
		delay := time.Duration(i) * m.options.SendTimePerNode
		request := &meshpb.RelayRequest{
			Poll:   &meshpb.PollRequest{Epoch: epoch, NextPollMs: milliseconds(nextPoll)},
			Stored: m.storedVersions,
		}
		target := &meshpb.RelayTarget{Name: name, Addr: history.state.Addr, LastEndpoint: history.lastEndpoint}
		m.enqueue(batchKey{kind: pollBatch}, request, target, func(ack *meshpb.RelayAck) {
			if !m.leadership.activeInEpoch(epoch) || m.histories[name] != history || m.pollCancels[name] != nil {
				return
			}
			if response := ack.GetPoll(); response.GetNode() != nil && !response.Stale {
				m.handlePollResponse(name, history, response.Node)
				m.startPollingAfter(name, history.state.GetAddr(), delay, response.Node)
				return
			}
			m.startPolling(name, history.state.GetAddr())
		})
	}
}

func milliseconds(d time.Duration) uint64 { return uint64(d / time.Millisecond) }

// pollLinger returns the time for which a node delays its response to a poll while its
// state is unchanged. It grows with the number of nodes, so that an idle mesh costs the
// master little.
func (m *Master) pollLinger() time.Duration {
	perNode := time.Duration(len(m.histories)) * m.options.PollLingerPerNode
	return max(m.options.PollLinger, min(perNode, m.options.MaxPollLinger))
}

func (m *Master) startPolling(name, addr string) { m.startPollingAfter(name, addr, 0, nil) }

// startPollingAfter starts a node's poller, unless one is running, the node's address
// is unknown or the lease is not held. The first poll is sent after delay. state is
// what the node has just reported, or nil.
func (m *Master) startPollingAfter(name, addr string, delay time.Duration, state *meshpb.NodeState) {
	if m.pollCancels[name] != nil || addr == "" || m.leadership.suspended {
		return
	}
	history := m.histories[name]
	p := &poller{
		master:       m,
		name:         name,
		epoch:        m.leadership.epoch,
		node:         m.clients.Node(addr),
		grace:        m.options.PollGrace + 2*m.directSendTime(),
		incarnation:  history.state.GetIncarnation(),
		lastEndpoint: history.lastEndpoint,
		linger:       m.pollLinger(),
	}
	if state != nil {
		p.incarnation, p.seq = state.Incarnation, state.Seq
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.pollCancels[name] = cancel
	go p.run(ctx, delay)
}

func (m *Master) stopPolling(name string) {
	if cancel := m.pollCancels[name]; cancel != nil {
		cancel()
		delete(m.pollCancels, name)
	}
}

func (m *Master) stopAllPolling() {
	for name := range m.pollCancels {
		m.stopPolling(name)
	}
}

// poller polls one node until its context ends. It sends the next poll once the
// response to the previous one has been handled, or a while later if the poll failed.
// Its goroutine waits while the master's goroutine handles a response, so the two
// share the fields below node without a lock.
type poller struct {
	master *Master
	name   string
	epoch  uint64
	node   meshpb.Node
	// grace is the timeout of a poll beyond its linger time.
	grace time.Duration

	// incarnation and seq identify the node's last report; a poll lingers until the
	// node has a newer one. seq is 0 until the first report.
	incarnation string
	seq         uint64
	// lastEndpoint tells a node that knows no endpoint which one it had last, and a node
	// whose endpoint has returned that this one is draining or gone.
	lastEndpoint *meshpb.Endpoint
	// linger is the time for which the node delays its response to the next poll while its
	// state is unchanged.
	linger time.Duration
}

func (p *poller) run(ctx context.Context, delay time.Duration) {
	if !sleep(ctx, delay) {
		return
	}
	for ctx.Err() == nil {
		response, err := p.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		failed := err != nil || response.GetNode() == nil || response.Stale
		handled := make(chan struct{})
		p.master.Mailbox.Post(func() {
			defer close(handled)
			if ctx.Err() == nil && p.master.leadership.activeInEpoch(p.epoch) {
				p.handleResponse(response, err, failed)
			}
		})
		select {
		case <-handled:
		case <-ctx.Done():
			return
		}
		if failed && !sleep(ctx, p.master.options.PollGrace/2) {
			return
		}
	}
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// poll sends one poll. It does not linger before the node has reported once.
func (p *poller) poll(ctx context.Context) (*meshpb.PollResponse, error) {
	linger := p.linger
	if p.seq == 0 {
		linger = 0
	}
	ctx, cancel := context.WithTimeout(ctx, linger+p.grace)
	defer cancel()
	return p.node.Poll(ctx, &meshpb.PollRequest{
		Epoch:        p.epoch,
		Incarnation:  p.incarnation,
		Seq:          p.seq,
		LingerMs:     milliseconds(linger),
		Name:         p.name,
		LastEndpoint: p.lastEndpoint,
	})
}

// handleResponse handles the outcome of a poll on the master's goroutine.
func (p *poller) handleResponse(response *meshpb.PollResponse, err error, failed bool) {
	m := p.master
	history := m.histories[p.name]
	if err == nil && response.Stale {
		if response.Epoch > p.epoch {
			m.options.Log.Warn("node has seen a higher epoch", "node", p.name, "epoch", response.Epoch)
			return
		}
		// A different node answers at that address.
		history.state.Addr = ""
	}
	if failed {
		m.handlePollFailure(p.name, history)
		return
	}
	returned := history.returned(response.Node.Endpoint)
	m.handlePollResponse(p.name, history, response.Node)
	p.incarnation, p.seq, p.lastEndpoint = response.Node.Incarnation, response.Node.Seq, nil
	p.linger = m.pollLinger()
	if response.Node.Endpoint == nil || returned {
		p.lastEndpoint = history.lastEndpoint
	}
}

// handlePollResponse records the state that a node reports in response to a poll,
// schedules a merge if it has changed, and sends the node the updates that it lacks.
func (m *Master) handlePollResponse(name string, history *nodeHistory, state *meshpb.NodeState) {
	before := m.officialState(name, history)
	unchanged := history.reachable && history.state.GetIncarnation() == state.Incarnation && history.state.GetSeq() == state.Seq && history.state.GetAddr() == state.Addr
	history.recordReport(state, m.options.Now(), m.options.historyRules())
	m.updateProgress(name, state)
	if after := m.officialState(name, history); after != before {
		m.options.Log.Info("endpoint state changed", "node", name, "endpoint", state.Endpoint.GetId(),
			"previousState", before, "state", after, "reportedState", state.Endpoint.GetState())
	}
	if !unchanged {
		m.scheduleMerge()
	}
	m.sendUpdates(name, history)
}

// handlePollFailure records a failed poll. A node that has been unreachable for too
// long is forgotten; it is known again once it registers.
func (m *Master) handlePollFailure(name string, history *nodeHistory) {
	wasReachable := history.reachable
	history.recordPollFailure(m.options.Now(), m.options.historyRules())
	if wasReachable && !history.reachable {
		m.options.Log.Warn("node unreachable", "node", name, "failedPolls", history.pollFailures)
		delete(m.progress, name)
	}
	if !history.reachable && m.options.Now()-history.lastContact > forgetLingerMultiple*m.options.PollLinger {
		m.stopPolling(name)
		delete(m.histories, name)
	}
	m.scheduleMerge()
}
