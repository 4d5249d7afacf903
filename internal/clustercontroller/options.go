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
	// SaveView returns nil once v is committed. After an error the outcome is unknown:
	// v may or may not have been committed.
	SaveView(ctx context.Context, v *meshpb.View) error
}

// Options configures a Master.
type Options struct {
	// SelfAddr is this member's address for calls between processes.
	SelfAddr string
	// Now returns the time since a fixed moment.
	Now func() time.Duration
	// Log receives state changes and warnings; the zero value discards them.
	Log logring.Logger
	// Trace, unless nil, is called with the action "published" for each view that was
	// published.
	Trace func(action string, epoch, version uint64)

	// ViewInterval is the minimum time between two views.
	ViewInterval time.Duration
	// SendTimePerNode is how long a small core machine takes to call one node. With
	// many nodes it extends ViewInterval, TakeoverDelay and the timeouts of polls.
	SendTimePerNode time.Duration
	// SettleTime is how long the endpoints must have been unchanged before a view is
	// made, so that changes that arrive together result in one view.
	SettleTime time.Duration
	// TakeoverDelay is how long a new master collects poll responses before it makes
	// its first view.
	TakeoverDelay time.Duration

	// PollLinger is how long a node holds a poll (a long poll) while its state is
	// unchanged.
	PollLinger time.Duration
	// PollLingerPerNode times the number of nodes replaces PollLinger if it is longer,
	// up to MaxPollLinger.
	PollLingerPerNode time.Duration
	// MaxPollLinger bounds the linger time that PollLingerPerNode yields.
	MaxPollLinger time.Duration
	// PollGrace is how much longer than its linger time a poll may take.
	PollGrace time.Duration
	// PollFailureLimit is how many consecutive polls to a node must fail before it
	// counts as unreachable; UnreachableAfter must have passed as well.
	PollFailureLimit int
	// UnreachableAfter is how long a node must have left polls unanswered before it
	// counts as unreachable.
	UnreachableAfter time.Duration
	// CrashLimit is how many crashes of a node's endpoint within CrashWindow keep the
	// endpoint down until an operator sets the node to up.
	CrashLimit int
	// CrashWindow is the period over which CrashLimit counts crashes.
	CrashWindow time.Duration
	// HotKeys configures the detection of hot keys.
	HotKeys hotkeys.Options

	// HoldsLease tells whether this member holds the lease on shard 0 now; a master
	// that does not hold it sends nothing. Nil means always.
	HoldsLease func() bool
	// InContact tells whether this member has recently heard from the member at addr;
	// only members in contact are used as relays. Nil means always.
	InContact func(addr string) bool
	// ReadStored returns the view and configuration that this member has stored, as
	// far as they are the given versions. Nil means that none are available.
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
