package meshpb

import "google.golang.org/protobuf/proto"

// withoutEndpoints copies what a view has beside its endpoints and what only a
// next master needs.
func (x *View) withoutEndpoints() *View {
	return &View{
		Epoch:         x.Epoch,
		Version:       x.Version,
		ConfigVersion: x.ConfigVersion,
		Master:        x.Master,
		Nodes:         x.Nodes,
		Membership:    x.Membership,
		HotKeys:       x.HotKeys,
	}
}

// Since returns the difference from old, a view of the same epoch, to x.
func (x *View) Since(old *View) *View {
	difference := x.withoutEndpoints()
	difference.BaseVersion = old.Version
	if x.Membership.GetVersion() == old.Membership.GetVersion() {
		difference.Membership = nil
	}
	before := make(map[string]*Endpoint, len(old.Endpoints))
	for _, endpoint := range old.Endpoints {
		before[endpoint.Id] = endpoint
	}
	for _, endpoint := range x.Endpoints {
		if previous := before[endpoint.Id]; previous == nil || !proto.Equal(previous, endpoint) {
			difference.Endpoints = append(difference.Endpoints, endpoint)
		}
		delete(before, endpoint.Id)
	}
	for id := range before {
		difference.Removed = append(difference.Removed, id)
	}
	return difference
}

// ApplyTo returns the complete view that x, a difference, makes of old, the view
// of its base version.
func (x *View) ApplyTo(old *View) *View {
	complete := x.withoutEndpoints()
	if complete.Membership == nil {
		complete.Membership = old.Membership
	}
	replaced := make(map[string]bool, len(x.Removed)+len(x.Endpoints))
	for _, id := range x.Removed {
		replaced[id] = true
	}
	for _, endpoint := range x.Endpoints {
		replaced[endpoint.Id] = true
	}
	for _, endpoint := range old.Endpoints {
		if !replaced[endpoint.Id] {
			complete.Endpoints = append(complete.Endpoints, endpoint)
		}
	}
	complete.Endpoints = append(complete.Endpoints, x.Endpoints...)
	return complete
}

// ForNodes returns the view as nodes get it: without what only the next master
// needs.
func (x *View) ForNodes() *View {
	lean := x.withoutEndpoints()
	lean.Endpoints = x.Endpoints
	return lean
}
