package clustercontroller

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/hotkeys"
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
	Logf       func(f string, a ...any)
	Trace      func(what string, epoch, version uint64)
}

func (o Options) rules() rules {
	return rules{o.CrashWindow, o.CrashLimit, o.PollFailureLimit, o.UnreachableAfter}
}

// Master runs on its own mailbox; all its fields belong to that goroutine.
type Master struct {
	o       Options
	Mailbox *mailbox.Mailbox
	lines   *rpc.Clients
	store   ViewStore

	leading    bool
	paused     bool
	epoch      uint64
	since      time.Duration
	hs         map[string]*history
	users      map[string]string
	polls      map[string]context.CancelFunc
	membership *meshpb.Membership

	listed []*meshpb.Endpoint
	ills   verdicts
	judged time.Duration
	heated time.Duration
	hots   *hotkeys.Tracker
	hot    []*meshpb.HotKey
	view   *meshpb.View
	inner  []*meshpb.Endpoint
	kept   *meshpb.StoredVersions
	dirty  bool
	// rejoining: endpoints that nodes have not found again count as they were.
	rejoining bool
	changed   time.Duration
	made      time.Duration
	making    bool

	conf    uint64
	packed  []byte
	steps   []*meshpb.ConfigPatch
	sends   map[string]*courier
	views   []*meshpb.View
	packs   map[uint64][]byte
	packsOf uint64
	packsIn uint64
	parcels map[string]*parcel
	shunned map[string]time.Duration
}

const keepViews = 24

// rejoin is how long after a takeover a node that has lost its memory may take to
// find its endpoint: a beat and a little more.
const rejoin = 2 * time.Second

// courier is what the master knows that one life of a node has.
type courier struct {
	life string
	view uint64
	conf uint64
	// bare: it has no view at all.
	bare  bool
	busy  bool
	cbusy bool
	whole bool
	large bool
	again time.Duration
	// sent is when a configuration was last sent, acked when one was acknowledged.
	sent  time.Duration
	acked time.Duration
	// attempt numbers all sendings, unanswered counts those since the last answer.
	attempt    uint64
	unanswered int
}

// A configuration without an answer is sent again by another way while the
// first sending still runs. Two waits and a call must fit into 2 s, the
// shortest time that a site gives its nodes to apply a version.
const (
	// redeliverPatch is twice what a relay waits for its next node.
	redeliverPatch = 2 * relayStill
	// redeliverFull leaves a large configuration time on a full link.
	redeliverFull = 1500 * time.Millisecond
	// relayChoices is how many relays take turns for one node, so that sendings to many
	// nodes still go together.
	relayChoices = 3
)

func NewMaster(o Options, l *mailbox.Mailbox, lines *rpc.Clients, st ViewStore) *Master {
	return &Master{o: o, Mailbox: l, lines: lines, store: st, hs: map[string]*history{}, users: map[string]string{}, hots: hotkeys.NewTracker(o.HotKeys),
		polls: map[string]context.CancelFunc{}, ills: verdicts{}, view: &meshpb.View{}, sends: map[string]*courier{}, shunned: map[string]time.Duration{}}
}

func (m *Master) note(f string, a ...any) {
	if m.o.Logf != nil {
		m.o.Logf(f, a...)
	}
}

func (m *Master) trace(what string, version uint64) {
	if m.o.Trace != nil {
		m.o.Trace(what, m.epoch, version)
	}
}

// Lead makes this process the master under the epoch of shard 0, which also
// keeps the last view that was published.
func (m *Master) BecomeMaster(epoch uint64, kept *meshpb.View, users map[string]string, conf *meshpb.Config, membership *meshpb.Membership) {
	now := m.o.Now()
	if kept.GetVersion() > m.view.Version {
		m.view = kept
	}
	m.note("master under epoch %d, view %d, configuration %d", epoch, m.view.Version, conf.GetVersion())
	m.paused = false
	m.leading, m.epoch, m.since, m.made, m.changed = true, epoch, now, now, now
	m.users, m.membership = users, membership
	v := m.view
	m.making = false
	m.sends, m.views, m.packs = map[string]*courier{}, nil, nil
	m.listed = nil
	m.hot = v.HotKeys
	m.hots.Restore(v.HotKeys, now)
	for _, e := range v.Endpoints {
		if e.Node == "" {
			m.listed = append(m.listed, e)
			continue
		}
		was := &meshpb.Endpoint{Id: e.Id, Service: e.Service, Addr: e.Addr, Zone: e.Zone, Slots: e.Slots, State: back(e.State), Healthy: true, SoftwareVersion: e.SoftwareVersion}
		h := m.hs[e.Node]
		if h == nil {
			h = &history{state: &meshpb.NodeState{Name: e.Node, Inbound: e.Inbound, Endpoint: was}, endpoint: e.Id, last: was}
			m.hs[e.Node] = h
		}
		h.seen, h.fails, h.reached, h.kept = now, 0, true, true
	}
	m.rejoining = true
	for _, l := range v.NodeAddresses {
		name, addr := cut(l)
		h := m.hs[name]
		if h == nil {
			h = &history{state: &meshpb.NodeState{Name: name}, seen: now}
			m.hs[name] = h
		}
		if h.state.Addr == "" {
			h.state.Addr = addr
		}
	}
	m.sweep()
	m.put()
	m.SetConfig(conf)
}

func back(s string) string {
	if s == Up {
		return "ready"
	}
	return s
}

func cut(l string) (string, string) {
	for i := range l {
		if l[i] == ' ' {
			return l[:i], l[i+1:]
		}
	}
	return l, ""
}

// SetKept names what shard 0 keeps; it is called before Lead.
func (m *Master) SetStoredVersions(k *meshpb.StoredVersions) { m.kept = k }

func (m *Master) StepDown() {
	if !m.leading {
		return
	}
	m.kept = nil
	m.note("no longer master under epoch %d", m.epoch)
	m.leading = false
	for n, stop := range m.polls {
		stop()
		delete(m.polls, n)
	}
}

func (m *Master) IsMaster() bool { return m.leading }

func (m *Master) SetMembership(r *meshpb.Membership) { m.membership = r }

// SetUsers takes all user states; the node just set to up starts with a clean
// history.
func (m *Master) SetUserStates(u map[string]string, node string) {
	if h := m.hs[node]; h != nil && u[node] == "" {
		h.setOut, h.unproven, h.crashes = false, false, nil
	}
	m.note("user state of %s: %q", node, u[node])
	m.users = u
	m.touch()
}

// SetListed takes a whole reading of the platform's list; until the next one
// it stays in force.
func (m *Master) SetListedEndpoints(es []*meshpb.Endpoint) {
	if !m.leading {
		return
	}
	m.listed = es
	m.touch()
}

func (m *Master) KnowsNode(node string) bool { return m.hs[node] != nil }

// Nodes tells what the master knows of each node, and why a state was lowered.
func (m *Master) NodeStatuses() []*meshpb.NodeStatus {
	var out []*meshpb.NodeStatus
	for n, h := range m.hs {
		e := h.state.GetEndpoint()
		l := &meshpb.NodeStatus{Name: n, Addr: h.state.GetAddr(), Zone: h.state.GetZone(), Service: h.state.GetService(), Endpoint: e.GetId(),
			Reported: e.GetState(), Official: h.official(m.users[n]), User: m.users[n], Slots: e.GetSlots(), Reached: h.reached}
		switch {
		case !h.reached:
			l.Why = "does not answer polls"
		case h.setOut:
			l.Why = "set out: ended too often"
		case h.unproven:
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
	if c.GetVersion() > m.conf {
		m.conf, m.packed, m.steps = c.Version, c.Packed, c.Patches
	}
	if !m.leading {
		return
	}
	for n, h := range m.hs {
		m.deliver(n, h)
	}
}

// way gives the patches from a version to the configuration in force.
func (m *Master) way(from uint64) [][]byte {
	var out [][]byte
	size := 0
	for _, s := range m.steps {
		if s.BaseVersion == from || out != nil {
			out = append(out, s.Patch)
			size += len(s.Patch)
		}
	}
	if size > len(m.packed) {
		return nil
	}
	return out
}

// Config is the version of the configuration in force.
func (m *Master) ConfigVersion() uint64 { return m.conf }

func (m *Master) View() *meshpb.View { return m.view }

// Hello makes a node known; it gives back the endpoint that the node had last.
func (m *Master) RegisterNode(n *meshpb.NodeState) (*meshpb.Endpoint, bool) {
	if !m.leading || !m.sure() {
		return nil, false
	}
	h := m.hs[n.Name]
	if h == nil {
		h = &history{}
		m.hs[n.Name] = h
	}
	if h.state == nil || h.state.Incarnation != n.Incarnation || h.state.Addr != n.Addr {
		h.report(n, m.o.Now(), m.o.rules())
		delete(m.sends, n.Name)
		if stop := m.polls[n.Name]; stop != nil {
			stop()
			delete(m.polls, n.Name)
		}
		m.touch()
	}
	m.poll(n.Name, n.Addr)
	m.follow(n.Name, h)
	return h.last, true
}

// sweep asks all nodes at once how they are; the polls that linger follow one
// after the other.
func (m *Master) sweep() {
	ep := m.epoch
	i := 0
	next := m.linger()
	for name, h := range m.hs {
		if h.state.GetAddr() == "" || m.polls[name] != nil {
			continue
		}
		i++
		after := time.Duration(i) * m.o.SendTimePerNode
		req := &meshpb.RelayRequest{Poll: &meshpb.PollRequest{Epoch: ep, NextPollMs: uint64(min(m.spread(), next) / time.Millisecond)}, Stored: m.kept}
		m.send("poll", req, &meshpb.RelayTarget{Name: name, Addr: h.state.Addr, LastEndpoint: h.last}, func(a *meshpb.RelayAck) {
			if m.epoch != ep || !m.leading || m.hs[name] != h || m.polls[name] != nil {
				return
			}
			if r := a.GetPoll(); r.GetNode() != nil && !r.Stale {
				m.heard(name, h, r.Node)
				m.pollAfter(name, h.state.GetAddr(), after, r.Node)
				return
			}
			m.poll(name, h.state.GetAddr())
		})
	}
}

// linger is how long a poll stays at a node: with many nodes longer, so that a
// quiet mesh costs the master little.
func (m *Master) linger() time.Duration {
	return max(m.o.PollLinger, min(time.Duration(len(m.hs))*m.o.PollLingerPerNode, m.o.MaxPollLinger))
}

// sure stops all polls while the lease of shard 0 is not certain, so that the
// nodes look for another master, and takes them up again after.
func (m *Master) sure() bool {
	ok := m.o.HoldsLease == nil || m.o.HoldsLease()
	if m.leading && !ok && !m.paused {
		m.note("the lease of shard 0 is not certain; silent")
		m.paused = true
		for n, stop := range m.polls {
			stop()
			delete(m.polls, n)
		}
	}
	if m.leading && ok && m.paused {
		m.paused = false
		for _, h := range m.hs {
			h.seen = m.o.Now()
		}
		m.sweep()
	}
	return ok
}

func (m *Master) poll(name, addr string) { m.pollAfter(name, addr, 0, nil) }

// pollAfter begins to poll a node in a while; n is what it said just now.
func (m *Master) pollAfter(name, addr string, wait time.Duration, n *meshpb.NodeState) {
	if m.polls[name] != nil || addr == "" || m.paused {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	m.polls[name] = stop
	ep := m.epoch
	c := m.lines.Node(addr)
	st := m.hs[name].state
	life, seq := st.GetIncarnation(), uint64(0)
	if n != nil {
		life, seq = n.Incarnation, n.Seq
	}
	late := 2 * m.spread()
	last := m.hs[name].last
	most := m.linger()
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
			cx, cancel := context.WithTimeout(ctx, linger+m.o.PollGrace+late)
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
				h := m.hs[name]
				if err == nil && r.Stale {
					if r.Epoch > ep {
						m.note("node %s has heard of epoch %d", name, r.Epoch)
						return
					}
					h.state.Addr = ""
				}
				if bad {
					m.missed(name, h)
					return
				}
				m.heard(name, h, r.Node)
				life, seq, last = r.Node.Incarnation, r.Node.Seq, nil
				most = m.linger()
				if r.Node.Endpoint == nil {
					last = h.last
				}
			})
			select {
			case <-done:
			case <-ctx.Done():
				return
			}
			if bad {
				select {
				case <-time.After(m.o.PollGrace / 2):
				case <-ctx.Done():
				}
			}
		}
	}()
}

func (m *Master) heard(name string, h *history, n *meshpb.NodeState) {
	was := h.official(m.users[name])
	same := h.reached && h.state.GetIncarnation() == n.Incarnation && h.state.GetSeq() == n.Seq && h.state.GetAddr() == n.Addr
	h.report(n, m.o.Now(), m.o.rules())
	m.met(name, n)
	if now := h.official(m.users[name]); now != was {
		m.note("node %s: endpoint %s %s -> %s (reported %s)", name, n.Endpoint.GetId(), was, now, n.Endpoint.GetState())
	}
	if !same {
		m.touch()
	}
	m.follow(name, h)
}

func (m *Master) missed(name string, h *history) {
	was := h.reached
	h.missed(m.o.Now(), m.o.rules())
	if was && !h.reached {
		m.note("node %s: silent after %d polls", name, h.fails)
		delete(m.sends, name)
	}
	if !h.reached && m.o.Now()-h.seen > 10*m.o.PollLinger {
		if stop := m.polls[name]; stop != nil {
			stop()
			delete(m.polls, name)
		}
		delete(m.hs, name)
	}
	m.touch()
}

// touch has the states put together anew, once for all that is heard meanwhile.
func (m *Master) touch() {
	if m.dirty {
		return
	}
	m.dirty = true
	time.AfterFunc(gatherFor, func() { m.Mailbox.Post(m.put) })
}

func (m *Master) put() {
	m.dirty = false
	if !m.leading {
		return
	}
	es := compose(m.hs, m.users, m.listed)
	ill := map[string]uint32{}
	if len(m.listed) > 0 {
		ill = m.ills.judge(m.hs, m.o.Now())
	}
	for _, e := range es {
		if e.FailurePercent > 0 {
			ill[e.Id] = e.FailurePercent
		}
	}
	in := shade(es, ill)
	if matters(in, m.inner) {
		m.inner = in
		m.changed = m.o.Now()
	}
}

// Tick makes a new official view once enough time has passed since the last
// one and the states have settled.
func (m *Master) Tick() {
	now := m.o.Now()
	if !m.leading || !m.sure() {
		return
	}
	if m.making || now-m.since < max(m.o.TakeoverDelay, 2*m.cast()) {
		// Configurations do not wait for views.
		for n, h := range m.hs {
			m.deliver(n, h)
		}
		return
	}
	if m.rejoining && now-m.since > rejoin {
		m.rejoining = false
		for _, h := range m.hs {
			h.kept = false
		}
		m.touch()
	}
	for n, h := range m.hs {
		m.follow(n, h)
	}
	if len(m.ills) > 0 && now-m.judged > m.o.ViewInterval {
		m.judged = now
		m.touch()
	}
	m.widen(now)
	if now-m.made < max(m.o.ViewInterval, m.cast()) || now-m.changed < m.o.SettleTime {
		return
	}
	if m.dirty {
		return
	}
	if m.view.Epoch == m.epoch && !matters(m.inner, m.view.Endpoints) && hotkeys.SameWidths(m.hot, m.view.HotKeys) && m.view.Membership.GetVersion() == m.membership.GetVersion() && len(m.view.NodeAddresses) == len(m.hs) {
		return
	}
	v := &meshpb.View{Epoch: m.epoch, Version: m.view.Version + 1, Endpoints: m.inner, Membership: m.membership, ConfigVersion: m.conf, Master: m.o.SelfAddr, HotKeys: m.hot}
	for n, h := range m.hs {
		v.NodeAddresses = append(v.NodeAddresses, n+" "+h.state.GetAddr())
	}
	v.Nodes = uint32(len(m.hs))
	m.making = true
	ep := m.epoch
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
		defer stop()
		err := m.store.SaveView(ctx, v)
		m.Mailbox.Post(func() {
			if m.epoch != ep || !m.leading {
				return
			}
			m.making = false
			if err != nil {
				m.made = m.o.Now()
				return
			}
			m.publish(v)
		})
	}()
}

// widen looks at the keys that nodes read most, once in an interval.
func (m *Master) widen(now time.Duration) {
	if now-m.heated < m.o.ViewInterval {
		return
	}
	m.heated = now
	hot, changes := m.hots.Update(m.reads, m.inner, now, time.Now().UnixMicro())
	for _, c := range changes {
		m.note("hot key width changed key=%016x service=%s from=%d to=%d reason=%q", c.Key, c.Service, c.From, c.To, c.Reason)
	}
	if !hotkeys.SameWidths(hot, m.hot) {
		m.changed = now
	}
	m.hot = hot
}

func (m *Master) reads(yield func([]*meshpb.KeyRate) bool) {
	for _, h := range m.hs {
		if r := h.state.GetKeyRates(); h.reached && len(r) > 0 && !yield(r) {
			return
		}
	}
}

// Hot gives the hot keys and how many widths were raised and lowered.
func (m *Master) HotKeys() ([]*meshpb.HotKey, *meshpb.HotCounts) {
	return m.hot, m.hots.Counts()
}

func (m *Master) publish(v *meshpb.View) {
	m.view, m.made = v, m.o.Now()
	m.trace("published", v.Version)
	m.views = append(m.views, v)
	if len(m.views) > keepViews {
		m.views = append([]*meshpb.View(nil), m.views[1:]...)
	}
	for n, h := range m.hs {
		m.follow(n, h)
	}
}

// pack marshals the view in force once for all nodes that hold the same one.
func (m *Master) pack(has uint64) []byte {
	if m.packsOf != m.view.Version || m.packs == nil || m.packsIn != m.view.Epoch {
		m.packs, m.packsOf, m.packsIn = map[uint64][]byte{}, m.view.Version, m.view.Epoch
	}
	if has > 0 {
		for _, o := range m.views {
			if o.Version == has && o.Epoch == m.epoch {
				if m.packs[has] == nil {
					m.packs[has], _ = proto.Marshal(m.view.Since(o))
				}
				return m.packs[has]
			}
		}
	}
	if m.packs[0] == nil {
		m.packs[0], _ = proto.Marshal(m.view.Lean())
	}
	return m.packs[0]
}

func (m *Master) courier(n string) *courier {
	c := m.sends[n]
	if c == nil {
		c = &courier{}
		m.sends[n] = c
	}
	return c
}

// spread is how long a small core machine takes to call all nodes once. After a
// takeover polls go first, then configurations, then the view.
func (m *Master) spread() time.Duration { return time.Duration(len(m.hs)) * m.o.SendTimePerNode }

// cast is how long it takes to bring the same to all nodes through relays.
func (m *Master) cast() time.Duration {
	if len(m.hs) <= fewDirect {
		return m.spread()
	}
	return m.spread() / time.Duration(len(m.relays())+1)
}

// met notes what a node says it holds.
func (m *Master) met(name string, n *meshpb.NodeState) {
	c := m.sends[name]
	if c != nil && c.life == "" {
		// Who acknowledged before may have been an earlier life.
		c.life, c.view, c.conf = n.Incarnation, 0, 0
	}
	if c == nil || c.life != n.Incarnation {
		c = &courier{life: n.Incarnation}
		m.sends[name] = c
	}
	if m.o.Now()-c.acked > relayWait {
		// No acknowledgement is newer than this report.
		c.conf = 0
	}
	c.conf = max(c.conf, n.ConfigVersion)
	c.bare = n.ViewVersion == 0
	if n.ViewEpoch == m.epoch {
		c.view = max(c.view, n.ViewVersion)
	}
}

// follow sends a node what it has not yet acknowledged.
func (m *Master) follow(name string, h *history) {
	m.deliver(name, h)
	if !m.sure() {
		return
	}
	c := m.courier(name)
	// Until this master has made a view, nodes keep the last one; one that has
	// none, since it has just started, is given that.
	kept := m.view.Epoch != m.epoch
	if kept && !c.bare || m.view.Version == 0 || c.busy || c.view >= m.view.Version || h.state.GetAddr() == "" {
		return
	}
	c.busy = true
	version, ep, has := m.view.Version, m.epoch, c.view
	key := fmt.Sprint("view ", has, " ", m.view.Epoch, " ", version)
	m.send(key, &meshpb.RelayRequest{View: &meshpb.PublishViewRequest{Epoch: ep, Packed: m.pack(has)}}, &meshpb.RelayTarget{Name: name, Addr: h.state.Addr}, func(a *meshpb.RelayAck) {
		c.busy = false
		r := a.GetView()
		if r == nil || m.epoch != ep {
			return
		}
		if r.Ok {
			c.view, c.bare = max(c.view, version), false
			if m.leading {
				m.follow(name, h)
			}
			return
		}
		// What it holds is told: a newer one than this, or one that this does not
		// stand on.
		c.view = 0
		if r.Epoch == ep {
			c.view = r.Version
		}
	})
}

// deliver sends a node that has been heard under this epoch the patches from
// what it holds to the configuration in force, or all of it.
func (m *Master) deliver(name string, h *history) {
	if !m.sure() {
		return
	}
	c := m.courier(name)
	now := m.o.Now()
	if m.conf == 0 || c.conf >= m.conf || h.state.GetAddr() == "" || now < c.again || c.cbusy && !m.overdue(c, h) {
		return
	}
	unheard := c.life == ""
	wait := m.o.PollGrace/2 + 3*m.cast()
	if len(m.steps) > 0 && !c.whole {
		wait = m.cast()
	}
	if unheard && now-m.since < wait {
		return
	}
	c.cbusy, c.sent = true, now
	c.attempt++
	attempt := c.attempt
	q := &meshpb.DeliverConfigRequest{Epoch: m.epoch, Version: m.conf}
	if c.conf > 0 && !c.whole {
		if q.Patches = m.way(c.conf); q.Patches != nil {
			q.BaseVersion = c.conf
		}
	}
	if n := len(m.steps); unheard && c.conf == 0 && !c.whole && n > 0 {
		// Most likely the node has the one before.
		q.BaseVersion, q.Patches = m.steps[n-1].BaseVersion, [][]byte{m.steps[n-1].Patch}
	}
	if q.BaseVersion == 0 {
		q.Data = m.packed
	}
	c.large = q.BaseVersion == 0
	relayOffset := c.unanswered % relayChoices
	c.unanswered++
	key := fmt.Sprint("config ", q.BaseVersion, " ", q.Version, " ", len(q.Patches), " ", len(q.Data) > 0, " ", relayOffset)
	m.sendVia(relayOffset, key, &meshpb.RelayRequest{Config: q}, &meshpb.RelayTarget{Name: name, Addr: h.state.Addr}, func(a *meshpb.RelayAck) {
		last := attempt == c.attempt
		r := a.GetConfig()
		if r == nil {
			if last {
				c.cbusy = false
				c.again = m.o.Now() + 100*time.Millisecond
			}
			return
		}
		c.conf = max(c.conf, r.Version)
		c.acked = m.o.Now()
		if !last {
			return
		}
		c.cbusy, c.unanswered = false, 0
		c.whole = !r.Ok && (r.Version == 0 || r.Version == q.BaseVersion || q.BaseVersion == 0)
		if !r.Ok {
			c.again = m.o.Now() + 50*time.Millisecond
		}
		if m.leading {
			m.deliver(name, h)
		}
	})
}

// overdue tells that a node which answers polls has left the last sending of a
// configuration unanswered for so long that it is to be sent by another way.
func (m *Master) overdue(c *courier, h *history) bool {
	wait := redeliverPatch
	if c.large {
		wait = redeliverFull
	}
	return h.reached && m.o.Now()-c.sent >= wait
}
