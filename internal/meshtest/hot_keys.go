package meshtest

import (
	"context"
	"maps"
	"time"

	"corkcove/internal/hotkeys"
	"corkcove/internal/rpc/meshpb"
)

const (
	// hotKeyInterval is how often the widths of hot keys are decided on.
	hotKeyInterval = 250 * time.Millisecond
	// roundsPerReport is how many of these rounds pass between two reports of the
	// nodes.
	roundsPerReport = 2
)

// TrackHotKeys sets the widths of hot keys, as a master does, until the context
// ends. Each time that they change, onChange gets them; it may be nil.
func (m *Mesh) TrackHotKeys(ctx context.Context, options hotkeys.Options, onChange func([]*meshpb.HotKey)) {
	m.mu.Lock()
	m.hotKeyOptions, m.hotKeyTracker = options, hotkeys.NewTracker(options)
	m.mu.Unlock()
	rates := map[string][]*meshpb.KeyRate{}
	for round := 0; ctx.Err() == nil; round++ {
		time.Sleep(hotKeyInterval)
		hotKeys, changed := m.updateHotKeys(rates, round%roundsPerReport == 0)
		if !changed {
			continue
		}
		m.PublishView(m.publishedStates())
		if onChange != nil {
			onChange(hotKeys)
		}
	}
}

// updateHotKeys decides on the widths by the nodes' rates, after it has collected
// these if they report.
func (m *Mesh) updateHotKeys(rates map[string][]*meshpb.KeyRate, report bool) (hotKeys []*meshpb.HotKey, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if report {
		for _, n := range m.Nodes {
			rates[n.Name], _ = n.KeyMeter.Rates()
		}
	}
	hotKeys, changes := m.hotKeyTracker.Update(maps.Values(rates), m.view.Endpoints, m.elapsed(), time.Now().UnixMicro())
	m.hotKeys = hotKeys
	return hotKeys, len(changes) > 0
}

// ReplaceMaster stands in for a new master: its tracker knows the last view and
// nothing else.
func (m *Mesh) ReplaceMaster() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hotKeyTracker = hotkeys.NewTracker(m.hotKeyOptions)
	m.hotKeyTracker.Restore(m.view.HotKeys, m.elapsed())
}

// HotKeys returns the last view's hot keys.
func (m *Mesh) HotKeys() []*meshpb.HotKey {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.HotKeys
}
