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
func (a *Agent) PublishView(_ context.Context, q *meshpb.PublishViewRequest) (*meshpb.PublishViewResponse, error) {
	v := &meshpb.View{}
	if err := proto.Unmarshal(q.Packed, v); err != nil {
		return nil, Error.Wrap(err)
	}
	ok := false
	if q.To == "" || q.To == a.Name {
		// The master's epoch may be later than the one that the view was made under.
		ok = a.applyView(v, max(q.Epoch, v.Epoch))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return &meshpb.PublishViewResponse{Ok: ok, Epoch: a.view.GetEpoch(), Version: a.view.GetVersion()}, nil
}

// applyView takes a view from the master of an epoch, unless the node holds a
// newer one. It tells whether the node holds this view now.
func (a *Agent) applyView(v *meshpb.View, masterEpoch uint64) bool {
	v, held := a.replaceView(v, masterEpoch)
	if v == nil {
		return held
	}
	a.trace(changetrace.KindView, v.Epoch, v.Version)
	a.OnView(v)
	return true
}

// replaceView puts a view in place of the one before. It returns the complete
// view, or nil if it was not replaced, and whether the node holds it already.
func (a *Agent) replaceView(v *meshpb.View, masterEpoch uint64) (replaced *meshpb.View, held bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.acceptEpoch(masterEpoch) {
		return nil, false
	}
	current := a.view
	if current != nil && current.Epoch == v.Epoch && current.Version == v.Version {
		return nil, true
	}
	if current != nil && (v.Epoch < current.Epoch || v.Epoch == current.Epoch && v.Version < current.Version) {
		return nil, false
	}
	if v.BaseVersion > 0 {
		if current == nil || current.Epoch != v.Epoch || current.Version != v.BaseVersion {
			return nil, false
		}
		v = v.Onto(current)
	}
	a.view = v
	return v, true
}
