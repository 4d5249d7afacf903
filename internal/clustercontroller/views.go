package clustercontroller

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/hotkeys"
	"corkcove/internal/rpc/meshpb"
)

const (
	// maxRecentViews is how many published views the master keeps as bases for
	// deltas. A node that holds an older one receives a complete view.
	maxRecentViews = 24
	// saveViewTimeout limits how long the commit of a view to shard 0 may take.
	saveViewTimeout = 2 * time.Second
)

// viewState is the current view and what the master needs to send it to nodes.
type viewState struct {
	current *meshpb.View
	// recent holds the views that were published in this master's epoch, oldest
	// first, at most maxRecentViews.
	recent []*meshpb.View
	// lastAttemptAt is the time at which a view was last published or failed to be
	// saved.
	lastAttemptAt time.Duration
	// saving is set while a view is being committed to shard 0.
	saving    bool
	marshaled marshaledViews
}

// View returns the current view, with version 0 if there is none. It may come from
// an earlier master. The caller must not modify it.
func (m *Master) View() *meshpb.View { return m.views.current }

// viewDue reports whether a new view may be published now: the shortest interval
// since the last attempt has passed, endpoints and hot keys have not changed for the
// settle time, and no merge is scheduled.
func (m *Master) viewDue(now time.Duration) bool {
	return now-m.views.lastAttemptAt >= max(m.options.ViewInterval, m.relayedSendTime()) &&
		now-m.merge.changedAt >= m.options.SettleTime &&
		!m.merge.pending
}

// viewOutdated reports whether the current view differs from the master's state in
// something that matters to the nodes or to the next master.
func (m *Master) viewOutdated() bool {
	view := m.views.current
	return view.Epoch != m.leadership.epoch ||
		endpointsDiffer(m.merge.endpoints, view.Endpoints) ||
		!hotkeys.SameWidths(m.hotKeys.current, view.HotKeys) ||
		view.Membership.GetVersion() != m.membership.GetVersion() ||
		len(view.NodeAddresses) != len(m.histories)
}

// nextView builds the successor of the current view from the master's state.
func (m *Master) nextView() *meshpb.View {
	view := &meshpb.View{
		Epoch:         m.leadership.epoch,
		Version:       m.views.current.Version + 1,
		Endpoints:     m.merge.endpoints,
		Membership:    m.membership,
		ConfigVersion: m.config.version,
		Master:        m.options.SelfAddr,
		HotKeys:       m.hotKeys.current,
		Nodes:         uint32(len(m.histories)),
	}
	for name, history := range m.histories {
		view.NodeAddresses = append(view.NodeAddresses, formatNodeAddress(name, history.state.GetAddr()))
	}
	return view
}

// formatNodeAddress formats an entry of View.NodeAddresses.
func formatNodeAddress(name, addr string) string { return name + " " + addr }

// parseNodeAddress splits an entry of View.NodeAddresses into name and address.
func parseNodeAddress(s string) (name, addr string) {
	name, addr, _ = strings.Cut(s, " ")
	return name, addr
}

// saveAndPublishView commits a view to shard 0 and publishes it after that. The
// commit runs on a goroutine of its own, and its result is ignored if this member is
// no longer the master under the same epoch by then. After a failed commit, the next
// attempt waits for the view interval again.
func (m *Master) saveAndPublishView(view *meshpb.View) {
	m.views.saving = true
	epoch := m.leadership.epoch
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), saveViewTimeout)
		defer cancel()
		err := m.store.SaveView(ctx, view)
		m.Mailbox.Post(func() {
			if !m.leadership.activeInEpoch(epoch) {
				return
			}
			m.views.saving = false
			if err != nil {
				m.views.lastAttemptAt = m.options.Now()
				return
			}
			m.publishView(view)
		})
	}()
}

// publishView makes a committed view the current one and sends it to all nodes.
func (m *Master) publishView(view *meshpb.View) {
	m.views.current, m.views.lastAttemptAt = view, m.options.Now()
	m.trace("published", view.Version)
	m.views.recent = append(m.views.recent, view)
	if len(m.views.recent) > maxRecentViews {
		m.views.recent = append([]*meshpb.View(nil), m.views.recent[1:]...)
	}
	for name, history := range m.histories {
		m.sendUpdates(name, history)
	}
}

// sendView sends the current view to a node, unless the node already holds it or a
// call with a view is in flight.
func (m *Master) sendView(name string, history *nodeHistory) {
	if !m.checkLease() {
		return
	}
	progress := m.progressOf(name)
	if !m.needsView(progress) || history.state.GetAddr() == "" {
		return
	}
	progress.viewInFlight = true
	version, epoch, baseVersion := m.views.current.Version, m.leadership.epoch, progress.viewVersion
	key := batchKey{kind: viewBatch, baseVersion: baseVersion, epoch: m.views.current.Epoch, version: version}
	request := &meshpb.RelayRequest{View: &meshpb.PublishViewRequest{Epoch: epoch, Packed: m.marshaledViewSince(baseVersion)}}
	m.enqueue(key, request, &meshpb.RelayTarget{Name: name, Addr: history.state.Addr}, func(ack *meshpb.RelayAck) {
		progress.viewInFlight = false
		response := ack.GetView()
		if response == nil || m.leadership.epoch != epoch {
			return
		}
		if !response.Ok {
			progress.recordViewRejection(response, epoch)
			return
		}
		progress.viewVersion, progress.withoutView = max(progress.viewVersion, version), false
		if m.leadership.active {
			m.sendUpdates(name, history)
		}
	})
}

// needsView reports whether the current view should be sent to a node now.
func (m *Master) needsView(progress *nodeProgress) bool {
	view := m.views.current
	if view.Version == 0 || progress.viewInFlight || progress.viewVersion >= view.Version {
		return false
	}
	// The view of an earlier master is sent only to nodes that have no view because
	// they have just started. All others keep what they have until this master
	// publishes its first view.
	return view.Epoch == m.leadership.epoch || progress.withoutView
}

// recordViewRejection records the version that a node holds after it rejected a view:
// its own is newer or is not the base version of the delta, the node follows a newer
// master, or another node answered at the address.
func (p *nodeProgress) recordViewRejection(response *meshpb.PublishViewResponse, epoch uint64) {
	p.viewVersion = 0
	if response.Epoch == epoch {
		p.viewVersion = response.Version
	}
}

// marshaledViews caches the encodings of the current view, so that each is marshaled
// only once for all nodes that hold the same base version.
type marshaledViews struct {
	// epoch and version identify the view.
	epoch, version uint64
	// byBaseVersion maps the base version of a delta to its encoding; 0 stands for the
	// complete view.
	byBaseVersion map[uint64][]byte
}

// marshaledViewSince returns the encoding of the current view as a delta from an
// earlier version of this epoch, or the complete view if that version is not kept.
func (m *Master) marshaledViewSince(baseVersion uint64) []byte {
	view := m.views.current
	if cached := m.views.marshaled; cached.byBaseVersion == nil || cached.epoch != view.Epoch || cached.version != view.Version {
		m.views.marshaled = marshaledViews{epoch: view.Epoch, version: view.Version, byBaseVersion: map[uint64][]byte{}}
	}
	base := m.recentView(baseVersion)
	if base == nil {
		baseVersion = 0
	}
	marshaled := m.views.marshaled.byBaseVersion[baseVersion]
	if marshaled == nil {
		marshaled = m.marshalView(base)
		m.views.marshaled.byBaseVersion[baseVersion] = marshaled
	}
	return marshaled
}

// recentView returns the view of that version if it was published in this epoch and is
// still kept, otherwise nil.
func (m *Master) recentView(version uint64) *meshpb.View {
	for _, view := range m.views.recent {
		if view.Version == version && view.Epoch == m.leadership.epoch {
			return view
		}
	}
	return nil
}

// marshalView encodes the current view as a delta from base, or completely if base is
// nil.
func (m *Master) marshalView(base *meshpb.View) []byte {
	var view *meshpb.View
	if base != nil {
		view = m.views.current.Since(base)
	} else {
		view = m.views.current.ForNodes()
	}
	marshaled, err := proto.Marshal(view)
	if err != nil {
		m.options.Log.Warn("failed to marshal view", "version", m.views.current.Version, "error", err)
	}
	return marshaled
}
