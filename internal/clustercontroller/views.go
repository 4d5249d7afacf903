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
	// maxRecentViews is how many views are kept, so that a node gets the difference
	// to the one that it holds.
	maxRecentViews = 24
	// saveViewTimeout bounds the commit of a view in shard 0.
	saveViewTimeout = 2 * time.Second
)

// viewState is the view in force and what is kept to send it.
type viewState struct {
	current *meshpb.View
	// recent has the views of this master's epoch, the oldest first.
	recent []*meshpb.View
	// lastAt is when a view was last published, or could not be saved.
	lastAt time.Duration
	saving bool
	packed packedViews
}

// View returns the view in force, which an earlier master may have made; it must
// not be changed.
func (m *Master) View() *meshpb.View { return m.views.current }

// viewDue tells whether a view may be made now: not too soon after the last one, nor
// while changes come in.
func (m *Master) viewDue(now time.Duration) bool {
	return now-m.views.lastAt >= max(m.options.ViewInterval, m.relayedSendTime()) &&
		now-m.merge.changedAt >= m.options.SettleTime &&
		!m.merge.pending
}

// viewOutdated tells whether the nodes would act on a new view.
func (m *Master) viewOutdated() bool {
	view := m.views.current
	return view.Epoch != m.leadership.epoch ||
		endpointsDiffer(m.merge.endpoints, view.Endpoints) ||
		!hotkeys.SameWidths(m.hotKeys.current, view.HotKeys) ||
		view.Membership.GetVersion() != m.membership.GetVersion() ||
		len(view.NodeAddresses) != len(m.histories)
}

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

func formatNodeAddress(name, addr string) string { return name + " " + addr }

func splitNodeAddress(s string) (name, addr string) {
	name, addr, _ = strings.Cut(s, " ")
	return name, addr
}

// saveView saves a view in shard 0 and then publishes it.
func (m *Master) saveView(view *meshpb.View) {
	m.views.saving = true
	epoch := m.leadership.epoch
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), saveViewTimeout)
		defer stop()
		err := m.store.SaveView(ctx, view)
		m.Mailbox.Post(func() {
			if !m.leadership.activeInEpoch(epoch) {
				return
			}
			m.views.saving = false
			if err != nil {
				m.views.lastAt = m.options.Now()
				return
			}
			m.publishView(view)
		})
	}()
}

func (m *Master) publishView(view *meshpb.View) {
	m.views.current, m.views.lastAt = view, m.options.Now()
	m.trace("published", view.Version)
	m.views.recent = append(m.views.recent, view)
	if len(m.views.recent) > maxRecentViews {
		m.views.recent = append([]*meshpb.View(nil), m.views.recent[1:]...)
	}
	for name, history := range m.histories {
		m.sendUpdates(name, history)
	}
}

// sendView sends a node the view in force, unless it holds it or it is under way.
func (m *Master) sendView(name string, history *nodeHistory) {
	if !m.checkLease() {
		return
	}
	progress := m.progressOf(name)
	if !m.needsView(progress) || history.state.GetAddr() == "" {
		return
	}
	progress.viewInFlight = true
	version, epoch, base := m.views.current.Version, m.leadership.epoch, progress.viewVersion
	key := batchKey{kind: viewBatch, baseVersion: base, epoch: m.views.current.Epoch, version: version}
	request := &meshpb.RelayRequest{View: &meshpb.PublishViewRequest{Epoch: epoch, Packed: m.packedViewSince(base)}}
	m.enqueue(key, request, &meshpb.RelayTarget{Name: name, Addr: history.state.Addr}, func(ack *meshpb.RelayAck) {
		progress.viewInFlight = false
		response := ack.GetView()
		if response == nil || m.leadership.epoch != epoch {
			return
		}
		if !response.Ok {
			progress.viewRefused(response, epoch)
			return
		}
		progress.viewVersion, progress.withoutView = max(progress.viewVersion, version), false
		if m.leadership.active {
			m.sendUpdates(name, history)
		}
	})
}

func (m *Master) needsView(progress *nodeProgress) bool {
	view := m.views.current
	if view.Version == 0 || progress.viewInFlight || progress.viewVersion >= view.Version {
		return false
	}
	// Until this master has made a view, nodes keep the last one; one that has none,
	// since it has just started, is given that.
	return view.Epoch == m.leadership.epoch || progress.withoutView
}

// viewRefused notes what a node holds instead: a newer view than the one that was
// sent, or one that this does not stand on.
func (p *nodeProgress) viewRefused(response *meshpb.PublishViewResponse, epoch uint64) {
	p.viewVersion = 0
	if response.Epoch == epoch {
		p.viewVersion = response.Version
	}
}

// packedViews has a view marshaled once for all nodes that hold the same one before:
// by the version of that, 0 for none.
type packedViews struct {
	epoch, version uint64
	byBase         map[uint64][]byte
}

// packedViewSince marshals the view in force as the difference to an earlier one of
// this epoch, or in full where that is not kept.
func (m *Master) packedViewSince(base uint64) []byte {
	view := m.views.current
	if p := m.views.packed; p.byBase == nil || p.epoch != view.Epoch || p.version != view.Version {
		m.views.packed = packedViews{epoch: view.Epoch, version: view.Version, byBase: map[uint64][]byte{}}
	}
	before := m.recentView(base)
	if before == nil {
		base = 0
	}
	packed := m.views.packed.byBase[base]
	if packed == nil {
		packed = m.marshalView(before)
		m.views.packed.byBase[base] = packed
	}
	return packed
}

func (m *Master) recentView(version uint64) *meshpb.View {
	for _, view := range m.views.recent {
		if view.Version == version && view.Epoch == m.leadership.epoch {
			return view
		}
	}
	return nil
}

func (m *Master) marshalView(before *meshpb.View) []byte {
	var view *meshpb.View
	if before != nil {
		view = m.views.current.Since(before)
	} else {
		view = m.views.current.ForNodes()
	}
	packed, err := proto.Marshal(view)
	if err != nil {
		m.options.Log.Warn("failed to marshal view", "version", m.views.current.Version, "error", err)
	}
	return packed
}
