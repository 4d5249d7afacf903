package changetrace

import (
	"fmt"
	"sync"
	"time"

	"corkcove/internal/logring"
	"corkcove/internal/rpc/meshpb"
)

// actionProposed is the action of the event in which an owner proposes a change to
// its shard.
const actionProposed = "proposed"

// Event records that a process performed an action on a change.
type Event struct {
	// Time is the time at which the process performed the action, by its own clock.
	Time time.Time
	// Action is what the process did, such as proposed or committed.
	Action string
	// Kind and Version identify the change to an operator. Kind is empty for a commit,
	// which covers all earlier proposals of its shard.
	Kind    string
	Version uint64
	// Shard, Epoch and ShardVersion are the change's position in the control state.
	// ShardVersion is 0 if the event has no such position.
	Shard        int
	Epoch        uint64
	ShardVersion uint64
}

// matches reports whether the event belongs to a change.
func (e Event) matches(c Change) bool { return e.Kind == c.Kind && e.Version == c.Version }

func (e Event) isProposal() bool { return e.Kind != "" && e.Action == actionProposed }

// detail returns the event's shard and version as text, or "" if it has none.
func (e Event) detail() string {
	if e.ShardVersion == 0 {
		return ""
	}
	return fmt.Sprintf("shard %d version %d", e.Shard, e.ShardVersion)
}

// Ring is a ring buffer of a process's most recent events. It is safe for concurrent
// use.
type Ring struct {
	mu     sync.Mutex
	events logring.RingBuffer[Event]
}

// NewRing returns an empty ring that holds up to size events. The size must be
// positive.
func NewRing(size int) *Ring { return &Ring{events: logring.NewRingBuffer[Event](size)} }

// Add adds an event, replacing the oldest one if the ring is full.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.Put(e)
}

// snapshot returns a copy of the events, oldest first.
func (r *Ring) snapshot() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events.All()
}

// Find returns the events of a change, oldest first, including the first commit that
// covers it.
func (r *Ring) Find(c Change) []*meshpb.TraceEvent {
	events := r.snapshot()
	if c.Version == 0 {
		c.Version = newestVersion(events, c.Kind)
	}
	var out []*meshpb.TraceEvent
	pending := pendingProposals{}
	for _, e := range events {
		if !e.matches(c) && (e.Kind != "" || !pending.removeCovered(e)) {
			continue
		}
		if e.isProposal() && e.ShardVersion > 0 {
			pending[proposalKey{e.Epoch, e.ShardVersion}] = e.Shard
		}
		out = append(out, &meshpb.TraceEvent{AtUs: e.Time.UnixMicro(), Step: e.Action, Epoch: e.Epoch, Detail: e.detail()})
	}
	return out
}

// newestVersion returns the highest recorded version of a kind, or 0 if there is none.
func newestVersion(events []Event, kind string) uint64 {
	version := uint64(0)
	for _, e := range events {
		if e.Kind == kind {
			version = max(version, e.Version)
		}
	}
	return version
}

// proposalKey is the epoch and shard version at which a change was proposed.
type proposalKey struct{ epoch, shardVersion uint64 }

// pendingProposals maps each uncommitted proposal to its shard.
type pendingProposals map[proposalKey]int

// removeCovered removes the proposals that a commit covers and reports whether there
// were any.
func (p pendingProposals) removeCovered(e Event) bool {
	covered := false
	for key, shard := range p {
		if shard == e.Shard && key.epoch == e.Epoch && e.ShardVersion >= key.shardVersion {
			covered = true
			delete(p, key)
		}
	}
	return covered
}
