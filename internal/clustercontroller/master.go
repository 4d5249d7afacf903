package clustercontroller

import (
	"context"
	"time"

	"corkcove/internal/hotkeys"
	"corkcove/internal/lifecycle"
	"corkcove/internal/logring"
	"corkcove/internal/mailbox"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// Master polls the nodes and sends them views and configurations while this member
// owns shard 0. All methods run on the goroutine of its mailbox.
type Master struct {
	// Mailbox is where calls from other goroutines are posted; the caller of
	// NewMaster runs it, with Tick.
	Mailbox *mailbox.Mailbox

	options Options
	clients *rpc.Clients
	store   ViewStore

	leadership leadership
	// histories has the nodes by name.
	histories map[string]*nodeHistory
	// progress has what each node holds, of those that were heard or sent something.
	progress map[string]*nodeProgress
	// pollCancels ends the poller of each node that has one.
	pollCancels map[string]context.CancelFunc

	userStates      map[string]string
	listedEndpoints []*meshpb.Endpoint
	membership      *meshpb.Membership
	// storedVersions names what shard 0 kept when this member became the master.
	storedVersions *meshpb.StoredVersions

	merge   endpointMerge
	hotKeys hotKeyState
	views   viewState
	config  configState

	// batches has the requests that go out together next; nil while there are none.
	batches map[batchKey]*batch
	// relayRetryAt is when a member that did not answer may be a relay again.
	relayRetryAt map[string]time.Duration
}

// hotKeyState is which keys' reads are spread now.
type hotKeyState struct {
	tracker   *hotkeys.Tracker
	current   []*meshpb.HotKey
	updatedAt time.Duration
}

// NewMaster creates the controller of a core member that is not the master yet.
func NewMaster(o Options, box *mailbox.Mailbox, clients *rpc.Clients, store ViewStore) *Master {
	return &Master{
		Mailbox:      box,
		options:      o,
		clients:      clients,
		store:        store,
		histories:    map[string]*nodeHistory{},
		progress:     map[string]*nodeProgress{},
		pollCancels:  map[string]context.CancelFunc{},
		userStates:   map[string]string{},
		merge:        endpointMerge{ejections: ejections{}},
		hotKeys:      hotKeyState{tracker: hotkeys.NewTracker(o.HotKeys)},
		views:        viewState{current: &meshpb.View{}},
		relayRetryAt: map[string]time.Duration{},
	}
}

// Tick does what is due by time: it sends what nodes lack, and makes a new view
// once enough time has passed since the last one and the endpoints have settled.
func (m *Master) Tick() {
	now := m.options.Now()
	if !m.leadership.active || !m.checkLease() {
		return
	}
	if m.views.saving || now-m.leadership.since < m.takeoverTime() {
		// Configurations do not wait for views.
		for name, history := range m.histories {
			m.sendConfig(name, history)
		}
		return
	}
	m.endRejoining(now)
	for name, history := range m.histories {
		m.sendUpdates(name, history)
	}
	m.refreshEjections(now)
	m.updateHotKeys(now)
	if m.viewDue(now) && m.viewOutdated() {
		m.saveAndPublishView(m.nextView())
	}
}

// SetMembership takes a change of the core's members.
func (m *Master) SetMembership(membership *meshpb.Membership) { m.membership = membership }

// SetUserStates takes all user states, by node; the node whose state was just taken
// back starts with a clean history.
func (m *Master) SetUserStates(states map[string]string, node string) {
	if history := m.histories[node]; history != nil && states[node] == "" {
		history.forgetCrashes()
	}
	m.options.Log.Info("set user state", "node", node, "state", states[node])
	m.userStates = states
	m.scheduleMerge()
}

// SetListedEndpoints takes a complete reading of the platform's list; until the
// next one it stays in force.
func (m *Master) SetListedEndpoints(endpoints []*meshpb.Endpoint) {
	if !m.leadership.active {
		return
	}
	m.listedEndpoints = endpoints
	m.scheduleMerge()
}

// KnowsNode tells whether a node of that name has registered or was in the last
// view.
func (m *Master) KnowsNode(name string) bool { return m.histories[name] != nil }

// HotKeys returns the hot keys, and how many widths were raised and lowered.
func (m *Master) HotKeys() ([]*meshpb.HotKey, *meshpb.HotCounts) {
	return m.hotKeys.current, m.hotKeys.tracker.Counts()
}

// updateHotKeys looks at the keys that nodes read most, once in a view interval.
func (m *Master) updateHotKeys(now time.Duration) {
	if now-m.hotKeys.updatedAt < m.options.ViewInterval {
		return
	}
	m.hotKeys.updatedAt = now
	keys, changes := m.hotKeys.tracker.Update(m.keyRates, m.merge.endpoints, now, time.Now().UnixMicro())
	for _, change := range changes {
		m.options.Log.Info("hot key width changed", "key", logring.Hex(change.Key), "service", change.Service, "previousWidth", change.From, "width", change.To, "reason", change.Reason)
	}
	if !hotkeys.SameWidths(keys, m.hotKeys.current) {
		m.merge.changedAt = now
	}
	m.hotKeys.current = keys
}

// keyRates goes through what each reachable node reads; it is an iter.Seq.
func (m *Master) keyRates(yield func([]*meshpb.KeyRate) bool) {
	for _, history := range m.histories {
		if rates := history.state.GetKeyRates(); history.reachable && len(rates) > 0 && !yield(rates) {
			return
		}
	}
}

func (m *Master) officialState(name string, history *nodeHistory) lifecycle.State {
	return history.officialState(lifecycle.State(m.userStates[name]))
}

func (m *Master) trace(what string, version uint64) {
	if m.options.Trace != nil {
		m.options.Trace(what, m.leadership.epoch, version)
	}
}
