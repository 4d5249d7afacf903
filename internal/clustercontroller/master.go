package clustercontroller

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/hotkeys"
	"corkcove/internal/logring"
	"corkcove/internal/mailbox"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

type ViewStore interface {
	SaveView(ctx context.Context, v *meshpb.View) error
}

type Options struct {
	ViewInterval time.Duration
	// PerNode lengthens the interval with the number of nodes to tell.
	SendTimePerNode time.Duration
	SettleTime      time.Duration
	TakeoverDelay   time.Duration
	PollLinger      time.Duration
	// LingerPer lengthens a poll with the number of nodes, up to LingerMost.
	PollLingerPerNode time.Duration
	MaxPollLinger     time.Duration
	PollGrace         time.Duration
	UnreachableAfter  time.Duration
	CrashWindow       time.Duration
	CrashLimit        int
	PollFailureLimit  int
	HotKeys           hotkeys.Options
	SelfAddr          string
	Now               func() time.Duration
	// Held tells whether shard 0 is held right now; a master that is not sure
	// of it says nothing to anybody.
	HoldsLease func() bool
	// Reached tells whether another member is in touch; one that is not brings
	// nothing to any node.
	InContact func(addr string) bool
	// Bundle gives what this member holds of what is kept.
	ReadStored func(*meshpb.StoredVersions) StoredPayloads
	Log        logring.Logger
	Trace      func(what string, epoch, version uint64)
}

func (o Options) historyRules() historyRules {
	return historyRules{o.CrashWindow, o.CrashLimit, o.PollFailureLimit, o.UnreachableAfter}
}

// Master runs on its own mailbox; all its fields belong to that goroutine.
type Master struct {
	options Options
	Mailbox *mailbox.Mailbox
	clients *rpc.Clients
	store   ViewStore

	leading     bool
	suspended   bool
	epoch       uint64
	masterSince time.Duration
	histories   map[string]*nodeHistory
	userStates  map[string]string
	pollCancels map[string]context.CancelFunc
	membership  *meshpb.Membership

	listedEndpoints    []*meshpb.Endpoint
	ejections          ejections
	ejectionsUpdatedAt time.Duration
	hotKeysUpdatedAt   time.Duration
	hotKeyTracker      *hotkeys.Tracker
	hotKeys            []*meshpb.HotKey
	view               *meshpb.View
	endpoints          []*meshpb.Endpoint
	storedVersions     *meshpb.StoredVersions
	mergePending       bool
	// rejoining: endpoints that nodes have not found again count as they were.
	rejoining          bool
	endpointsChangedAt time.Duration
	lastViewAt         time.Duration
	savingView         bool

	configVersion     uint64
	packedConfig      []byte
	configPatches     []*meshpb.ConfigPatch
	progress          map[string]*nodeProgress
	recentViews       []*meshpb.View
	packedViews       map[uint64][]byte
	packedViewVersion uint64
	packedViewEpoch   uint64
	batches           map[string]*batch
	relayRetryAt      map[string]time.Duration
}

const maxRecentViews = 24

// rejoin is how long after a takeover a node that has lost its memory may take to
// find its endpoint: a beat and a little more.
const rejoinTimeout = 2 * time.Second

// courier is what the master knows that one life of a node has.
type nodeProgress struct {
	incarnation   string
	viewVersion   uint64
	configVersion uint64
	// bare: it has no view at all.
	withoutView     bool
	viewInFlight    bool
	configInFlight  bool
	needsFullConfig bool
	sentFullConfig  bool
	retryConfigAt   time.Duration
	// sent is when a configuration was last sent, acked when one was acknowledged.
	configSentAt  time.Duration
	configAckedAt time.Duration
	// attempt numbers all sendings, unanswered counts those since the last answer.
	configAttempt      uint64
	unansweredAttempts int
}

// A configuration without an answer is sent again by another way while the
// first sending still runs. Two waits and a call must fit into 2 s, the
// shortest time that a site gives its nodes to apply a version.
const (
	// redeliverPatch is twice what a relay waits for its next node.
	patchRetryAfter = 2 * relayIdleTimeout
	// redeliverFull leaves a large configuration time on a full link.
	fullConfigRetryAfter = 1500 * time.Millisecond
	// relayChoices is how many relays take turns for one node, so that sendings to many
	// nodes still go together.
	relayChoices = 3
)

func NewMaster(o Options, l *mailbox.Mailbox, lines *rpc.Clients, st ViewStore) *Master {
	return &Master{options: o, Mailbox: l, clients: lines, store: st, histories: map[string]*nodeHistory{}, userStates: map[string]string{}, hotKeyTracker: hotkeys.NewTracker(o.HotKeys),
		pollCancels: map[string]context.CancelFunc{}, ejections: ejections{}, view: &meshpb.View{}, progress: map[string]*nodeProgress{}, relayRetryAt: map[string]time.Duration{}}
}

func (m *Master) trace(what string, version uint64) {
	if m.options.Trace != nil {
		m.options.Trace(what, m.epoch, version)
	}
}

// Lead makes this process the master under the epoch of shard 0, which also
// keeps the last view that was published.
func (m *Master) BecomeMaster(epoch uint64, kept *meshpb.View, users map[string]string, conf *meshpb.Config, membership *meshpb.Membership) {
	now := m.options.Now()
	if kept.GetVersion() > m.view.Version {
		m.view = kept
	}
	m.options.Log.Info("became master", "epoch", epoch, "view", m.view.Version, "version", conf.GetVersion())
	m.suspended = false
	m.leading, m.epoch, m.masterSince, m.lastViewAt, m.endpointsChangedAt = true, epoch, now, now, now
	m.userStates, m.membership = users, membership
	v := m.view
	m.savingView = false
	m.progress, m.recentViews, m.packedViews = map[string]*nodeProgress{}, nil, nil
	m.listedEndpoints = nil
	m.hotKeys = v.HotKeys
	m.hotKeyTracker.Restore(v.HotKeys, now)
	for _, e := range v.Endpoints {
		if e.Node == "" {
			m.listedEndpoints = append(m.listedEndpoints, e)
			continue
		}
		was := &meshpb.Endpoint{Id: e.Id, Service: e.Service, Addr: e.Addr, Zone: e.Zone, Slots: e.Slots, State: reportedState(e.State), Healthy: true, SoftwareVersion: e.SoftwareVersion}
		h := m.histories[e.Node]
		if h == nil {
			h = &nodeHistory{state: &meshpb.NodeState{Name: e.Node, Inbound: e.Inbound, Endpoint: was}, endpointID: e.Id, lastEndpoint: was}
			m.histories[e.Node] = h
		}
		h.lastContact, h.pollFailures, h.reachable, h.restoredFromView = now, 0, true, true
	}
	m.rejoining = true
	for _, l := range v.NodeAddresses {
		name, addr := splitNodeAddress(l)
		h := m.histories[name]
		if h == nil {
			h = &nodeHistory{state: &meshpb.NodeState{Name: name}, lastContact: now}
			m.histories[name] = h
		}
		if h.state.Addr == "" {
			h.state.Addr = addr
		}
	}
	m.pollAllOnce()
	m.mergeStates()
	m.SetConfig(conf)
}

func reportedState(s string) string {
	if s == Up {
		return "ready"
	}
	return s
}

func splitNodeAddress(l string) (string, string) {
	for i := range l {
		if l[i] == ' ' {
			return l[:i], l[i+1:]
		}
	}
	return l, ""
}

// SetKept names what shard 0 keeps; it is called before Lead.
func (m *Master) SetStoredVersions(k *meshpb.StoredVersions) { m.storedVersions = k }

func (m *Master) StepDown() {
	if !m.leading {
		return
	}
	m.storedVersions = nil
	m.options.Log.Info("stepped down as master", "epoch", m.epoch)
	m.leading = false
	for n, stop := range m.pollCancels {
		stop()
		delete(m.pollCancels, n)
	}
}

func (m *Master) IsMaster() bool { return m.leading }

func (m *Master) SetMembership(r *meshpb.Membership) { m.membership = r }

// SetUsers takes all user states; the node just set to up starts with a clean
// history.
func (m *Master) SetUserStates(u map[string]string, node string) {
	if h := m.histories[node]; h != nil && u[node] == "" {
		h.crashLooping, h.awaitingWarmup, h.crashes = false, false, nil
	}
	m.options.Log.Info("set user state", "node", node, "state", u[node])
	m.userStates = u
	m.scheduleMerge()
}

// SetListed takes a whole reading of the platform's list; until the next one
// it stays in force.
func (m *Master) SetListedEndpoints(es []*meshpb.Endpoint) {
	if !m.leading {
		return
	}
	m.listedEndpoints = es
	m.scheduleMerge()
}

func (m *Master) KnowsNode(node string) bool { return m.histories[node] != nil }

// Nodes tells what the master knows of each node, and why a state was lowered.
func (m *Master) NodeStatuses() []*meshpb.NodeStatus {
	var out []*meshpb.NodeStatus
	for n, h := range m.histories {
		e := h.state.GetEndpoint()
		l := &meshpb.NodeStatus{Name: n, Addr: h.state.GetAddr(), Zone: h.state.GetZone(), Service: h.state.GetService(), Endpoint: e.GetId(),
			Reported: e.GetState(), Official: h.officialState(m.userStates[n]), User: m.userStates[n], Slots: e.GetSlots(), Reached: h.reachable}
		switch {
		case !h.reachable:
			l.Why = "does not answer polls"
		case h.crashLooping:
			l.Why = "set out: ended too often"
		case h.awaitingWarmup:
			l.Why = "died cold; down until warm"
		case e == nil && h.state.GetService() == "":
			l.Why = "an edge: no endpoint beside it"
		case e == nil:
			l.Why = "no endpoint known"
		case !e.Healthy:
			l.Why = "endpoint unsound"
		case e.FailurePercent > 0:
			l.Why = "failed " + strconv.Itoa(int(e.FailurePercent)) + "% of late"
		}
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// SetConfig hands a newly committed configuration to all nodes at once.
func (m *Master) SetConfig(c *meshpb.Config) {
	if c.GetVersion() > m.configVersion {
		m.configVersion, m.packedConfig, m.configPatches = c.Version, c.Packed, c.Patches
	}
	if !m.leading {
		return
	}
	for n, h := range m.histories {
		m.sendConfig(n, h)
	}
}

// way gives the patches from a version to the configuration in force.
func (m *Master) patchesFrom(from uint64) [][]byte {
	var out [][]byte
	size := 0
	for _, s := range m.configPatches {
		if s.BaseVersion == from || out != nil {
			out = append(out, s.Patch)
			size += len(s.Patch)
		}
	}
	if size > len(m.packedConfig) {
		return nil
	}
	return out
}

// Config is the version of the configuration in force.
func (m *Master) ConfigVersion() uint64 { return m.configVersion }

func (m *Master) View() *meshpb.View { return m.view }

// Hello makes a node known; it gives back the endpoint that the node had last.
func (m *Master) RegisterNode(n *meshpb.NodeState) (*meshpb.Endpoint, bool) {
	if !m.leading || !m.checkLease() {
		return nil, false
	}
	h := m.histories[n.Name]
	if h == nil {
		h = &nodeHistory{}
		m.histories[n.Name] = h
	}
	if h.state == nil || h.state.Incarnation != n.Incarnation || h.state.Addr != n.Addr {
		h.recordReport(n, m.options.Now(), m.options.historyRules())
		delete(m.progress, n.Name)
		if stop := m.pollCancels[n.Name]; stop != nil {
			stop()
			delete(m.pollCancels, n.Name)
		}
		m.scheduleMerge()
	}
	m.startPolling(n.Name, n.Addr)
	m.sendUpdates(n.Name, h)
	return h.lastEndpoint, true
}

// sweep asks all nodes at once how they are; the polls that linger follow one
// after the other.
func (m *Master) pollAllOnce() {
	ep := m.epoch
	i := 0
	next := m.pollLinger()
	for name, h := range m.histories {
		if h.state.GetAddr() == "" || m.pollCancels[name] != nil {
			continue
		}
		i++
		after := time.Duration(i) * m.options.SendTimePerNode
		req := &meshpb.RelayRequest{Poll: &meshpb.PollRequest{Epoch: ep, NextPollMs: uint64(min(m.directSendTime(), next) / time.Millisecond)}, Stored: m.storedVersions}
		m.enqueue("poll", req, &meshpb.RelayTarget{Name: name, Addr: h.state.Addr, LastEndpoint: h.lastEndpoint}, func(a *meshpb.RelayAck) {
			if m.epoch != ep || !m.leading || m.histories[name] != h || m.pollCancels[name] != nil {
				return
			}
			if r := a.GetPoll(); r.GetNode() != nil && !r.Stale {
				m.handlePollAnswer(name, h, r.Node)
				m.startPollingAfter(name, h.state.GetAddr(), after, r.Node)
				return
			}
			m.startPolling(name, h.state.GetAddr())
		})
	}
}

// linger is how long a poll stays at a node: with many nodes longer, so that a
// quiet mesh costs the master little.
func (m *Master) pollLinger() time.Duration {
	return max(m.options.PollLinger, min(time.Duration(len(m.histories))*m.options.PollLingerPerNode, m.options.MaxPollLinger))
}

// sure stops all polls while the lease of shard 0 is not certain, so that the
// nodes look for another master, and takes them up again after.
func (m *Master) checkLease() bool {
	ok := m.options.HoldsLease == nil || m.options.HoldsLease()
	if m.leading && !ok && !m.suspended {
		m.options.Log.Warn("paused as master: lease not certain", "shard", 0, "epoch", m.epoch)
		m.suspended = true
		for n, stop := range m.pollCancels {
			stop()
			delete(m.pollCancels, n)
		}
	}
	if m.leading && ok && m.suspended {
		m.suspended = false
		for _, h := range m.histories {
			h.lastContact = m.options.Now()
		}
		m.pollAllOnce()
	}
	return ok
}

func (m *Master) startPolling(name, addr string) { m.startPollingAfter(name, addr, 0, nil) }

// pollAfter begins to poll a node in a while; n is what it said just now.
func (m *Master) startPollingAfter(name, addr string, wait time.Duration, n *meshpb.NodeState) {
	if m.pollCancels[name] != nil || addr == "" || m.suspended {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	m.pollCancels[name] = stop
	ep := m.epoch
	c := m.clients.Node(addr)
	st := m.histories[name].state
	life, seq := st.GetIncarnation(), uint64(0)
	if n != nil {
		life, seq = n.Incarnation, n.Seq
	}
	late := 2 * m.directSendTime()
	last := m.histories[name].lastEndpoint
	most := m.pollLinger()
	go func() {
		if wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		for ctx.Err() == nil {
			linger := most
			if seq == 0 {
				linger = 0
			}
			cx, cancel := context.WithTimeout(ctx, linger+m.options.PollGrace+late)
			r, err := c.Poll(cx, &meshpb.PollRequest{Epoch: ep, Incarnation: life, Seq: seq, LingerMs: uint64(linger / time.Millisecond), Name: name, LastEndpoint: last})
			cancel()
			if ctx.Err() != nil {
				return
			}
			bad := err != nil || r.GetNode() == nil || r.Stale
			done := make(chan struct{})
			m.Mailbox.Post(func() {
				defer close(done)
				if ctx.Err() != nil || !m.leading || m.epoch != ep {
					return
				}
				h := m.histories[name]
				if err == nil && r.Stale {
					if r.Epoch > ep {
						m.options.Log.Warn("node follows a higher epoch", "node", name, "epoch", r.Epoch)
						return
					}
					h.state.Addr = ""
				}
				if bad {
					m.handlePollFailure(name, h)
					return
				}
				m.handlePollAnswer(name, h, r.Node)
				life, seq, last = r.Node.Incarnation, r.Node.Seq, nil
				most = m.pollLinger()
				if r.Node.Endpoint == nil {
					last = h.lastEndpoint
				}
			})
			select {
			case <-done:
			case <-ctx.Done():
				return
			}
			if bad {
				select {
				case <-time.After(m.options.PollGrace / 2):
				case <-ctx.Done():
				}
			}
		}
	}()
}

func (m *Master) handlePollAnswer(name string, h *nodeHistory, n *meshpb.NodeState) {
	was := h.officialState(m.userStates[name])
	same := h.reachable && h.state.GetIncarnation() == n.Incarnation && h.state.GetSeq() == n.Seq && h.state.GetAddr() == n.Addr
	h.recordReport(n, m.options.Now(), m.options.historyRules())
	m.updateProgress(name, n)
	if now := h.officialState(m.userStates[name]); now != was {
		m.options.Log.Info("endpoint state changed", "node", name, "endpoint", n.Endpoint.GetId(), "previousState", was, "state", now, "reportedState", n.Endpoint.GetState())
	}
	if !same {
		m.scheduleMerge()
	}
	m.sendUpdates(name, h)
}

func (m *Master) handlePollFailure(name string, h *nodeHistory) {
	was := h.reachable
	h.recordPollFailure(m.options.Now(), m.options.historyRules())
	if was && !h.reachable {
		m.options.Log.Warn("node unreachable", "node", name, "failedPolls", h.pollFailures)
		delete(m.progress, name)
	}
	if !h.reachable && m.options.Now()-h.lastContact > 10*m.options.PollLinger {
		if stop := m.pollCancels[name]; stop != nil {
			stop()
			delete(m.pollCancels, name)
		}
		delete(m.histories, name)
	}
	m.scheduleMerge()
}

// touch has the states put together anew, once for all that is heard meanwhile.
func (m *Master) scheduleMerge() {
	if m.mergePending {
		return
	}
	m.mergePending = true
	time.AfterFunc(batchWindow, func() { m.Mailbox.Post(m.mergeStates) })
}

func (m *Master) mergeStates() {
	m.mergePending = false
	if !m.leading {
		return
	}
	es := mergeEndpoints(m.histories, m.userStates, m.listedEndpoints)
	ill := map[string]uint32{}
	if len(m.listedEndpoints) > 0 {
		ill = m.ejections.update(m.histories, m.options.Now())
	}
	for _, e := range es {
		if e.FailurePercent > 0 {
			ill[e.Id] = e.FailurePercent
		}
	}
	in := markOutliers(es, ill)
	if endpointsDiffer(in, m.endpoints) {
		m.endpoints = in
		m.endpointsChangedAt = m.options.Now()
	}
}

// Tick makes a new official view once enough time has passed since the last
// one and the states have settled.
func (m *Master) Tick() {
	now := m.options.Now()
	if !m.leading || !m.checkLease() {
		return
	}
	if m.savingView || now-m.masterSince < max(m.options.TakeoverDelay, 2*m.relayedSendTime()) {
		// Configurations do not wait for views.
		for n, h := range m.histories {
			m.sendConfig(n, h)
		}
		return
	}
	if m.rejoining && now-m.masterSince > rejoinTimeout {
		m.rejoining = false
		for _, h := range m.histories {
			h.restoredFromView = false
		}
		m.scheduleMerge()
	}
	for n, h := range m.histories {
		m.sendUpdates(n, h)
	}
	if len(m.ejections) > 0 && now-m.ejectionsUpdatedAt > m.options.ViewInterval {
		m.ejectionsUpdatedAt = now
		m.scheduleMerge()
	}
	m.updateHotKeys(now)
	if now-m.lastViewAt < max(m.options.ViewInterval, m.relayedSendTime()) || now-m.endpointsChangedAt < m.options.SettleTime {
		return
	}
	if m.mergePending {
		return
	}
	if m.view.Epoch == m.epoch && !endpointsDiffer(m.endpoints, m.view.Endpoints) && hotkeys.SameWidths(m.hotKeys, m.view.HotKeys) && m.view.Membership.GetVersion() == m.membership.GetVersion() && len(m.view.NodeAddresses) == len(m.histories) {
		return
	}
	v := &meshpb.View{Epoch: m.epoch, Version: m.view.Version + 1, Endpoints: m.endpoints, Membership: m.membership, ConfigVersion: m.configVersion, Master: m.options.SelfAddr, HotKeys: m.hotKeys}
	for n, h := range m.histories {
		v.NodeAddresses = append(v.NodeAddresses, n+" "+h.state.GetAddr())
	}
	v.Nodes = uint32(len(m.histories))
	m.savingView = true
	ep := m.epoch
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
		defer stop()
		err := m.store.SaveView(ctx, v)
		m.Mailbox.Post(func() {
			if m.epoch != ep || !m.leading {
				return
			}
			m.savingView = false
			if err != nil {
				m.lastViewAt = m.options.Now()
				return
			}
			m.publishView(v)
		})
	}()
}

// widen looks at the keys that nodes read most, once in an interval.
func (m *Master) updateHotKeys(now time.Duration) {
	if now-m.hotKeysUpdatedAt < m.options.ViewInterval {
		return
	}
	m.hotKeysUpdatedAt = now
	hot, changes := m.hotKeyTracker.Update(m.keyRates, m.endpoints, now, time.Now().UnixMicro())
	for _, c := range changes {
		m.options.Log.Info("hot key width changed", "key", logring.Hex(c.Key), "service", c.Service, "previousWidth", c.From, "width", c.To, "reason", c.Reason)
	}
	if !hotkeys.SameWidths(hot, m.hotKeys) {
		m.endpointsChangedAt = now
	}
	m.hotKeys = hot
}

func (m *Master) keyRates(yield func([]*meshpb.KeyRate) bool) {
	for _, h := range m.histories {
		if r := h.state.GetKeyRates(); h.reachable && len(r) > 0 && !yield(r) {
			return
		}
	}
}

// Hot gives the hot keys and how many widths were raised and lowered.
func (m *Master) HotKeys() ([]*meshpb.HotKey, *meshpb.HotCounts) {
	return m.hotKeys, m.hotKeyTracker.Counts()
}

func (m *Master) publishView(v *meshpb.View) {
	m.view, m.lastViewAt = v, m.options.Now()
	m.trace("published", v.Version)
	m.recentViews = append(m.recentViews, v)
	if len(m.recentViews) > maxRecentViews {
		m.recentViews = append([]*meshpb.View(nil), m.recentViews[1:]...)
	}
	for n, h := range m.histories {
		m.sendUpdates(n, h)
	}
}

// pack marshals the view in force once for all nodes that hold the same one.
func (m *Master) packedViewSince(has uint64) []byte {
	if m.packedViewVersion != m.view.Version || m.packedViews == nil || m.packedViewEpoch != m.view.Epoch {
		m.packedViews, m.packedViewVersion, m.packedViewEpoch = map[uint64][]byte{}, m.view.Version, m.view.Epoch
	}
	if has > 0 {
		for _, o := range m.recentViews {
			if o.Version == has && o.Epoch == m.epoch {
				if m.packedViews[has] == nil {
					m.packedViews[has], _ = proto.Marshal(m.view.Since(o))
				}
				return m.packedViews[has]
			}
		}
	}
	if m.packedViews[0] == nil {
		m.packedViews[0], _ = proto.Marshal(m.view.Lean())
	}
	return m.packedViews[0]
}

func (m *Master) progressOf(n string) *nodeProgress {
	c := m.progress[n]
	if c == nil {
		c = &nodeProgress{}
		m.progress[n] = c
	}
	return c
}

// spread is how long a small core machine takes to call all nodes once. After a
// takeover polls go first, then configurations, then the view.
func (m *Master) directSendTime() time.Duration {
	return time.Duration(len(m.histories)) * m.options.SendTimePerNode
}

// cast is how long it takes to bring the same to all nodes through relays.
func (m *Master) relayedSendTime() time.Duration {
	if len(m.histories) <= maxDirectNodes {
		return m.directSendTime()
	}
	return m.directSendTime() / time.Duration(len(m.availableRelays())+1)
}

// met notes what a node says it holds.
func (m *Master) updateProgress(name string, n *meshpb.NodeState) {
	c := m.progress[name]
	if c != nil && c.incarnation == "" {
		// Who acknowledged before may have been an earlier life.
		c.incarnation, c.viewVersion, c.configVersion = n.Incarnation, 0, 0
	}
	if c == nil || c.incarnation != n.Incarnation {
		c = &nodeProgress{incarnation: n.Incarnation}
		m.progress[name] = c
	}
	if m.options.Now()-c.configAckedAt > relayCallTimeout {
		// No acknowledgement is newer than this report.
		c.configVersion = 0
	}
	c.configVersion = max(c.configVersion, n.ConfigVersion)
	c.withoutView = n.ViewVersion == 0
	if n.ViewEpoch == m.epoch {
		c.viewVersion = max(c.viewVersion, n.ViewVersion)
	}
}

// follow sends a node what it has not yet acknowledged.
func (m *Master) sendUpdates(name string, h *nodeHistory) {
	m.sendConfig(name, h)
	if !m.checkLease() {
		return
	}
	c := m.progressOf(name)
	// Until this master has made a view, nodes keep the last one; one that has
	// none, since it has just started, is given that.
	kept := m.view.Epoch != m.epoch
	if kept && !c.withoutView || m.view.Version == 0 || c.viewInFlight || c.viewVersion >= m.view.Version || h.state.GetAddr() == "" {
		return
	}
	c.viewInFlight = true
	version, ep, has := m.view.Version, m.epoch, c.viewVersion
	key := fmt.Sprint("view ", has, " ", m.view.Epoch, " ", version)
	m.enqueue(key, &meshpb.RelayRequest{View: &meshpb.PublishViewRequest{Epoch: ep, Packed: m.packedViewSince(has)}}, &meshpb.RelayTarget{Name: name, Addr: h.state.Addr}, func(a *meshpb.RelayAck) {
		c.viewInFlight = false
		r := a.GetView()
		if r == nil || m.epoch != ep {
			return
		}
		if r.Ok {
			c.viewVersion, c.withoutView = max(c.viewVersion, version), false
			if m.leading {
				m.sendUpdates(name, h)
			}
			return
		}
		// What it holds is told: a newer one than this, or one that this does not
		// stand on.
		c.viewVersion = 0
		if r.Epoch == ep {
			c.viewVersion = r.Version
		}
	})
}

// deliver sends a node that has been heard under this epoch the patches from
// what it holds to the configuration in force, or all of it.
func (m *Master) sendConfig(name string, h *nodeHistory) {
	if !m.checkLease() {
		return
	}
	c := m.progressOf(name)
	now := m.options.Now()
	if m.configVersion == 0 || c.configVersion >= m.configVersion || h.state.GetAddr() == "" || now < c.retryConfigAt || c.configInFlight && !m.configOverdue(c, h) {
		return
	}
	unheard := c.incarnation == ""
	wait := m.options.PollGrace/2 + 3*m.relayedSendTime()
	if len(m.configPatches) > 0 && !c.needsFullConfig {
		wait = m.relayedSendTime()
	}
	if unheard && now-m.masterSince < wait {
		return
	}
	c.configInFlight, c.configSentAt = true, now
	c.configAttempt++
	attempt := c.configAttempt
	q := &meshpb.DeliverConfigRequest{Epoch: m.epoch, Version: m.configVersion}
	if c.configVersion > 0 && !c.needsFullConfig {
		if q.Patches = m.patchesFrom(c.configVersion); q.Patches != nil {
			q.BaseVersion = c.configVersion
		}
	}
	if n := len(m.configPatches); unheard && c.configVersion == 0 && !c.needsFullConfig && n > 0 {
		// Most likely the node has the one before.
		q.BaseVersion, q.Patches = m.configPatches[n-1].BaseVersion, [][]byte{m.configPatches[n-1].Patch}
	}
	if q.BaseVersion == 0 {
		q.Data = m.packedConfig
	}
	c.sentFullConfig = q.BaseVersion == 0
	relayOffset := c.unansweredAttempts % relayChoices
	c.unansweredAttempts++
	key := fmt.Sprint("config ", q.BaseVersion, " ", q.Version, " ", len(q.Patches), " ", len(q.Data) > 0, " ", relayOffset)
	m.enqueueVia(relayOffset, key, &meshpb.RelayRequest{Config: q}, &meshpb.RelayTarget{Name: name, Addr: h.state.Addr}, func(a *meshpb.RelayAck) {
		last := attempt == c.configAttempt
		r := a.GetConfig()
		if r == nil {
			if last {
				c.configInFlight = false
				c.retryConfigAt = m.options.Now() + 100*time.Millisecond
			}
			return
		}
		c.configVersion = max(c.configVersion, r.Version)
		c.configAckedAt = m.options.Now()
		if !last {
			return
		}
		c.configInFlight, c.unansweredAttempts = false, 0
		c.needsFullConfig = !r.Ok && (r.Version == 0 || r.Version == q.BaseVersion || q.BaseVersion == 0)
		if !r.Ok {
			c.retryConfigAt = m.options.Now() + 50*time.Millisecond
		}
		if m.leading {
			m.sendConfig(name, h)
		}
	})
}

// overdue tells that a node which answers polls has left the last sending of a
// configuration unanswered for so long that it is to be sent by another way.
func (m *Master) configOverdue(c *nodeProgress, h *nodeHistory) bool {
	wait := patchRetryAfter
	if c.sentFullConfig {
		wait = fullConfigRetryAfter
	}
	return h.reachable && m.options.Now()-c.configSentAt >= wait
}
