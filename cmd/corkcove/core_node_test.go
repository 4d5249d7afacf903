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

// gatedLog syncs a record only when the test says so, once it is gated.
type gatedLog struct {
	mailbox *mailbox.Mailbox
	gated   bool
	pending []func(error)
}

func (l *gatedLog) Append(_ []byte, done func(error)) {
	if l.gated {
		l.pending = append(l.pending, done)
		return
	}
	go l.mailbox.Post(func() { done(nil) })
}

func (l *gatedLog) Checkpoint(_ [][]byte, done func(error)) { l.Append(nil, done) }

// The nodes get a configuration once it is committed, though what was proposed
// after it is not.
func TestMasterGetsCommittedConfigurationBeforeLaterEntriesCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		box := mailbox.New()
		defer box.Close()
		log := &gatedLog{mailbox: box}
		clients := rpc.NewClients(&http.Client{})
		c := &coreNode{process: &process{ring: logring.New(100, time.Second, nil), traceRing: changetrace.NewRing(100), startedAt: start}, mailbox: box, service: coordination.NewService(box, shardCount), clients: clients}
		c.master = clustercontroller.NewMaster(clustercontroller.Options{Now: now}, mailbox.New(), clients, c)
		defer c.master.Mailbox.Close()
		go c.master.Mailbox.Run(time.Hour, func() {})
		self := &meshpb.Member{Addr: "m", Control: "m"}
		var err error
		c.replica, err = replication.New(replication.Options{Self: self, Seeds: []*meshpb.Member{self}, Bootstrap: true, Shards: shardCount,
			LeaseDuration: leaseDuration, HeartbeatInterval: coreHeartbeatInterval, RequestTimeout: 10 * time.Second, EvictionTimeout: 2 * time.Second, CheckpointBytes: 4 << 20,
			NewStateMachine: func() replication.StateMachine { return coordination.NewTable(time.Minute) }, NewID: func() string { return "id" },
			Now: now, Rand: func(int) int { return 0 }, OnOwnershipChange: c.onOwnershipChange, OnCommit: c.onCommit, OnEntryProgress: c.onEntryProgress}, nil, log, nil)
		qt.Assert(t, err, qt.IsNil)
		c.service.Replica = c.replica
		go box.Run(tickInterval, c.replica.Tick)
		time.Sleep(3 * time.Second)

		gate := func(on bool) { mailbox.Call(box, func() bool { log.gated = on; return on }) }
		propose := func(b *meshpb.Blob) {
			go func() {
				_, _ = coordination.Transact(context.Background(), c.service, 0, func(*coordination.Table, time.Duration) coordination.Decision[struct{}] {
					return coordination.Decision[struct{}]{Change: &meshpb.Change{Blob: b}}
				})
			}()
			synctest.Wait()
		}
		data, _ := proto.Marshal(&meshpb.Config{Version: 7, Packed: rpc.Compress([]byte("{}"))})
		gate(true)
		propose(&meshpb.Blob{Name: controlapi.ConfigBlob, Version: 7, Data: data})
		propose(&meshpb.Blob{Name: viewBlob, Version: 1})
		inForce := func() uint64 {
			synctest.Wait()
			v, _ := mailbox.Call(c.master.Mailbox, c.master.ConfigVersion)
			return v
		}
		qt.Assert(t, inForce(), qt.Equals, uint64(0))
		n, _ := mailbox.Call(box, func() int { n := len(log.pending); log.pending[0](nil); return n })
		qt.Assert(t, n, qt.Equals, 2)
		qt.Assert(t, inForce(), qt.Equals, uint64(7))
		mailbox.Call(box, func() bool { log.pending[1](nil); return true })
	})
}
