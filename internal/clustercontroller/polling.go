package clustercontroller

import (
	"context"
	"time"

	"corkcove/internal/rpc/meshpb"
)

// forgetAfterLingers is after how many times Options.PollLinger without an answer
// the master forgets a node.
const forgetAfterLingers = 10

// RegisterNode makes a node known and begins to poll it. It returns the endpoint
// that the node had last; false means that this member is not the master, or not
// sure of it.
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

// pollAllOnce polls all nodes without lingering; the pollers, which linger, start
// one after the other, as the answers come in.
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
			if !m.leadership.is(epoch) || m.histories[name] != history || m.pollCancels[name] != nil {
				return
			}
			if response := ack.GetPoll(); response.GetNode() != nil && !response.Stale {
				m.handlePollAnswer(name, history, response.Node)
				m.startPollingAfter(name, history.state.GetAddr(), delay, response.Node)
				return
			}
			m.startPolling(name, history.state.GetAddr())
		})
	}
}

func milliseconds(d time.Duration) uint64 { return uint64(d / time.Millisecond) }

// pollLinger is how long a poll stays at a node: with many nodes longer, so that a
// quiet mesh costs the master little.
func (m *Master) pollLinger() time.Duration {
	perNode := time.Duration(len(m.histories)) * m.options.PollLingerPerNode
	return max(m.options.PollLinger, min(perNode, m.options.MaxPollLinger))
}

func (m *Master) startPolling(name, addr string) { m.startPollingAfter(name, addr, 0, nil) }

// startPollingAfter starts a node's poller unless it has one; state is what the
// node said just now, or nil.
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

// poller polls one node, again as soon as an answer has been handled, until its
// context ends. Its goroutine and the master's take turns with the fields below
// node: the former waits while the latter handles an answer.
type poller struct {
	master *Master
	name   string
	epoch  uint64
	node   meshpb.Node
	// grace is how much longer than it lingers a poll may take.
	grace time.Duration

	// incarnation and seq are the node's last report; a poll lingers until it has
	// another. With seq 0 nothing was reported yet.
	incarnation string
	seq         uint64
	// lastEndpoint is told to a node that knows no endpoint.
	lastEndpoint *meshpb.Endpoint
	linger       time.Duration
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
			if ctx.Err() == nil && p.master.leadership.is(p.epoch) {
				p.handle(response, err, failed)
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

// sleep waits; false means that ctx ended first.
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

// handle takes an answer on the master's goroutine.
func (p *poller) handle(response *meshpb.PollResponse, err error, failed bool) {
	m := p.master
	history := m.histories[p.name]
	if err == nil && response.Stale {
		if response.Epoch > p.epoch {
			m.options.Log.Warn("node follows a higher epoch", "node", p.name, "epoch", response.Epoch)
			return
		}
		// Another node answers at that address.
		history.state.Addr = ""
	}
	if failed {
		m.handlePollFailure(p.name, history)
		return
	}
	m.handlePollAnswer(p.name, history, response.Node)
	p.incarnation, p.seq, p.lastEndpoint = response.Node.Incarnation, response.Node.Seq, nil
	p.linger = m.pollLinger()
	if response.Node.Endpoint == nil {
		p.lastEndpoint = history.lastEndpoint
	}
}

func (m *Master) handlePollAnswer(name string, history *nodeHistory, state *meshpb.NodeState) {
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

func (m *Master) handlePollFailure(name string, history *nodeHistory) {
	wasReachable := history.reachable
	history.recordPollFailure(m.options.Now(), m.options.historyRules())
	if wasReachable && !history.reachable {
		m.options.Log.Warn("node unreachable", "node", name, "failedPolls", history.pollFailures)
		delete(m.progress, name)
	}
	if !history.reachable && m.options.Now()-history.lastContact > forgetAfterLingers*m.options.PollLinger {
		m.stopPolling(name)
		delete(m.histories, name)
	}
	m.scheduleMerge()
}
