package nodeagent

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// pendingPoll is a poll that is being answered.
type pendingPoll struct {
	stateChanged <-chan struct{}
	// superseded is closed when a newer poll comes.
	superseded chan struct{}
	// lingers tells that the master knows the state already, so that the answer
	// waits for a change.
	lingers bool
}

// Poll tells the master the node's state. If the master knows that already, the
// answer comes when it changes, another poll comes, or the poll's linger time is
// over. Stale in the answer says that the poll was meant for another node or comes
// from a master that has been replaced.
func (a *Agent) Poll(ctx context.Context, request *meshpb.PollRequest) (*meshpb.PollResponse, error) {
	poll, masterEpoch := a.beginPoll(request)
	if poll == nil {
		return &meshpb.PollResponse{Stale: true, Epoch: masterEpoch}, nil
	}
	if poll.lingers {
		poll.wait(ctx, milliseconds(request.LingerMs))
	}
	return a.finishPoll(ctx, poll, request)
}

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }

// beginPoll makes a poll the newest one, or returns nil for a stale one, with the
// highest epoch seen.
func (a *Agent) beginPoll(request *meshpb.PollRequest) (*pendingPoll, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if request.Name != a.Name || !a.acceptEpoch(request.Epoch) {
		return nil, a.masterEpoch
	}
	poll := &pendingPoll{
		stateChanged: a.stateChanged,
		superseded:   make(chan struct{}),
		lingers:      request.Incarnation == a.state.Incarnation && request.Seq == a.state.Seq,
	}
	// While a poll lingers, or another is promised, the node does not register.
	a.polledUntil = a.Now() + milliseconds(request.NextPollMs)
	if poll.lingers {
		a.polledUntil += milliseconds(request.LingerMs)
	}
	if a.newestPoll != nil {
		close(a.newestPoll.superseded)
	}
	a.newestPoll = poll
	if a.lastEndpoint == nil {
		a.lastEndpoint = request.LastEndpoint
	}
	return poll, a.masterEpoch
}

func (p *pendingPoll) wait(ctx context.Context, linger time.Duration) {
	timer := time.NewTimer(linger)
	defer timer.Stop()
	select {
	case <-p.stateChanged:
	case <-p.superseded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (a *Agent) finishPoll(ctx context.Context, poll *pendingPoll, request *meshpb.PollRequest) (*meshpb.PollResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	newerUntil := time.Duration(0)
	if a.newestPoll == poll {
		a.newestPoll = nil
		if ctx.Err() != nil {
			// The master is gone: the node looks for another at once.
			a.polledUntil = neverPolled
			return nil, ctx.Err()
		}
	} else if a.newestPoll != nil {
		newerUntil = a.polledUntil
	}
	a.polledUntil = max(a.Now()+milliseconds(request.NextPollMs), newerUntil)
	state := proto.Clone(a.state).(*meshpb.NodeState)
	state.ViewEpoch, state.ViewVersion, state.ConfigVersion = a.view.GetEpoch(), a.view.GetVersion(), a.configVersion
	return &meshpb.PollResponse{Node: state, Epoch: a.masterEpoch}, nil
}

// PollOverdue tells that no master polls this node.
func (a *Agent) PollOverdue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Now()-a.polledUntil > a.RegisterAfter
}
