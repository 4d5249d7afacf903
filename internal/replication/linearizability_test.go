package replication_test

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"corkcove/internal/coordination"
	"corkcove/internal/rpc/meshpb"
)

// history issues reads and writes of cells and records their calls and results, for the
// linearizability checker.
type history struct {
	run        *scenarioRun
	operations []porcupine.Operation
	callCount  int
	// readOnly makes start issue reads only.
	readOnly bool
}

// cellInput is a call: a read of a cell, or a write of value to it.
type cellInput struct {
	key   string
	write bool
	value string
}

// cellOutput is the result of a call, and the state of a cell in cellModel.
type cellOutput struct {
	value    string
	revision uint64
	// known is false if the outcome of a write is unknown.
	known bool
}

// cellModel specifies a cell as a register whose revision increases with each write.
// Cells are checked independently of each other.
var cellModel = porcupine.Model{
	Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
		partitionOf := map[string]int{}
		var partitions [][]porcupine.Operation
		for _, operation := range operations {
			key := operation.Input.(cellInput).key
			if _, ok := partitionOf[key]; !ok {
				partitionOf[key] = len(partitions)
				partitions = append(partitions, nil)
			}
			partitions[partitionOf[key]] = append(partitions[partitionOf[key]], operation)
		}
		return partitions
	},
	Init: func() any { return cellOutput{} },
	Step: func(state, input, output any) (bool, any) {
		current, call, result := state.(cellOutput), input.(cellInput), output.(cellOutput)
		if !call.write {
			return result.value == current.value && (current.revision == 0 && result.value != "" || result.revision == current.revision || current.revision == unknownRevision), cellOutput{value: result.value, revision: result.revision}
		}
		if !result.known {
			return true, cellOutput{value: call.value, revision: unknownRevision}
		}
		return current.revision == unknownRevision || result.revision > current.revision, cellOutput{value: call.value, revision: result.revision}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// unknownRevision is the revision of a cell after a write with an unknown outcome.
const unknownRevision = 1 << 60

// start issues a read or a write of a random cell every 20 to 140 ms.
func (h *history) start() {
	var next func()
	next = func() {
		h.callCount++
		key := fmt.Sprintf("h.%d", h.run.rng.Intn(4))
		if h.run.rng.Intn(3) == 0 && !h.readOnly {
			h.put(key, fmt.Sprintf("w%d", h.callCount))
		} else {
			h.get(key)
		}
		h.run.schedule(time.Duration(20+h.run.rng.Intn(120))*time.Millisecond, next)
	}
	next()
}

// put writes a cell. It repeats the write with the same value every second until it is
// acknowledged or three seconds have passed. A write that is never acknowledged is
// recorded as pending until the end of the history, because it may take effect at any
// time.
func (h *history) put(key, value string) {
	run := h.run
	index := len(h.operations)
	h.operations = append(h.operations, porcupine.Operation{ClientId: index, Input: cellInput{key, true, value}, Call: int64(run.now), Output: cellOutput{}, Return: 1 << 62})
	deadline := run.now + 3*time.Second
	acknowledged := false
	var attempt func()
	attempt = func() {
		var cell coordination.Cell
		run.workload.call(2, func(table *coordination.Table, now time.Duration) *meshpb.Change {
			decision := table.Put(key, value, nil, now)
			cell = decision.Result
			return decision.Change
		}, func(err error) {
			if err == nil && !acknowledged {
				acknowledged = true
				h.operations[index].Return, h.operations[index].Output = int64(run.now), cellOutput{value, cell.Revision, true}
			}
		})
		run.schedule(time.Second, func() {
			if !acknowledged && run.now < deadline {
				attempt()
			}
		})
	}
	attempt()
}

// get reads a cell. Only successful reads are recorded.
func (h *history) get(key string) {
	run := h.run
	calledAt := int64(run.now)
	var cell coordination.Cell
	run.workload.call(2, func(table *coordination.Table, _ time.Duration) *meshpb.Change {
		cell = table.Get(key).Result
		return nil
	}, func(err error) {
		if err == nil {
			h.operations = append(h.operations, porcupine.Operation{
				ClientId: len(h.operations),
				Input:    cellInput{key: key},
				Call:     calledAt,
				Output:   cellOutput{cell.Payload, cell.Revision, true},
				Return:   int64(run.now),
			})
		}
	})
}

// check fails the test if the history is not linearizable. If the checker times out, it
// only logs that.
func (h *history) check() {
	switch porcupine.CheckOperationsTimeout(cellModel, h.operations, 20*time.Second) {
	case porcupine.Illegal:
		h.run.workload.fail("the history of the cells is not linearizable")
	case porcupine.Unknown:
		h.run.logf("linearizability check of %d operations timed out without a result", len(h.operations))
	}
}
