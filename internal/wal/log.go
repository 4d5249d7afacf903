package wal

import (
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("wal")

// errNoCheckpoint is the error of an Append before the first Checkpoint.
var errNoCheckpoint = Error.New("no checkpoint yet")

// job is one call of Append or Checkpoint. A checkpoint has a snapshot, maybe an
// empty one; an append has none.
type job struct {
	record   []byte
	snapshot [][]byte
	done     func(error)
}

func (j job) isCheckpoint() bool { return j.snapshot != nil }

// Log is a write-ahead log in a directory. It is safe for concurrent use.
type Log struct {
	directory Directory

	// mu guards queue and closing; changed tells the writer of either.
	mu      sync.Mutex
	changed *sync.Cond
	queue   []job
	closing bool
	// ended is closed once the writer has ended.
	ended chan struct{}

	// What follows belongs to the writer's goroutine.

	// generation is the number of the newest files, segment the one that is appended
	// to, nil if none is open.
	generation uint64
	segment    File
	// failure is why nothing can be appended, nil if all is well.
	failure error
}

// Open reads what the directory holds: the newest whole snapshot, then each later
// segment up to its first torn record. Appends fail until the first Checkpoint
// has succeeded. The caller closes the log.
func Open(directory Directory) (*Log, [][]byte, error) {
	generation, records, err := readGenerations(directory)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	l := &Log{directory: directory, generation: generation, ended: make(chan struct{}), failure: errNoCheckpoint}
	l.changed = sync.NewCond(&l.mu)
	go l.run()
	return l, records, nil
}

// Append writes a record behind all others, and calls done on the log's goroutine
// once it is synced or has failed. After an error the record may or may not be
// read back, and all appends fail until a Checkpoint succeeds. An empty record
// writes nothing: done tells that all before it is synced.
func (l *Log) Append(record []byte, done func(error)) { l.enqueue(job{record: record, done: done}) }

// Checkpoint begins a new generation, in which snapshot stands for all records so
// far, and calls done on the log's goroutine once that is synced or has failed.
// After an error the generation before stays. A success also repairs a log whose
// disk had failed.
func (l *Log) Checkpoint(snapshot [][]byte, done func(error)) {
	if snapshot == nil {
		snapshot = [][]byte{}
	}
	l.enqueue(job{snapshot: snapshot, done: done})
}

func (l *Log) enqueue(jobs ...job) {
	l.mu.Lock()
	l.queue = append(l.queue, jobs...)
	l.mu.Unlock()
	l.changed.Signal()
}

// Close waits until all that was called before has been done, and ends the log.
func (l *Log) Close() {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	l.changed.Signal()
	<-l.ended
}

// run is the writer.
func (l *Log) run() {
	defer close(l.ended)
	for {
		jobs := l.takeQueue()
		if len(jobs) == 0 {
			l.closeSegment()
			return
		}
		l.process(jobs)
	}
}

// takeQueue waits for jobs and takes all of them. It returns none once the log is
// closing and all have been done.
func (l *Log) takeQueue() []job {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) == 0 && !l.closing {
		l.changed.Wait()
	}
	jobs := l.queue
	l.queue = nil
	return jobs
}

// process does jobs in their order; appends in a row are synced at once.
func (l *Log) process(jobs []job) {
	for len(jobs) > 0 {
		if jobs[0].isCheckpoint() {
			l.failure = l.beginGeneration(jobs[0].snapshot)
			jobs[0].done(l.failure)
			jobs = jobs[1:]
			continue
		}
		n := 0
		for n < len(jobs) && !jobs[n].isCheckpoint() {
			n++
		}
		err := l.write(jobs[:n])
		for _, j := range jobs[:n] {
			j.done(err)
		}
		jobs = jobs[n:]
	}
}

// write appends the records of the jobs and syncs them.
func (l *Log) write(jobs []job) error {
	if l.failure != nil {
		return l.failure
	}
	var records [][]byte
	for _, j := range jobs {
		if len(j.record) > 0 {
			records = append(records, j.record)
		}
	}
	data, err := encodeRecords(records)
	if err == nil && len(data) > 0 {
		err = writeAndSync(l.segment, data)
	}
	if err != nil {
		l.failure = Error.Wrap(err)
	}
	return l.failure
}

func writeAndSync(file File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}

func (l *Log) closeSegment() {
	if l.segment != nil {
		// All that was acknowledged is synced: an error loses nothing.
		_ = l.segment.Close()
		l.segment = nil
	}
}
