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
	// recordsPerCall is the page size of Diagnostics.RequestRecords: the maximum number
	// of request records that one call returns.
	recordsPerCall = 2000
	// maxParallelCalls is the upper limit of --parallel.
	maxParallelCalls = 256
	// replayBufferBytes is the size of the file's write buffer.
	replayBufferBytes = 1 << 20
)

// replaySaveOptions are the arguments and flags of replay save.
type replaySaveOptions struct {
	file string
	// span is how far back the records go.
	span time.Duration
	// parallel is the number of nodes that are queried concurrently.
	parallel int
}

func registerReplaySave(c *commandLine, parent *kingpin.CmdClause) {
	command := parent.Command("save", "Save the recent request records of all nodes to a file.")
	var options replaySaveOptions
	command.Arg("file", "File to write.").Required().StringVar(&options.file)
	command.Flag("span", "How far back the records go.").Default("60s").DurationVar(&options.span)
	command.Flag("parallel", "Number of nodes queried concurrently.").Default("16").IntVar(&options.parallel)
	c.handleTool(command, func(client *coreClient) error { return runReplaySave(client, options) })
}

// check returns an error if a flag is out of range.
func (o replaySaveOptions) check() error {
	if o.span <= 0 {
		return fmt.Errorf("--span: %v must be positive", o.span)
	}
	if o.parallel < 1 || o.parallel > maxParallelCalls {
		return fmt.Errorf("--parallel: %d must be between 1 and %d", o.parallel, maxParallelCalls)
	}
	return nil
}

// runReplaySave saves the request records of the last span of all nodes to one file,
// which appears only once it is complete. If some nodes do not respond, the file
// lacks their records and runReplaySave returns an error.
func runReplaySave(client *coreClient, options replaySaveOptions) error {
	if err := options.check(); err != nil {
		return err
	}
	master, err := client.masterStatus()
	if err != nil {
		return err
	}
	recording, unreachable, err := writeReplayFile(client, master, options)
	if err != nil {
		return err
	}
	recording.printSummary(options.file)
	for _, name := range unreachable {
		fmt.Fprintf(os.Stderr, "%s did not respond; its requests are not included\n", name)
	}
	if len(unreachable) > 0 {
		return fmt.Errorf("%d nodes did not respond", len(unreachable))
	}
	if recording.requests == 0 {
		return fmt.Errorf("no requests recorded in the last %v: the nodes forwarded none, or none of them keeps request records", options.span)
	}
	return nil
}

// writeReplayFile writes a temporary file and renames it once it is complete and
// synced. It returns the names of the nodes that did not respond.
func writeReplayFile(client *coreClient, master *meshpb.StatusResponse, options replaySaveOptions) (*recordingWriter, []string, error) {
	file, err := os.CreateTemp(filepath.Dir(options.file), ".replay-*")
	if err != nil {
		return nil, nil, err
	}
	// Errors are ignored: after the rename there is no temporary file to remove, and
	// the data was synced before the file is closed.
	defer func() { _ = os.Remove(file.Name()) }()
	defer func() { _ = file.Close() }()
	buffer := bufio.NewWriterSize(file, replayBufferBytes)
	writer, err := replay.NewWriter(buffer)
	if err != nil {
		return nil, nil, err
	}
	recording := newRecordingWriter(client, writer, master.Nodes)
	unreachable := callNodes(master.Nodes, options.parallel, func(address string) (*meshpb.RequestRecordsResponse, error) {
		return client.requestRecords(address, options.span)
	}, recording.add)
	if recording.err != nil {
		return nil, nil, recording.err
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
	return recording, unreachable, os.Rename(file.Name(), options.file)
}

// requestRecords fetches all pages of a node's records.
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

// viewKey identifies a view.
type viewKey struct{ epoch, version uint64 }

// recordingWriter writes the records of the nodes in the order in which they
// arrive, and once each view and configuration that the records refer to. It is
// not safe for concurrent use.
type recordingWriter struct {
	client *coreClient
	writer *replay.Writer
	// addresses maps the name of a node to its address.
	addresses map[string]string
	// views and configs are those already written, configs by version.
	views   map[viewKey]bool
	configs map[uint64]bool
	// nodes and requests count what was written.
	nodes    int
	requests int
	// incompleteNodes counts the nodes whose ring no longer covers the whole span;
	// longestGap is the longest part of the span that one of them has lost.
	incompleteNodes int
	longestGap      time.Duration
	// err is the first error of the writer; after it, nothing more is written.
	err error
}

func newRecordingWriter(client *coreClient, writer *replay.Writer, nodes []*meshpb.NodeStatus) *recordingWriter {
	addresses := map[string]string{}
	for _, n := range nodes {
		addresses[n.Name] = n.Addr
	}
	return &recordingWriter{client: client, writer: writer, addresses: addresses, views: map[viewKey]bool{}, configs: map[uint64]bool{}}
}

// add writes a node's records, and the views and configurations that they refer to
// and that are not in the file yet.
func (r *recordingWriter) add(records *meshpb.RequestRecordsResponse) {
	if r.err != nil {
		return
	}
	r.nodes++
	r.requests += len(records.Records)
	if records.LostUs > 0 {
		r.incompleteNodes++
		r.longestGap = max(r.longestGap, time.Duration(records.LostUs)*time.Microsecond)
	}
	if r.err = r.writer.WriteNode(records); r.err == nil {
		r.addSnapshots(records)
	}
}

// addSnapshots fetches the missing views and configurations from the node that
// sent the records, and writes them.
func (r *recordingWriter) addSnapshots(records *meshpb.RequestRecordsResponse) {
	request := r.missingSnapshots(records)
	if len(request.Views)+len(request.Configs) == 0 {
		return
	}
	snapshots, err := rpc.Call(toolCallTimeout, r.client.clients.Diagnostics(r.addresses[records.Node]).Snapshots, request)
	if err != nil {
		// Ignored: they may still be fetched from another node whose records refer to
		// them.
		return
	}
	for _, view := range snapshots.Views {
		r.views[viewKey{view.Epoch, view.Version}] = true
		r.err = errors.Join(r.err, r.writer.WriteView(view))
	}
	for _, config := range snapshots.Configs {
		r.configs[config.Version] = true
		r.err = errors.Join(r.err, r.writer.WriteConfig(config))
	}
}

// missingSnapshots requests the views and configurations of the records that have not
// been written yet.
func (r *recordingWriter) missingSnapshots(records *meshpb.RequestRecordsResponse) *meshpb.SnapshotsRequest {
	request := &meshpb.SnapshotsRequest{}
	for _, view := range records.Views {
		if !r.views[viewKey{view.Epoch, view.Version}] {
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

func (r *recordingWriter) printSummary(file string) {
	fmt.Printf("%d requests of %d nodes, %d views, %d configurations in %s\n", r.requests, r.nodes, len(r.views), len(r.configs), file)
	if r.incompleteNodes > 0 {
		fmt.Printf("%d nodes' rings lost part of the span, %.1f s at most (recordSet.requests)\n", r.incompleteNodes, r.longestGap.Seconds())
	}
}
