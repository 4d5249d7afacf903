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
// owns shard 0. All methods must run on the goroutine of its mailbox.
type Master struct {
	// Mailbox receives calls from other goroutines. The caller of NewMaster runs it,
	// with Tick as its periodic callback.
	Mailbox *mailbox.Mailbox

	options Options
	clients *rpc.Clients
	store   ViewStore

	leadership leadership
	// histories holds the history of each known node, by name.
	histories map[string]*nodeHistory
	// progress records by name what each node holds, for the nodes that this master
	// has heard from or sent something to.
	progress map[string]*nodeProgress
	// pollCancels holds the functions that stop the running pollers, by node name.
	pollCancels map[string]context.CancelFunc

	// userStates holds the states set by operators, by node name.
	userStates map[string]string
	// listedEndpoints holds the endpoints of the platform's list.
	listedEndpoints []*meshpb.Endpoint
	membership      *meshpb.Membership
	// storedVersions identifies the view and configuration that shard 0 held when this
	// member became the master.
	storedVersions *meshpb.StoredVersions

	merge   endpointMerge
	hotKeys hotKeyState
	views   viewState
	config  configState

	// batches holds the requests that wait for the next send; nil while there are none.
	batches map[batchKey]*batch
	// relayRetryAt is the time at which a member that did not answer may be used as a
	// relay again, by address.
	relayRetryAt map[string]time.Duration
}

// hotKeyState holds the keys whose reads are currently spread over several endpoints.
type hotKeyState struct {
	tracker   *hotkeys.Tracker
	current   []*meshpb.HotKey
	updatedAt time.Duration
}

// NewMaster returns the controller of a core member. It sends nothing until
// BecomeMaster is called.
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

// Tick runs the periodic work: it sends nodes the updates that they lack, and makes
// a new view once enough time has passed since the last one and the endpoints have
// stopped changing for Options.SettleTime.
func (m *Master) Tick() {
	now := m.options.Now()
	if !m.leadership.active || !m.checkLease() {
		return
	}
	if m.views.saving || now-m.leadership.since < m.takeoverDelay() {
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

// SetMembership sets the current members of the core.
func (m *Master) SetMembership(membership *meshpb.Membership) { m.membership = membership }

// SetUserStates replaces the user states of all nodes, by name. changedNode is the
// node whose state an operator has just set; if that removed its user state, its
// crash history is cleared.
func (m *Master) SetUserStates(states map[string]string, changedNode string) {
	if history := m.histories[changedNode]; history != nil && states[changedNode] == "" {
		history.clearCrashes()
	}
	m.options.Log.Info("set user state", "node", changedNode, "state", states[changedNode])
	m.userStates = states
	m.scheduleMerge()
}

// SetListedEndpoints replaces the endpoints of the platform's list with a newly read,
// complete list, which stays in force until the next call. A member that is not the
// master ignores it.
func (m *Master) SetListedEndpoints(endpoints []*meshpb.Endpoint) {
	if !m.leadership.active {
		return
	}
	m.listedEndpoints = endpoints
	m.scheduleMerge()
}

// KnowsNode tells whether a node of that name has registered or was in the stored
// view, and has not been forgotten since.
func (m *Master) KnowsNode(name string) bool { return m.histories[name] != nil }

// HotKeys returns the hot keys, and counts of how often widths were raised or lowered
// and how often a key was refused because too many others were hot.
func (m *Master) HotKeys() ([]*meshpb.HotKey, *meshpb.HotCounts) {
	return m.hotKeys.current, m.hotKeys.tracker.Counts()
}

// updateHotKeys recomputes the hot keys from the read rates that the nodes report, at
// most once per Options.ViewInterval.
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

// keyRates iterates over the key read rates reported by each reachable node. It is an
// iter.Seq.
func (m *Master) keyRates(yield func([]*meshpb.KeyRate) bool) {
	for _, history := range m.histories {
		if rates := history.state.GetKeyRates(); history.reachable && len(rates) > 0 && !yield(rates) {
			return
		}
	}
}

// officialState returns the state that a node's endpoint has in the view, after
// applying the node's history and its user state.
func (m *Master) officialState(name string, history *nodeHistory) lifecycle.State {
	return history.officialState(lifecycle.State(m.userStates[name]))
}

func (m *Master) trace(action string, version uint64) {
	if m.options.Trace != nil {
		m.options.Trace(action, m.leadership.epoch, version)
	}
}
