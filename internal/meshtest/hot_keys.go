package meshtest

import (
	"context"
	"maps"
	"time"

	"corkcove/internal/hotkeys"
	"corkcove/internal/rpc/meshpb"
)

const (
	// hotKeyUpdateInterval is the interval between updates of the widths of hot
	// keys.
	hotKeyUpdateInterval = 250 * time.Millisecond
	// updatesPerReport is the number of such updates per report of key rates by the
	// nodes.
	updatesPerReport = 2
)

// TrackHotKeys updates the widths of hot keys periodically, as the master does,
// until ctx is done. After each change it publishes a view and calls onChange, if
// that is not nil, with all hot keys.
func (m *Mesh) TrackHotKeys(ctx context.Context, options hotkeys.Options, onChange func([]*meshpb.HotKey)) {
	m.mu.Lock()
	m.hotKeyOptions, m.hotKeyTracker = options, hotkeys.NewTracker(options)
	m.mu.Unlock()
	rates := map[string][]*meshpb.KeyRate{}
	for update := 0; ctx.Err() == nil; update++ {
		time.Sleep(hotKeyUpdateInterval)
		hotKeys, changed := m.updateHotKeys(rates, update%updatesPerReport == 0)
		if !changed {
			continue
		}
		m.PublishView(m.lastStates())
		if onChange != nil {
			onChange(hotKeys)
		}
	}
}

// updateHotKeys updates the widths according to rates, which has the latest report
// of each node by its name. If report is true, it first collects new reports.
// changed reports whether any width changed.
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

// ReplaceMaster simulates the election of a new master by replacing the tracker
// with one whose only state is the hot keys of the last view. TrackHotKeys must have
// been called before.
func (m *Mesh) ReplaceMaster() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hotKeyTracker = hotkeys.NewTracker(m.hotKeyOptions)
	m.hotKeyTracker.Restore(m.view.HotKeys, m.elapsed())
}

// HotKeys returns the hot keys of the last view.
func (m *Mesh) HotKeys() []*meshpb.HotKey {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.HotKeys
}
