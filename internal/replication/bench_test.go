package replication_test

import (
	"testing"
	"time"

	"corkcove/internal/coordination"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

// directTransport calls the handlers of the other replicas, by their addresses, on the
// caller's goroutine.
type directTransport map[string]*replication.Replica

func (t directTransport) RenewLeases(to *meshpb.Member, request *meshpb.RenewLeasesRequest, callback func(*meshpb.RenewLeasesResponse)) {
	callback(t[to.Addr].HandleRenewLeases(request))
}

func (t directTransport) Replicate(to *meshpb.Member, request *meshpb.ReplicateRequest, callback func(*meshpb.ReplicateResponse)) {
	t[to.Addr].HandleReplicate(request, callback)
}

func (t directTransport) RequestVotes(to *meshpb.Member, request *meshpb.RequestVotesRequest, callback func(*meshpb.RequestVotesResponse)) {
	t[to.Addr].HandleRequestVotes(request, callback)
}

func (t directTransport) TransferOwnership(to *meshpb.Member, request *meshpb.TransferOwnershipRequest, callback func(*meshpb.TransferOwnershipResponse)) {
	callback(t[to.Addr].HandleTransferOwnership(request))
}

func (t directTransport) AcceptMembership(to *meshpb.Member, request *meshpb.AcceptMembershipRequest, callback func(*meshpb.AcceptMembershipResponse)) {
	t[to.Addr].HandleAcceptMembership(request, callback)
}

func (t directTransport) Join(address string, request *meshpb.JoinRequest, callback func(*meshpb.JoinResponse)) {
	callback(t[address].HandleJoin(request))
}

// discardStorage discards all records. Its callbacks run at once and report success.
type discardStorage struct{}

func (discardStorage) Append(_ []byte, done func(error))       { done(nil) }
func (discardStorage) Checkpoint(_ [][]byte, done func(error)) { done(nil) }

// newDirectCluster starts three members and advances the clock by 10 s, after which m0
// must own shard 1. It returns m0 and a function that ticks all members once.
func newDirectCluster(b *testing.B, clock *time.Duration) (owner *replication.Replica, tick func()) {
	b.Helper()
	seeds := []*meshpb.Member{{Addr: "m0"}, {Addr: "m1"}, {Addr: "m2"}}
	transport := directTransport{}
	for _, seed := range seeds {
		replica, err := replication.New(replication.Options{
			Self: seed, Seeds: seeds, Bootstrap: true, Shards: simShards,
			LeaseDuration: 900 * time.Millisecond, HeartbeatInterval: 250 * time.Millisecond, RequestTimeout: 900 * time.Millisecond, EvictionTimeout: 2 * time.Second, CheckpointBytes: 1 << 20,
			NewStateMachine: func() replication.StateMachine { return coordination.NewTable(20 * time.Second) },
			Now:             func() time.Duration { return *clock },
			Rand:            func(int) int { return 0 },
		}, transport, discardStorage{}, nil)
		if err != nil {
			b.Fatal(err)
		}
		transport[seed.Addr] = replica
	}
	tick = func() {
		for _, seed := range seeds {
			transport[seed.Addr].Tick()
		}
	}
	for range 200 {
		*clock += 50 * time.Millisecond
		tick()
	}
	owner = transport["m0"]
	if _, owned := owner.OwnedEpoch(1); !owned {
		b.Fatal("m0 does not own shard 1")
	}
	return owner, tick
}

// BenchmarkExecute measures the processing of one change on three members, from Execute
// through replication to the commit, without network and disk.
func BenchmarkExecute(b *testing.B) {
	clock := time.Hour
	owner, tick := newDirectCluster(b, &clock)
	change := &meshpb.Change{Blob: &meshpb.Blob{Name: "blob", Data: make([]byte, 100), Version: 1}}
	b.ReportAllocs()
	for i := range b.N {
		owner.Execute(1, func(replication.StateMachine, time.Duration) *meshpb.Change { return change }, func(err error) {
			if err != nil {
				b.Fatal(err)
			}
		})
		if clock += time.Millisecond; i%50 == 0 {
			tick()
		}
	}
}

// BenchmarkTick measures one tick of all three members of an idle cluster. Every fifth
// tick, heartbeats are due.
func BenchmarkTick(b *testing.B) {
	clock := time.Hour
	_, tick := newDirectCluster(b, &clock)
	b.ReportAllocs()
	for range b.N {
		clock += 50 * time.Millisecond
		tick()
	}
}
