package clustercontroller

import (
	"context"
	"time"

	"corkcove/internal/hotkeys"
	"corkcove/internal/logring"
	"corkcove/internal/rpc/meshpb"
)

// ViewStore saves views in shard 0.
type ViewStore interface {
	// SaveView returns once v is committed. After an error it may be or not.
	SaveView(ctx context.Context, v *meshpb.View) error
}

// Options of a Master.
type Options struct {
	// SelfAddr is this member's address for calls between processes.
	SelfAddr string
	// Now is the time since some fixed moment.
	Now func() time.Duration
	Log logring.Logger
	// Trace, unless nil, notes a view that was published.
	Trace func(what string, epoch, version uint64)

	// ViewInterval is the shortest time between two views.
	ViewInterval time.Duration
	// SendTimePerNode is what a small core machine takes to call one node. It
	// lengthens ViewInterval and the time after a takeover with the number of nodes.
	SendTimePerNode time.Duration
	// SettleTime is how long the endpoints must not have changed before a view is
	// made, so that changes that come together make one view.
	SettleTime time.Duration
	// TakeoverDelay is how long a new master hears nodes before its first view.
	TakeoverDelay time.Duration

	// PollLinger is how long a poll stays at a node that has nothing new.
	PollLinger time.Duration
	// PollLingerPerNode lengthens that with the number of nodes, up to
	// MaxPollLinger.
	PollLingerPerNode time.Duration
	MaxPollLinger     time.Duration
	// PollGrace is how much longer than it lingers a poll may take.
	PollGrace time.Duration
	// PollFailureLimit polls in a row must fail, and UnreachableAfter pass without an
	// answer, before a node counts as unreachable.
	PollFailureLimit int
	UnreachableAfter time.Duration
	// CrashLimit crashes of a node's endpoint within CrashWindow keep it down until
	// an operator sets the node to up.
	CrashLimit  int
	CrashWindow time.Duration
	HotKeys     hotkeys.Options

	// HoldsLease tells whether shard 0 is held right now; a master that is not sure
	// of it sends nothing. Nil means always.
	HoldsLease func() bool
	// InContact tells whether another member is in contact; one that is not is no
	// relay. Nil means always.
	InContact func(addr string) bool
	// ReadStored returns what this member holds of the versions that it is given.
	ReadStored func(*meshpb.StoredVersions) StoredPayloads
}

func (o Options) historyRules() historyRules {
	return historyRules{
		crashWindow:      o.CrashWindow,
		crashLimit:       o.CrashLimit,
		pollFailureLimit: o.PollFailureLimit,
		unreachableAfter: o.UnreachableAfter,
	}
}
