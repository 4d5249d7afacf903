package nodeagent

import (
	"context"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/changetrace"
	"corkcove/internal/rpc/meshpb"
)

// PublishView applies a view from the master: either a complete one or the difference
// from the node's current view. Epoch and Version in the response identify the view
// that is current afterwards, and Ok says whether it is the requested one. The error
// means that the view could not be decoded; nothing has changed then.
func (a *Agent) PublishView(_ context.Context, request *meshpb.PublishViewRequest) (*meshpb.PublishViewResponse, error) {
	view := &meshpb.View{}
	if err := proto.Unmarshal(request.Packed, view); err != nil {
		return nil, Error.Wrap(err)
	}
	ok := false
	if request.To == "" || request.To == a.Name {
		// A new master may send a view that was created in an earlier epoch.
		ok = a.applyView(view, max(request.Epoch, view.Epoch))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return &meshpb.PublishViewResponse{Ok: ok, Epoch: a.view.GetEpoch(), Version: a.view.GetVersion()}, nil
}

// applyView makes a view from the master of masterEpoch the current one, unless that
// is newer. It reports whether the given view is current afterwards.
func (a *Agent) applyView(view *meshpb.View, masterEpoch uint64) bool {
	view, alreadyHeld := a.replaceView(view, masterEpoch)
	if view == nil {
		return alreadyHeld
	}
	a.trace(changetrace.KindView, view.Epoch, view.Version)
	a.OnView(view)
	return true
}

// replaceView replaces the current view if the given one is newer and, for a
// difference, starts from the current one. It returns the new complete view, or nil
// if nothing was replaced; alreadyHeld then says whether the given view was current
// before the call.
func (a *Agent) replaceView(view *meshpb.View, masterEpoch uint64) (replaced *meshpb.View, alreadyHeld bool) {
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
