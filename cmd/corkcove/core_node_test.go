package main

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/changetrace"
	"corkcove/internal/clustercontroller"
	"corkcove/internal/controlapi"
	"corkcove/internal/coordination"
	"corkcove/internal/logring"
	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// deferredLog is a replication log that confirms records at once. While deferred is
// set, it collects the confirmations in pending, for the test to call.
type deferredLog struct {
	mailbox  *mailbox.Mailbox
	deferred bool
	pending  []func(error)
}

func (l *deferredLog) Append(_ []byte, done func(error)) {
	if l.deferred {
		l.pending = append(l.pending, done)
		return
	}
	go l.mailbox.Post(func() { done(nil) })
}

func (l *deferredLog) Checkpoint(_ [][]byte, done func(error)) { l.Append(nil, done) }

// startSingleCore returns a core node that is the only member and owns all shards, with
// its log. The caller must close both mailboxes.
func startSingleCore(t *testing.T) (*coreNode, *deferredLog) {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	box := mailbox.New()
	log := &deferredLog{mailbox: box}
	clients := rpc.NewClients(&http.Client{})
	c := &coreNode{process: &process{logRing: logring.New(100, time.Second, nil), traceRing: changetrace.NewRing(100), startedAt: start}, mailbox: box, coordination: coordination.NewService(box, shardCount), clients: clients}
	c.master = clustercontroller.NewMaster(clustercontroller.Options{Now: now}, mailbox.New(), clients, c)
	go c.master.Mailbox.Run(time.Hour, func() {})
	self := &meshpb.Member{Addr: "m", Control: "m"}
	var err error
	c.replica, err = replication.New(replication.Options{Self: self, Seeds: []*meshpb.Member{self}, Bootstrap: true, Shards: shardCount,
		LeaseDuration: leaseDuration, HeartbeatInterval: coreHeartbeatInterval, RequestTimeout: 10 * time.Second, EvictionTimeout: 2 * time.Second, CheckpointBytes: 4 << 20,
		NewStateMachine: func() replication.StateMachine { return coordination.NewTable(time.Minute) }, NewID: func() string { return "id" },
		Now: now, Rand: func(int) int { return 0 }, OnOwnershipChange: c.onOwnershipChange, OnCommit: c.onCommit, OnEntryProgress: c.onEntryProgress}, nil, log, nil)
	qt.Assert(t, err, qt.IsNil)
	c.coordination.Replica = c.replica
	go box.Run(tickInterval, c.replica.Tick)
	time.Sleep(3 * time.Second)
	return c, log
}

// Guards against an operator's request that arrives late and undoes a later one: the
// version that it expects has passed. A repetition of the last one must succeed.
func TestLateUserStateDoesNotUndoALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := startSingleCore(t)
		defer c.mailbox.Close()
		defer c.master.Mailbox.Close()
		set := func(state string, expected uint64) error {
			_, err := c.storeUserState(context.Background(), &meshpb.SetStateRequest{Node: "n", State: state, Expected: proto.Uint64(expected)})
			return err
		}
		qt.Assert(t, set("maintenance", 0), qt.IsNil)
		qt.Assert(t, set("maintenance", 0), qt.IsNil, qt.Commentf("sent again"))
		qt.Assert(t, set("up", 1), qt.IsNil)
		qt.Assert(t, set("maintenance", 0), qt.ErrorIs, errUserStatesChanged, qt.Commentf("late"))
		qt.Assert(t, set("up", 1), qt.IsNil, qt.Commentf("sent again"))
		_, err := c.storeUserState(context.Background(), &meshpb.SetStateRequest{Node: "n", State: "retired"})
		qt.Assert(t, err, qt.IsNil, qt.Commentf("a command of the previous release names no version"))
		version, _ := mailbox.Call(c.mailbox, func() uint64 { return userStatesVersion(c.replica.StateMachine(controllerShard)) })
		qt.Assert(t, version, qt.Equals, uint64(3))
	})
}

// Guards against later entries delaying a configuration: the master must receive it
// as soon as it is committed, even if an entry that was proposed after it (here a
// view) is not. For that, onCommit must wait for the configuration's own entry, not
// for the newest one.
func TestMasterGetsCommittedConfigurationBeforeLaterEntriesCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, log := startSingleCore(t)
		defer c.mailbox.Close()
		defer c.master.Mailbox.Close()
		box := c.mailbox

		setDeferred := func(on bool) { mailbox.Call(box, func() bool { log.deferred = on; return on }) }
		propose := func(b *meshpb.Blob) {
			go func() {
				_, _ = coordination.Transact(context.Background(), c.coordination, 0, func(*coordination.Table, time.Duration) coordination.Decision[struct{}] {
					return coordination.Decision[struct{}]{Change: &meshpb.Change{Blob: b}}
				})
			}()
			synctest.Wait()
		}
		data, _ := proto.Marshal(&meshpb.Config{Version: 7, Packed: rpc.Compress([]byte("{}"))})
		setDeferred(true)
		propose(&meshpb.Blob{Name: controlapi.ConfigBlob, Version: 7, Data: data})
		propose(&meshpb.Blob{Name: viewBlob, Version: 1})
		masterConfigVersion := func() uint64 {
			synctest.Wait()
			v, _ := mailbox.Call(c.master.Mailbox, c.master.ConfigVersion)
			return v
		}
		qt.Assert(t, masterConfigVersion(), qt.Equals, uint64(0))
		n, _ := mailbox.Call(box, func() int { n := len(log.pending); log.pending[0](nil); return n })
		qt.Assert(t, n, qt.Equals, 2)
		qt.Assert(t, masterConfigVersion(), qt.Equals, uint64(7))
		mailbox.Call(box, func() bool { log.pending[1](nil); return true })
	})
}
