package nodeagent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// unreachableTransport fails every request.
type unreachableTransport struct{}

func (unreachableTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("unreachable")
}

// fakeCoreMember counts registration calls and answers with the configured master
// address.
type fakeCoreMember struct {
	meshpb.Control
	mu            sync.Mutex
	registrations int
	master        bool
	masterAddr    string
}

func (m *fakeCoreMember) RegisterNode(context.Context, *meshpb.RegisterNodeRequest) (*meshpb.RegisterNodeResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registrations++
	return &meshpb.RegisterNodeResponse{MasterAddr: m.masterAddr, Master: m.master}, nil
}

// advance moves the virtual clock on by d and waits until all goroutines are blocked.
func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// Guards against nodes that, after a restart of all, call every core member again and
// again. A node must follow the first answer to the master, and must not register
// while a long poll is open or before the announced next poll is due.
func TestRegistrationCallsFewMembersAndPausesDuringLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		clients := rpc.NewClients(&http.Client{Transport: unreachableTransport{}})
		a := &Agent{Name: "n", Incarnation: "run-1", RegisterAfter: time.Second, Now: func() time.Duration { return time.Since(start) },
			Clients: clients}
		var members []*fakeCoreMember
		for i := range 9 {
			m := &fakeCoreMember{masterAddr: "c7", master: i == 7}
			clients.PutControl(fmt.Sprint("c", i), m)
			a.Seeds = append(a.Seeds, fmt.Sprint("c", i))
			members = append(members, m)
		}
		a.Init(&meshpb.NodeState{Name: "n", Incarnation: "run-1"})
		qt.Assert(t, a.register(t.Context()), qt.IsTrue)
		calls := 0
		for _, m := range members {
			calls += m.registrations
		}
		qt.Assert(t, calls <= 2 && members[7].registrations == 1, qt.IsTrue, qt.Commentf("%d core members were called", calls))
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			_, err := a.Poll(ctx, &meshpb.PollRequest{Epoch: 1, Name: "n", Incarnation: "run-1", Seq: 1, LingerMs: 10000})
			qt.Check(t, err, qt.ErrorIs, context.Canceled)
		}()
		advance(5 * time.Second)
		qt.Assert(t, a.PollOverdue(), qt.IsFalse)
		stop()
		advance(time.Millisecond)
		qt.Assert(t, a.PollOverdue(), qt.IsTrue, qt.Commentf("the master dropped the call"))
		_, err := a.Poll(t.Context(), &meshpb.PollRequest{Epoch: 1, Name: "n", NextPollMs: 3000})
		qt.Assert(t, err, qt.IsNil)
		advance(3500 * time.Millisecond)
		qt.Assert(t, a.PollOverdue(), qt.IsFalse)
		advance(time.Second)
		qt.Assert(t, a.PollOverdue(), qt.IsTrue)
	})
}

func TestAgentRejectsLowerEpochAndOlderVersion(t *testing.T) {
	applied := 0
	a := &Agent{Name: "n", Incarnation: "run-1", Now: func() time.Duration { return 0 },
		OnView: func(*meshpb.View) { applied++ }, OnConfig: func(uint64, []byte) error { return nil }}
	a.Init(&meshpb.NodeState{Name: "n"})
	ctx := context.Background()
	publish := func(epoch, version uint64) bool {
		packed, _ := proto.Marshal(&meshpb.View{Epoch: epoch, Version: version})
		r, _ := a.PublishView(ctx, &meshpb.PublishViewRequest{Packed: packed})
		return r.Ok
	}
	qt.Assert(t, publish(2, 5), qt.IsTrue)
	qt.Assert(t, publish(1, 9), qt.IsFalse)
	qt.Assert(t, publish(2, 4), qt.IsFalse)
	qt.Assert(t, publish(2, 5), qt.IsTrue)
	qt.Assert(t, publish(3, 6), qt.IsTrue)
	qt.Assert(t, applied, qt.Equals, 2)
	poll, _ := a.Poll(ctx, &meshpb.PollRequest{Epoch: 2, Name: "n"})
	qt.Assert(t, poll.Stale, qt.IsTrue)
	qt.Assert(t, poll.Epoch, qt.Equals, uint64(3))
	_, err := a.DeliverConfig(ctx, &meshpb.DeliverConfigRequest{Epoch: 3, Version: 8, Data: rpc.Compress(nil)})
	qt.Assert(t, err, qt.IsNil)
	delivered, _ := a.DeliverConfig(ctx, &meshpb.DeliverConfigRequest{Epoch: 3, Version: 7, Data: rpc.Compress(nil)})
	qt.Assert(t, delivered.Version, qt.Equals, uint64(8))
}
