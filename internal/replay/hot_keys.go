package replay

import (
	"maps"
	"time"

	"corkcove/internal/hotkeys"
	"corkcove/internal/rpc/meshpb"
)

const (
	// hotKeyIntervalUs is how often the master decides on the widths of hot keys,
	// in microseconds.
	hotKeyIntervalUs = int64(250 * time.Millisecond / time.Microsecond)
	// keyRatesIntervalUs is how often nodes report how often they read a key.
	keyRatesIntervalUs = 4 * hotKeyIntervalUs
)

// hotKeySpread is the master's part in spreading hot keys; it is unused, with a
// nil tracker, where the proposal has none.
type hotKeySpread struct {
	tracker *hotkeys.Tracker
	// current goes with each view.
	current []*meshpb.HotKey
	// rates are each node's latest report.
	rates map[string][]*meshpb.KeyRate
}

// trackHotKeys updates the widths of hot keys until untilUs.
func (s *simulation) trackHotKeys(untilUs int64) {
	s.hotKeys.tracker = hotkeys.NewTracker(s.scenario.HotKeys)
	s.hotKeys.rates = map[string][]*meshpb.KeyRate{}
	var update func()
	update = func() {
		s.updateHotKeys()
		if s.nowUs < untilUs {
			s.schedule(s.nowUs+hotKeyIntervalUs, update)
		}
	}
	s.schedule(s.startUs+hotKeyIntervalUs, update)
}

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

// newestEndpoints are the endpoints of the newest view that a node has.
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
