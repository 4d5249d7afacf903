package replication

import (
	"context"
	"time"

	"corkcove/internal/mailbox"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// PeerClient implements Transport by RPCs to other processes. Each call runs on its
// own goroutine, at most until its timeout, and posts its callback to the replica's
// mailbox.
type PeerClient struct {
	// Mailbox is the mailbox of the replica, on whose goroutine callbacks run.
	Mailbox *mailbox.Mailbox
	// Clients provides the RPC clients by address.
	Clients *rpc.Clients
	// CallTimeout limits all calls except Replicate. It must be below the lease
	// duration: otherwise a lost heartbeat delays the next one until the lease has
	// expired.
	CallTimeout time.Duration
	// ReplicateTimeout limits Replicate, which may transfer full shard states and
	// waits for the peer's disk.
	ReplicateTimeout time.Duration
}

// send calls method on a new goroutine and posts callback with the response, which is
// nil if the call failed.
func send[Request, Response any](c PeerClient, timeout time.Duration, method func(context.Context, *Request) (*Response, error), request *Request, callback func(*Response)) {
	go func() {
		response, err := rpc.Call(timeout, method, request)
		if err != nil {
			response = nil
		}
		c.Mailbox.Post(func() { callback(response) })
	}()
}

// RenewLeases implements Transport.
func (c PeerClient) RenewLeases(to *meshpb.Member, request *meshpb.RenewLeasesRequest, callback func(*meshpb.RenewLeasesResponse)) {
	send(c, c.CallTimeout, c.Clients.Replication(to.Addr).RenewLeases, request, callback)
}

// Replicate implements Transport.
func (c PeerClient) Replicate(to *meshpb.Member, request *meshpb.ReplicateRequest, callback func(*meshpb.ReplicateResponse)) {
	send(c, c.ReplicateTimeout, c.Clients.Replication(to.Addr).Replicate, request, callback)
}

// RequestVotes implements Transport.
func (c PeerClient) RequestVotes(to *meshpb.Member, request *meshpb.RequestVotesRequest, callback func(*meshpb.RequestVotesResponse)) {
	send(c, c.CallTimeout, c.Clients.Replication(to.Addr).RequestVotes, request, callback)
}

// TransferOwnership implements Transport.
func (c PeerClient) TransferOwnership(to *meshpb.Member, request *meshpb.TransferOwnershipRequest, callback func(*meshpb.TransferOwnershipResponse)) {
	send(c, c.CallTimeout, c.Clients.Replication(to.Addr).TransferOwnership, request, callback)
}

// AcceptMembership implements Transport.
func (c PeerClient) AcceptMembership(to *meshpb.Member, request *meshpb.AcceptMembershipRequest, callback func(*meshpb.AcceptMembershipResponse)) {
	send(c, c.CallTimeout, c.Clients.Replication(to.Addr).AcceptMembership, request, callback)
}

// Join implements Transport.
func (c PeerClient) Join(address string, request *meshpb.JoinRequest, callback func(*meshpb.JoinResponse)) {
	send(c, c.CallTimeout, c.Clients.Replication(address).Join, request, callback)
}
