package replication

import (
	"context"
	"time"

	"corkcove/internal/mailbox"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// PeerClient is the Transport that calls other processes. Each call has a
// goroutine of its own until its timeout at the latest; its callback goes through
// the replica's mailbox.
type PeerClient struct {
	Mailbox *mailbox.Mailbox
	Clients *rpc.Clients
	// CallTimeout bounds all calls but Replicate. Above the lease, a lost heartbeat
	// would keep the next one waiting until the lease is gone.
	CallTimeout time.Duration
	// ReplicateTimeout bounds Replicate, which may bring full states and waits for
	// the other's disk.
	ReplicateTimeout time.Duration
}

// send calls method and hands its response, nil for an error, to callback.
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
