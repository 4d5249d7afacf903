package nodeagent

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// pendingPoll is a poll that has not been answered yet.
type pendingPoll struct {
	// stateChanged is closed when the state changes that was current on arrival.
	stateChanged <-chan struct{}
	// superseded is closed when a newer poll arrives.
	superseded chan struct{}
	// lingers is true if the master already knows the current state, so the answer
	// waits for a change.
	lingers bool
}

// Poll returns the node's state to the master. If the master already knows that
// state, Poll waits until it changes, a newer poll arrives or the linger time of the
// request has passed. Stale in the response means that the poll was addressed to
// another node or came from a master that has been replaced. Poll returns the error
// of ctx if that ends before a newer poll has arrived.
func (a *Agent) Poll(ctx context.Context, request *meshpb.PollRequest) (*meshpb.PollResponse, error) {
	poll, masterEpoch := a.beginPoll(request)
	if poll == nil {
		return &meshpb.PollResponse{Stale: true, Epoch: masterEpoch}, nil
	}
	a.recordLastEndpoint(request.LastEndpoint)
	if poll.lingers {
		poll.wait(ctx, milliseconds(request.LingerMs))
	}
	return a.finishPoll(ctx, poll, request)
}

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }

// beginPoll registers a poll as the newest one and supersedes the one before. It
// returns nil if the poll is stale. The second result is the highest master epoch
// seen.
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
	// The node does not register while a poll lingers or before the announced next
	// poll is due.
	a.nextPollDue = a.Now() + milliseconds(request.NextPollMs)
	if poll.lingers {
		a.nextPollDue += milliseconds(request.LingerMs)
	}
	if a.newestPoll != nil {
		close(a.newestPoll.superseded)
	}
	a.newestPoll = poll
	return poll, a.masterEpoch
}

// wait blocks until the state changes, a newer poll arrives, linger has passed or
// ctx ends.
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

// finishPoll builds the response to a poll and sets when the next one is due. If a
// newer poll is pending, a later time announced by that one stands.
func (a *Agent) finishPoll(ctx context.Context, poll *pendingPoll, request *meshpb.PollRequest) (*meshpb.PollResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	newerPollDue := time.Duration(0)
	if a.newestPoll == poll {
		a.newestPoll = nil
		if ctx.Err() != nil {
			// The master has dropped the call; the node looks for a master at once.
			a.nextPollDue = longOverdue
			return nil, ctx.Err()
		}
	} else if a.newestPoll != nil {
		newerPollDue = a.nextPollDue
	}
	a.nextPollDue = max(a.Now()+milliseconds(request.NextPollMs), newerPollDue)
	state := proto.Clone(a.state).(*meshpb.NodeState)
	state.ViewEpoch, state.ViewVersion, state.ConfigVersion = a.view.GetEpoch(), a.view.GetVersion(), a.configVersion
	return &meshpb.PollResponse{Node: state, Epoch: a.masterEpoch}, nil
}

// PollOverdue reports whether the next poll has been overdue for longer than
// RegisterAfter, which means that no master polls this node.
func (a *Agent) PollOverdue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Now()-a.nextPollDue > a.RegisterAfter
}
