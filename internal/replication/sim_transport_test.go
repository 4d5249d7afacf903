package replication_test

import (
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/replication"
	"corkcove/internal/rpc/meshpb"
)

// simTransport implements replication.Transport for one incarnation of a node's process.
type simTransport struct {
	node        *simNode
	incarnation int
}

// connected reports whether messages from one address reach the other.
func (c *simCluster) connected(from, to string) bool {
	return !c.partitioned[[2]string{from, to}] && !c.notSending[from] && !c.notReceiving[to]
}

// send delivers a request, which may be lost, delayed or duplicated, and its response, which
// may be lost or delayed. It calls callback once, with nil if no response has arrived within
// 600 ms.
func send[Request, Response proto.Message](transport *simTransport, to string, request Request, callback func(Response), handle func(replica *replication.Replica, request Request, reply func(Response))) {
	cluster := transport.node.cluster
	var noResponse Response
	done := false
	respond := func(response Response) {
		transport.node.deliver(transport.incarnation, func() {
			if !done {
				done = true
				callback(response)
			}
		})
	}
	cluster.schedule(600*time.Millisecond, func() { respond(noResponse) })
	delay := func() time.Duration {
		d := time.Duration(200+cluster.rng.Intn(4000)) * time.Microsecond
		if cluster.delayRate > 0 && cluster.rng.Float64() < cluster.delayRate {
			d += time.Duration(cluster.rng.Intn(1200)) * time.Millisecond
		}
		return d
	}
	request = proto.Clone(request).(Request)
	arrive := func() {
		target := cluster.nodes[to]
		if target == nil || !target.running || !cluster.connected(transport.node.address, to) || cluster.lossRate > 0 && cluster.rng.Float64() < cluster.lossRate {
			return
		}
		incarnation := target.incarnation
		target.deliver(incarnation, func() {
			handle(target.replica, request, func(response Response) {
				if any(response) == any(noResponse) || target.incarnation != incarnation || !cluster.connected(to, transport.node.address) || cluster.lossRate > 0 && cluster.rng.Float64() < cluster.lossRate {
					return
				}
				response = proto.Clone(response).(Response)
				cluster.schedule(delay(), func() { respond(response) })
			})
		})
	}
	cluster.schedule(delay(), arrive)
	if cluster.duplicateRate > 0 && cluster.rng.Float64() < cluster.duplicateRate {
		cluster.schedule(delay()+20*time.Millisecond, arrive)
	}
}

func (t *simTransport) RenewLeases(to *meshpb.Member, request *meshpb.RenewLeasesRequest, callback func(*meshpb.RenewLeasesResponse)) {
	send(t, to.Addr, request, callback, func(replica *replication.Replica, request *meshpb.RenewLeasesRequest, reply func(*meshpb.RenewLeasesResponse)) {
		reply(replica.HandleRenewLeases(request))
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
	send(t, to.Addr, request, callback, func(replica *replication.Replica, request *meshpb.ReplicateRequest, reply func(*meshpb.ReplicateResponse)) {
		replica.HandleReplicate(request, func(response *meshpb.ReplicateResponse) {
			for _, ack := range response.GetAcks() {
				ack.HaveEpoch, ack.HaveVersion = 0, 0
			}
			reply(response)
		})
	})
}

func (t *simTransport) RequestVotes(to *meshpb.Member, request *meshpb.RequestVotesRequest, callback func(*meshpb.RequestVotesResponse)) {
	send(t, to.Addr, request, callback, (*replication.Replica).HandleRequestVotes)
}

func (t *simTransport) TransferOwnership(to *meshpb.Member, request *meshpb.TransferOwnershipRequest, callback func(*meshpb.TransferOwnershipResponse)) {
	send(t, to.Addr, request, callback, func(replica *replication.Replica, request *meshpb.TransferOwnershipRequest, reply func(*meshpb.TransferOwnershipResponse)) {
		reply(replica.HandleTransferOwnership(request))
	})
}

func (t *simTransport) AcceptMembership(to *meshpb.Member, request *meshpb.AcceptMembershipRequest, callback func(*meshpb.AcceptMembershipResponse)) {
	send(t, to.Addr, request, callback, (*replication.Replica).HandleAcceptMembership)
}

func (t *simTransport) Join(to string, request *meshpb.JoinRequest, callback func(*meshpb.JoinResponse)) {
	send(t, to, request, callback, func(replica *replication.Replica, request *meshpb.JoinRequest, reply func(*meshpb.JoinResponse)) {
		reply(replica.HandleJoin(request))
	})
}
