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

// gatedBook syncs a record only when the test says so, once it is gated.
type gatedBook struct {
	loop    *mailbox.Mailbox
	gated   bool
	pending []func(error)
}

func (b *gatedBook) Append(_ []byte, done func(error)) {
	if b.gated {
		b.pending = append(b.pending, done)
		return
	}
	go b.loop.Post(func() { done(nil) })
}

func (b *gatedBook) Checkpoint(_ [][]byte, done func(error)) { b.Append(nil, done) }

// The nodes get a configuration once it is committed, though what was proposed
// after it is not.
func TestCommittedConfigurationIsHandedOutBeforeWhatCameAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t0 := time.Now()
		now := func() time.Duration { return time.Since(t0) }
		loop := mailbox.New()
		defer loop.Close()
		book := &gatedBook{loop: loop}
		lines := rpc.NewClients(&http.Client{})
		c := &coreNode{process: &process{ring: logring.New(100, time.Second, nil), traceRing: changetrace.NewRing(100), startedAt: t0}, loop: loop, svc: coordination.NewService(loop, shards), lines: lines}
		c.master = clustercontroller.NewMaster(clustercontroller.Options{Now: now}, mailbox.New(), lines, c)
		defer c.master.Mailbox.Close()
		go c.master.Mailbox.Run(time.Hour, func() {})
		me := &meshpb.Member{Addr: "m", Control: "m"}
		var err error
		c.board, err = replication.New(replication.Options{Self: me, Seeds: []*meshpb.Member{me}, Bootstrap: true, Shards: shards,
			LeaseDuration: leaseFor, HeartbeatInterval: beatEach, RequestTimeout: 10 * time.Second, EvictionTimeout: 2 * time.Second, CheckpointBytes: 4 << 20,
			NewStateMachine: func() replication.StateMachine { return coordination.NewTable(time.Minute) }, NewID: func() string { return "id" },
			Now: now, Rand: func(int) int { return 0 }, OnOwnershipChange: c.onOwner, OnCommit: c.onCommit, OnEntryProgress: c.onStep}, nil, book, nil)
		qt.Assert(t, err, qt.IsNil)
		c.svc.Replica = c.board
		go loop.Run(tick, c.board.Tick)
		time.Sleep(3 * time.Second)

		gate := func(on bool) { mailbox.Call(loop, func() bool { book.gated = on; return on }) }
		propose := func(b *meshpb.Blob) {
			go coordination.Transact(context.Background(), c.svc, 0, func(*coordination.Table, time.Duration) coordination.Decision[struct{}] {
				return coordination.Decision[struct{}]{Change: &meshpb.Change{Blob: b}}
			})
			synctest.Wait()
		}
		data, _ := proto.Marshal(&meshpb.Config{Version: 7, Packed: rpc.Pack([]byte("{}"))})
		gate(true)
		propose(&meshpb.Blob{Name: controlapi.ConfigBlob, Version: 7, Data: data})
		propose(&meshpb.Blob{Name: viewBlob, Version: 1})
		inForce := func() uint64 {
			synctest.Wait()
			v, _ := mailbox.Call(c.master.Mailbox, c.master.ConfigVersion)
			return v
		}
		qt.Assert(t, inForce(), qt.Equals, uint64(0))
		n, _ := mailbox.Call(loop, func() int { n := len(book.pending); book.pending[0](nil); return n })
		qt.Assert(t, n, qt.Equals, 2)
		qt.Assert(t, inForce(), qt.Equals, uint64(7))
		mailbox.Call(loop, func() bool { book.pending[1](nil); return true })
	})
}
