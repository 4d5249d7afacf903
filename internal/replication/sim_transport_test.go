package replication_test

import (
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

// simTransport is the Transport of one incarnation of a process.
type simTransport struct {
	node        *simNode
	incarnation int
}

// connected tells that a message gets from one address to another.
func (c *simCluster) connected(a, b string) bool {
	return !c.partitioned[[2]string{a, b}] && !c.notSending[a] && !c.notReceiving[b]
}

// send carries a request and its response, with the delays, losses and duplicates
// of the cluster.
func send[Q, R proto.Message](transport *simTransport, to string, request Q, callback func(R), handle func(b *replication.Replica, request Q, reply func(R))) {
	cluster := transport.node.cluster
	var none R
	done := false
	finish := func(r R) {
		transport.node.deliver(transport.incarnation, func() {
			if !done {
				done = true
				callback(r)
			}
		})
	}
	cluster.schedule(600*time.Millisecond, func() { finish(none) })
	delay := func() time.Duration {
		d := time.Duration(200+cluster.rng.Intn(4000)) * time.Microsecond
		if cluster.delayRate > 0 && cluster.rng.Float64() < cluster.delayRate {
			d += time.Duration(cluster.rng.Intn(1200)) * time.Millisecond
		}
		return d
	}
	request = proto.Clone(request).(Q)
	arrive := func() {
		target := cluster.nodes[to]
		if target == nil || !target.running || !cluster.connected(transport.node.address, to) || cluster.lossRate > 0 && cluster.rng.Float64() < cluster.lossRate {
			return
		}
		incarnation := target.incarnation
		target.deliver(incarnation, func() {
			handle(target.replica, request, func(r R) {
				if any(r) == any(none) || target.incarnation != incarnation || !cluster.connected(to, transport.node.address) || cluster.lossRate > 0 && cluster.rng.Float64() < cluster.lossRate {
					return
				}
				r = proto.Clone(r).(R)
				cluster.schedule(delay(), func() { finish(r) })
			})
		})
	}
	cluster.schedule(delay(), arrive)
	if cluster.duplicateRate > 0 && cluster.rng.Float64() < cluster.duplicateRate {
		cluster.schedule(delay()+20*time.Millisecond, arrive)
	}
}

func (t *simTransport) RenewLeases(to *meshpb.Member, request *meshpb.RenewLeasesRequest, callback func(*meshpb.RenewLeasesResponse)) {
	send(t, to.Addr, request, callback, func(b *replication.Replica, request *meshpb.RenewLeasesRequest, f func(*meshpb.RenewLeasesResponse)) {
		f(b.HandleRenewLeases(request))
	})
}

func (t *simTransport) Replicate(to *meshpb.Member, request *meshpb.ReplicateRequest, callback func(*meshpb.ReplicateResponse)) {
	t.node.cluster.replicateCalls++
	if t.node.cluster.withoutEpochChanges != to.Addr {
		send(t, to.Addr, request, callback, (*replication.Replica).HandleReplicate)
		return
	}
	request = proto.Clone(request).(*meshpb.ReplicateRequest)
	request.EpochChanges = nil
	send(t, to.Addr, request, callback, func(b *replication.Replica, request *meshpb.ReplicateRequest, reply func(*meshpb.ReplicateResponse)) {
		b.HandleReplicate(request, func(r *meshpb.ReplicateResponse) {
			for _, a := range r.GetAcks() {
				a.HaveEpoch, a.HaveVersion = 0, 0
			}
			reply(r)
		})
	})
}

func (t *simTransport) RequestVotes(to *meshpb.Member, request *meshpb.RequestVotesRequest, callback func(*meshpb.RequestVotesResponse)) {
	send(t, to.Addr, request, callback, (*replication.Replica).HandleRequestVotes)
}

func (t *simTransport) TransferOwnership(to *meshpb.Member, request *meshpb.TransferOwnershipRequest, callback func(*meshpb.TransferOwnershipResponse)) {
	send(t, to.Addr, request, callback, func(b *replication.Replica, request *meshpb.TransferOwnershipRequest, f func(*meshpb.TransferOwnershipResponse)) {
		f(b.HandleTransferOwnership(request))
	})
}

func (t *simTransport) AcceptMembership(to *meshpb.Member, request *meshpb.AcceptMembershipRequest, callback func(*meshpb.AcceptMembershipResponse)) {
	send(t, to.Addr, request, callback, (*replication.Replica).HandleAcceptMembership)
}

func (t *simTransport) Join(to string, request *meshpb.JoinRequest, callback func(*meshpb.JoinResponse)) {
	send(t, to, request, callback, func(b *replication.Replica, request *meshpb.JoinRequest, f func(*meshpb.JoinResponse)) {
		f(b.HandleJoin(request))
	})
}
