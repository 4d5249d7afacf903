package changetrace

import (
	"fmt"
	"sync"
	"time"

	"corkcove/internal/logring"
	"corkcove/internal/rpc/meshpb"
)

// actionProposed is the action of an event that proposes a change to its shard.
const actionProposed = "proposed"

// Event is one thing that a process did to a change.
type Event struct {
	Time   time.Time
	Action string
	// Kind and Version name the change for its users. Kind is empty for a commit,
	// which covers all that was proposed before it.
	Kind    string
	Version uint64
	// Shard, Epoch and ShardVersion are the change's place in the control state;
	// ShardVersion is 0 if it has none.
	Shard        int
	Epoch        uint64
	ShardVersion uint64
}

func (e Event) isOf(c Change) bool { return e.Kind == c.Kind && e.Version == c.Version }

func (e Event) proposes() bool { return e.Kind != "" && e.Action == actionProposed }

// detail tells the event's place in its shard, "" if it has none.
func (e Event) detail() string {
	if e.ShardVersion == 0 {
		return ""
	}
	return fmt.Sprintf("shard %d version %d", e.Shard, e.ShardVersion)
}

// Ring keeps the last events of a process.
type Ring struct {
	mu     sync.Mutex
	events logring.RingBuffer[Event]
}

// NewRing returns a ring that keeps size events.
func NewRing(size int) *Ring { return &Ring{events: logring.NewRingBuffer[Event](size)} }

// Add adds an event; the oldest one gives way to it.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events.Put(e)
}

func (r *Ring) all() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events.All()
}

// Find returns the events of a change in their order, and the first commit that
// covers it.
func (r *Ring) Find(c Change) []*meshpb.TraceEvent {
	events := r.all()
	if c.Version == 0 {
		c.Version = newestVersion(events, c.Kind)
	}
	var out []*meshpb.TraceEvent
	waiting := proposals{}
	for _, e := range events {
		if !e.isOf(c) && (e.Kind != "" || !waiting.commit(e)) {
			continue
		}
		if e.proposes() && e.ShardVersion > 0 {
			waiting[proposal{e.Epoch, e.ShardVersion}] = e.Shard
		}
		out = append(out, &meshpb.TraceEvent{AtUs: e.Time.UnixMicro(), Step: e.Action, Epoch: e.Epoch, Detail: e.detail()})
	}
	return out
}

func newestVersion(events []Event, kind string) uint64 {
	version := uint64(0)
	for _, e := range events {
		if e.Kind == kind {
			version = max(version, e.Version)
		}
	}
	return version
}

type proposal struct{ epoch, shardVersion uint64 }

// proposals are those that wait for their commit, with their shards.
type proposals map[proposal]int

// commit removes the proposals that a commit covers, and tells whether there were
// any.
func (p proposals) commit(e Event) bool {
	covers := false
	for waiting, shard := range p {
		if shard == e.Shard && waiting.epoch == e.Epoch && e.ShardVersion >= waiting.shardVersion {
			covers = true
			delete(p, waiting)
		}
	}
	return covers
}
