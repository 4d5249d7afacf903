package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"corkcove/internal/replay"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const (
	// recordsPerCall is how many request records a node is asked for at once.
	recordsPerCall = 2000
	// maxParallelCalls bounds --parallel.
	maxParallelCalls = 256
	// replayBufferBytes is the buffer in front of the file.
	replayBufferBytes = 1 << 20
)

type replaySaveOptions struct {
	file string
	// span is how far back the records go.
	span time.Duration
	// parallel is how many nodes are asked at once.
	parallel int
}

func registerReplaySave(c *commandLine, parent *kingpin.CmdClause) {
	command := parent.Command("save", "Take what all nodes remember into a file.")
	var options replaySaveOptions
	command.Arg("file", "The file.").Required().StringVar(&options.file)
	command.Flag("span", "How far back.").Default("60s").DurationVar(&options.span)
	command.Flag("parallel", "How many nodes are asked at once.").Default("16").IntVar(&options.parallel)
	c.handleTool(command, func(client *coreClient) error { return runReplaySave(client, options) })
}

func (o replaySaveOptions) check() error {
	if o.span <= 0 {
		return fmt.Errorf("--span: %v must be above 0", o.span)
	}
	if o.parallel < 1 || o.parallel > maxParallelCalls {
		return fmt.Errorf("--parallel: %d must be from 1 to %d", o.parallel, maxParallelCalls)
	}
	return nil
}

// runReplaySave takes what all nodes remember of the last span into one file,
// node by node as they answer. The file is there only if it is whole, but may
// lack nodes, which then is an error.
func runReplaySave(client *coreClient, options replaySaveOptions) error {
	if err := options.check(); err != nil {
		return err
	}
	master, err := client.masterStatus()
	if err != nil {
		return err
	}
	recorder, unreachable, err := writeReplayFile(client, master, options)
	if err != nil {
		return err
	}
	recorder.printSummary(options.file)
	for _, name := range unreachable {
		fmt.Fprintf(os.Stderr, "%s did not answer; its requests are missing\n", name)
	}
	if len(unreachable) > 0 {
		return fmt.Errorf("%d nodes did not answer", len(unreachable))
	}
	if recorder.requests == 0 {
		return fmt.Errorf("no node carried a request in the last %v, or none keeps a record", options.span)
	}
	return nil
}

// writeReplayFile writes a temporary file and, once it is whole and synced,
// renames it.
func writeReplayFile(client *coreClient, master *meshpb.StatusResponse, options replaySaveOptions) (*replayRecorder, []string, error) {
	file, err := os.CreateTemp(filepath.Dir(options.file), ".replay-*")
	if err != nil {
		return nil, nil, err
	}
	// Neither has anything to do, and so fails, after the file was renamed.
	defer func() { _ = os.Remove(file.Name()) }()
	defer func() { _ = file.Close() }()
	buffer := bufio.NewWriterSize(file, replayBufferBytes)
	writer, err := replay.NewWriter(buffer)
	if err != nil {
		return nil, nil, err
	}
	recorder := newReplayRecorder(client, writer, master.Nodes)
	unreachable := callNodes(master.Nodes, options.parallel, func(address string) (*meshpb.RequestRecordsResponse, error) {
		return client.requestRecords(address, options.span)
	}, recorder.add)
	if recorder.err != nil {
		return nil, nil, recorder.err
	}
	trailer := &meshpb.ReplayTrailer{CreatedUs: time.Now().UnixMicro(), SpanUs: options.span.Microseconds(), Unreachable: unreachable}
	if err := writer.Close(trailer); err != nil {
		return nil, nil, err
	}
	if err := buffer.Flush(); err != nil {
		return nil, nil, err
	}
	if err := file.Sync(); err != nil {
		return nil, nil, err
	}
	return recorder, unreachable, os.Rename(file.Name(), options.file)
}

// requestRecords asks a node for its records, page by page.
func (c *coreClient) requestRecords(address string, span time.Duration) (*meshpb.RequestRecordsResponse, error) {
	var all *meshpb.RequestRecordsResponse
	request := &meshpb.RequestRecordsRequest{SpanUs: span.Microseconds(), Limit: recordsPerCall}
	for {
		page, err := rpc.Call(toolCallTimeout, c.clients.Diagnostics(address).RequestRecords, request)
		if err != nil {
			return nil, err
		}
		if all == nil {
			all = page
		} else {
			all.Records = append(all.Records, page.Records...)
		}
		if page.Next == 0 {
			return all, nil
		}
		request.Offset = page.Next
	}
}

// viewID names a view that a node had.
type viewID struct{ epoch, version uint64 }

// replayRecorder writes nodes' records in the order that they come, one node at
// a time, and with them each view and configuration once.
type replayRecorder struct {
	client    *coreClient
	writer    *replay.Writer
	addresses map[string]string
	views     map[viewID]bool
	configs   map[uint64]bool
	nodes     int
	requests  int
	// lossyNodes counts the nodes that no longer have the whole span, maxLost is
	// the most that one of them lacks.
	lossyNodes int
	maxLost    time.Duration
	// err is the first error of the writer; nothing is written after it.
	err error
}

func newReplayRecorder(client *coreClient, writer *replay.Writer, nodes []*meshpb.NodeStatus) *replayRecorder {
	addresses := map[string]string{}
	for _, n := range nodes {
		addresses[n.Name] = n.Addr
	}
	return &replayRecorder{client: client, writer: writer, addresses: addresses, views: map[viewID]bool{}, configs: map[uint64]bool{}}
}

// add writes a node's records, and the views and configurations in them that
// aren't in the file yet.
func (r *replayRecorder) add(records *meshpb.RequestRecordsResponse) {
	if r.err != nil {
		return
	}
	r.nodes++
	r.requests += len(records.Records)
	if records.LostUs > 0 {
		r.lossyNodes++
		r.maxLost = max(r.maxLost, time.Duration(records.LostUs)*time.Microsecond)
	}
	if r.err = r.writer.WriteNode(records); r.err == nil {
		r.addSnapshots(records)
	}
}

func (r *replayRecorder) addSnapshots(records *meshpb.RequestRecordsResponse) {
	request := r.missingSnapshots(records)
	if len(request.Views)+len(request.Configs) == 0 {
		return
	}
	snapshots, err := rpc.Call(toolCallTimeout, r.client.clients.Diagnostics(r.addresses[records.Node]).Snapshots, request)
	if err != nil {
		// Another node may still have them.
		return
	}
	for _, view := range snapshots.Views {
		r.views[viewID{view.Epoch, view.Version}] = true
		r.err = errors.Join(r.err, r.writer.WriteView(view))
	}
	for _, config := range snapshots.Configs {
		r.configs[config.Version] = true
		r.err = errors.Join(r.err, r.writer.WriteConfig(config))
	}
}

func (r *replayRecorder) missingSnapshots(records *meshpb.RequestRecordsResponse) *meshpb.SnapshotsRequest {
	request := &meshpb.SnapshotsRequest{}
	for _, view := range records.Views {
		if !r.views[viewID{view.Epoch, view.Version}] {
			request.Views = append(request.Views, view)
		}
	}
	for _, config := range records.Configs {
		if !r.configs[config.Version] {
			request.Configs = append(request.Configs, config.Version)
		}
	}
	return request
}

func (r *replayRecorder) printSummary(file string) {
	fmt.Printf("%d requests of %d nodes, %d views, %d configurations in %s\n", r.requests, r.nodes, len(r.views), len(r.configs), file)
	if r.lossyNodes > 0 {
		fmt.Printf("%d nodes' rings lost part of the span, %.1f s at most (recordSet.requests)\n", r.lossyNodes, r.maxLost.Seconds())
	}
}
