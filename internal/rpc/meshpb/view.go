package meshpb

import "google.golang.org/protobuf/proto"

// Since gives what changed from one view to the next of the same epoch.
func (x *View) Since(old *View) *View {
	d := &View{Epoch: x.Epoch, Version: x.Version, Base: old.Version, ConfigVersion: x.ConfigVersion, Master: x.Master, Nodes: x.Nodes, Hot: x.Hot}
	if x.Membership.GetVersion() != old.Membership.GetVersion() {
		d.Membership = x.Membership
	}
	had := make(map[string]*Endpoint, len(old.Endpoints))
	for _, e := range old.Endpoints {
		had[e.Id] = e
	}
	for _, e := range x.Endpoints {
		if o := had[e.Id]; o == nil || !proto.Equal(o, e) {
			d.Endpoints = append(d.Endpoints, e)
		}
		delete(had, e.Id)
	}
	for id := range had {
		d.Gone = append(d.Gone, id)
	}
	return d
}

// Onto makes the whole view of a difference and the view that it stands on.
func (x *View) Onto(old *View) *View {
	v := &View{Epoch: x.Epoch, Version: x.Version, ConfigVersion: x.ConfigVersion, Master: x.Master, Nodes: x.Nodes, Membership: x.Membership, Hot: x.Hot}
	if v.Membership == nil {
		v.Membership = old.Membership
	}
	drop := make(map[string]bool, len(x.Gone)+len(x.Endpoints))
	for _, id := range x.Gone {
		drop[id] = true
	}
	for _, e := range x.Endpoints {
		drop[e.Id] = true
	}
	for _, e := range old.Endpoints {
		if !drop[e.Id] {
			v.Endpoints = append(v.Endpoints, e)
		}
	}
	v.Endpoints = append(v.Endpoints, x.Endpoints...)
	return v
}

// Lean is the view without what only a next master needs.
func (x *View) Lean() *View {
	return &View{Epoch: x.Epoch, Version: x.Version, ConfigVersion: x.ConfigVersion, Master: x.Master, Nodes: x.Nodes, Membership: x.Membership, Endpoints: x.Endpoints, Hot: x.Hot}
}
