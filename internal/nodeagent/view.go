package nodeagent

import (
	"context"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/changetrace"
	"corkcove/internal/rpc/meshpb"
)

// PublishView applies a view from the master, or the difference to the view that
// the node holds. The answer always names the view that is held after it; Ok tells
// whether that is the one that was sent.
func (a *Agent) PublishView(_ context.Context, request *meshpb.PublishViewRequest) (*meshpb.PublishViewResponse, error) {
	view := &meshpb.View{}
	if err := proto.Unmarshal(request.Packed, view); err != nil {
		return nil, Error.Wrap(err)
	}
	ok := false
	if request.To == "" || request.To == a.Name {
		// The master's epoch may be later than the one that the view was made under.
		ok = a.applyView(view, max(request.Epoch, view.Epoch))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return &meshpb.PublishViewResponse{Ok: ok, Epoch: a.view.GetEpoch(), Version: a.view.GetVersion()}, nil
}

// applyView takes a view from the master of an epoch, unless the node holds a
// newer one. It tells whether the node holds this view now.
func (a *Agent) applyView(view *meshpb.View, masterEpoch uint64) bool {
	view, held := a.replaceView(view, masterEpoch)
	if view == nil {
		return held
	}
	a.trace(changetrace.KindView, view.Epoch, view.Version)
	a.OnView(view)
	return true
}

// replaceView puts a view in place of the one before. It returns the complete
// view, or nil if it was not replaced, and whether the node holds it already.
func (a *Agent) replaceView(view *meshpb.View, masterEpoch uint64) (replaced *meshpb.View, held bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.acceptEpoch(masterEpoch) {
		return nil, false
	}
	current := a.view
	if current != nil && current.Epoch == view.Epoch && current.Version == view.Version {
		return nil, true
	}
	if current != nil && (view.Epoch < current.Epoch || view.Epoch == current.Epoch && view.Version < current.Version) {
		return nil, false
	}
	if view.BaseVersion > 0 {
		if current == nil || current.Epoch != view.Epoch || current.Version != view.BaseVersion {
			return nil, false
		}
		view = view.ApplyTo(current)
	}
	a.view = view
	return view, true
}
