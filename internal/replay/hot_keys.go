package replay

import (
	"maps"
	"time"

	"corkcove/internal/hotkeys"
	"corkcove/internal/rpc/meshpb"
)

const (
	// hotKeyUpdateIntervalUs is the interval at which the master updates the widths of
	// hot keys, in microseconds.
	hotKeyUpdateIntervalUs = int64(250 * time.Millisecond / time.Microsecond)
	// keyRatesIntervalUs is the interval at which nodes report the read rates of
	// keys, in microseconds.
	keyRatesIntervalUs = 4 * hotKeyUpdateIntervalUs
)

// hotKeyState is the master's state for spreading the reads of hot keys over
// several endpoints. If the proposal has no hot keys, it is unused and the tracker
// is nil.
type hotKeyState struct {
	tracker *hotkeys.Tracker
	// current are the hot keys that are added to each view.
	current []*meshpb.HotKey
	// rates holds the latest report of each node, by the node's name.
	rates map[string][]*meshpb.KeyRate
}

// trackHotKeys schedules regular updates of the widths of hot keys until the virtual
// time untilUs.
func (s *simulation) trackHotKeys(untilUs int64) {
	s.hotKeys.tracker = hotkeys.NewTracker(s.scenario.HotKeys)
	s.hotKeys.rates = map[string][]*meshpb.KeyRate{}
	var update func()
	update = func() {
		s.updateHotKeys()
		if s.nowUs < untilUs {
			s.schedule(s.nowUs+hotKeyUpdateIntervalUs, update)
		}
	}
	s.schedule(s.startUs+hotKeyUpdateIntervalUs, update)
}

// updateHotKeys updates the widths of hot keys. If one has changed, it applies the
// current view of each node again, which contains the hot keys.
func (s *simulation) updateHotKeys() {
	if (s.nowUs-s.startUs)%keyRatesIntervalUs == 0 {
		for _, n := range s.nodes {
			s.hotKeys.rates[n.recorded.Node], _ = n.keyMeter.Rates()
		}
	}
	hotKeys, changes := s.hotKeys.tracker.Update(maps.Values(s.hotKeys.rates), s.newestEndpoints(), microseconds(s.nowUs-s.startUs), s.nowUs)
	s.hotKeys.current = hotKeys
	if len(changes) == 0 {
		return
	}
	for _, n := range s.nodes {
		if n.view != nil {
			s.applyView(n, n.view)
		}
	}
}

// newestEndpoints returns the endpoints of the view with the highest version that
// any node has.
func (s *simulation) newestEndpoints() []*meshpb.Endpoint {
	var endpoints []*meshpb.Endpoint
	version := uint64(0)
	for _, n := range s.nodes {
		if n.view != nil && n.view.Version >= version {
			endpoints, version = n.view.Endpoints, n.view.Version
		}
	}
	return endpoints
}
