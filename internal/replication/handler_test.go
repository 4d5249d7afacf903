package replication_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

// TestMalformedCallsHaveNoEffect guards against requests that make the replica panic
// or change its state: ones without a sender, for unknown shards, or empty.
func TestMalformedCallsHaveNoEffect(t *testing.T) {
	cluster := newSimCluster(t, 7, 1)
	cluster.runUntil(time.Second)
	box := mailbox.New()
	go box.Run(time.Hour, func() {})
	defer box.Close()
	handler := replication.Handler{Mailbox: box, Replica: cluster.nodes["m0"].replica}
	self := cluster.nodes["m0"].replica.Self()
	header := &meshpb.SenderHeader{From: self, To: self.Id, Membership: 1}
	ctx := t.Context()
	for _, header := range []*meshpb.SenderHeader{nil, {}, header} {
		_, _ = handler.RenewLeases(ctx, &meshpb.RenewLeasesRequest{Header: header, Watermarks: []*meshpb.Watermark{{Shard: 999}, nil}})
		_, _ = handler.Replicate(ctx, &meshpb.ReplicateRequest{Header: header, Entries: []*meshpb.Entry{{Shard: 999}}, States: []*meshpb.ShardState{{Shard: 999}}})
		_, _ = handler.RequestVotes(ctx, &meshpb.RequestVotesRequest{Header: header, Votes: []*meshpb.VoteRequest{{Shard: 999}}})
		_, _ = handler.TransferOwnership(ctx, &meshpb.TransferOwnershipRequest{Header: header, Watermarks: []*meshpb.Watermark{{Shard: 999}}})
	}
	_, _ = handler.AcceptMembership(ctx, &meshpb.AcceptMembershipRequest{})
	_, _ = handler.Join(ctx, &meshpb.JoinRequest{})
	_, owned := cluster.nodes["m0"].replica.OwnedEpoch(0)
	qt.Assert(t, owned, qt.IsTrue)
}
