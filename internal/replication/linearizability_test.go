package replication_test

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"corkcove/internal/coordination"
	"corkcove/internal/rpc/meshpb"
)

// history holds what callers saw of single cells, for a linearizability checker.
type history struct {
	run        *scenarioRun
	operations []porcupine.Operation
	calls      int
	ending     bool
}

// cellInput is a call, cellOutput its result; the outcome of a write may be
// unknown.
type cellInput struct {
	key   string
	write bool
	value string
}

type cellOutput struct {
	value    string
	revision uint64
	known    bool
}

// cellModel is a register whose writes raise its revision.
var cellModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string]int{}
		var out [][]porcupine.Operation
		for _, o := range h {
			k := o.Input.(cellInput).key
			if _, ok := by[k]; !ok {
				by[k] = len(out)
				out = append(out, nil)
			}
			out[by[k]] = append(out[by[k]], o)
		}
		return out
	},
	Init: func() any { return cellOutput{} },
	Step: func(state, input, output any) (bool, any) {
		s, q, a := state.(cellOutput), input.(cellInput), output.(cellOutput)
		if !q.write {
			return a.value == s.value && (s.revision == 0 && a.value != "" || a.revision == s.revision || s.revision == unknownRevision), cellOutput{value: a.value, revision: a.revision}
		}
		if !a.known {
			return true, cellOutput{value: q.value, revision: unknownRevision}
		}
		return s.revision == unknownRevision || a.revision > s.revision, cellOutput{value: q.value, revision: a.revision}
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// unknownRevision is the revision of a cell after a write whose outcome is unknown.
const unknownRevision = 1 << 60

func (h *history) start() {
	var next func()
	next = func() {
		h.calls++
		key := fmt.Sprintf("h.%d", h.run.rng.Intn(4))
		if h.run.rng.Intn(3) == 0 && !h.ending {
			h.put(key, fmt.Sprintf("w%d", h.calls))
		} else {
			h.get(key)
		}
		h.run.schedule(time.Duration(20+h.run.rng.Intn(120))*time.Millisecond, next)
	}
	next()
}

// put writes a cell, and again with the same value until that is acknowledged or
// three seconds have passed.
func (h *history) put(key, value string) {
	run := h.run
	i := len(h.operations)
	h.operations = append(h.operations, porcupine.Operation{ClientId: i, Input: cellInput{key, true, value}, Call: int64(run.now), Output: cellOutput{}, Return: 1 << 62})
	end := run.now + 3*time.Second
	done := false
	var attempt func()
	attempt = func() {
		var cell coordination.Cell
		run.workload.call(2, func(t *coordination.Table, now time.Duration) *meshpb.Change {
			decision := t.Put(key, value, nil, now)
			cell = decision.Result
			return decision.Change
		}, func(err error) {
			if err == nil && !done {
				done = true
				h.operations[i].Return, h.operations[i].Output = int64(run.now), cellOutput{value, cell.Revision, true}
			}
		})
		run.schedule(time.Second, func() {
			if !done && run.now < end {
				attempt()
			}
		})
	}
	attempt()
}

func (h *history) get(key string) {
	run := h.run
	at := int64(run.now)
	var cell coordination.Cell
	run.workload.call(2, func(t *coordination.Table, _ time.Duration) *meshpb.Change { cell = t.Get(key).Result; return nil }, func(err error) {
		if err == nil {
			h.operations = append(h.operations, porcupine.Operation{
				ClientId: len(h.operations),
				Input:    cellInput{key: key},
				Call:     at,
				Output:   cellOutput{cell.Payload, cell.Revision, true},
				Return:   int64(run.now),
			})
		}
	})
}

func (h *history) check() {
	switch porcupine.CheckOperationsTimeout(cellModel, h.operations, 20*time.Second) {
	case porcupine.Illegal:
		h.run.workload.fail("the history of the keys is not linearizable")
	case porcupine.Unknown:
		h.run.logf("the checker ran out of time on %d operations", len(h.operations))
	}
}
