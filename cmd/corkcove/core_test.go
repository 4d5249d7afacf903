package main

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/desk"
	"corkcove/internal/exchange"
	"corkcove/internal/numbering"
	"corkcove/internal/ringlog"
	"corkcove/internal/supervisor"
	"corkcove/internal/tracer"
	"corkcove/internal/trunk"
)

// gatedBook syncs a record only when the test says so, once it is gated.
type gatedBook struct {
	loop    *exchange.Loop
	gated   bool
	pending []func(error)
}

func (b *gatedBook) Append(_ []byte, done func(error)) {
	if b.gated {
		b.pending = append(b.pending, done)
		return
	}
	go b.loop.Put(func() { done(nil) })
}

func (b *gatedBook) Checkpoint(_ [][]byte, done func(error)) { b.Append(nil, done) }

// The nodes get a configuration once it is committed, though what was proposed
// after it is not.
func TestCommittedConfigurationIsHandedOutBeforeWhatCameAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t0 := time.Now()
		now := func() time.Duration { return time.Since(t0) }
		loop := exchange.NewLoop()
		defer loop.Close()
		book := &gatedBook{loop: loop}
		lines := trunk.NewLines(&http.Client{})
		c := &coreNode{process: &process{ring: ringlog.New(100, time.Second, false), steps: tracer.NewRing(100), t0: t0}, loop: loop, svc: numbering.NewService(loop, shards), lines: lines}
		c.master = supervisor.NewMaster(supervisor.Options{Now: now}, exchange.NewLoop(), lines, c)
		defer c.master.Loop.Close()
		go c.master.Loop.Run(time.Hour, func() {})
		me := &trunk.Member{Addr: "m", Control: "m"}
		var err error
		c.board, err = exchange.New(exchange.Options{Me: me, Seeds: []*trunk.Member{me}, First: true, Shards: shards,
			Lease: leaseFor, Beat: beatEach, CallWait: 10 * time.Second, Unreached: 2 * time.Second, LogBytes: 4 << 20,
			NewTable: func() exchange.Table { return numbering.NewTable(time.Minute) }, NewID: func() string { return "id" },
			Now: now, Rand: func(int) int { return 0 }, OnOwner: c.onOwner, OnCommit: c.onCommit, OnStep: c.onStep}, nil, book, nil)
		qt.Assert(t, err, qt.IsNil)
		c.svc.Board = c.board
		go loop.Run(tick, c.board.Tick)
		time.Sleep(3 * time.Second)

		gate := func(on bool) { exchange.Ask(loop, func() bool { book.gated = on; return on }) }
		propose := func(b *trunk.Blob) {
			go numbering.Run(context.Background(), c.svc, 0, func(*numbering.Table, time.Duration) (*trunk.Change, bool) {
				return &trunk.Change{Blob: b}, true
			})
			synctest.Wait()
		}
		data, _ := proto.Marshal(&trunk.Config{Version: 7, Packed: trunk.Pack([]byte("{}"))})
		gate(true)
		propose(&trunk.Blob{Name: desk.ConfigBlob, Version: 7, Data: data})
		propose(&trunk.Blob{Name: viewBlob, Version: 1})
		inForce := func() uint64 {
			synctest.Wait()
			v, _ := exchange.Ask(c.master.Loop, c.master.Config)
			return v
		}
		qt.Assert(t, inForce(), qt.Equals, uint64(0))
		n, _ := exchange.Ask(loop, func() int { n := len(book.pending); book.pending[0](nil); return n })
		qt.Assert(t, n, qt.Equals, 2)
		qt.Assert(t, inForce(), qt.Equals, uint64(7))
		exchange.Ask(loop, func() bool { book.pending[1](nil); return true })
	})
}
