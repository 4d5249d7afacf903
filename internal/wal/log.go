package wal

import (
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of the errors that Open, OpenDirectory and the callbacks of a Log
// report.
var Error = errs.Class("wal")

// errNoCheckpoint is returned for an Append before the first Checkpoint.
var errNoCheckpoint = Error.New("append before the first checkpoint")

// job is a queued call of Append or Checkpoint. Its snapshot is nil for an append and
// non-nil, possibly empty, for a checkpoint.
type job struct {
	record   []byte
	snapshot [][]byte
	done     func(error)
}

func (j job) isCheckpoint() bool { return j.snapshot != nil }

// Log is a write-ahead log in a Directory. It is safe for concurrent use.
type Log struct {
	directory Directory

	// mu guards queue and closing. cond signals the writer when either changes.
	mu      sync.Mutex
	cond    *sync.Cond
	queue   []job
	closing bool
	// stopped is closed when the writer goroutine exits.
	stopped chan struct{}

	// The fields below are accessed only by the writer goroutine.

	// generation is the newest generation number in use.
	generation uint64
	// segment is the segment that records are appended to, nil if none is open.
	segment File
	// failure is the error that every append returns until a checkpoint succeeds, nil
	// if appends are possible.
	failure error
}

// Open starts a log in a directory and returns the records stored there: those of the
// newest complete snapshot, if any, followed by those of each segment of the same or a
// later generation, up to the segment's first torn or damaged record. Appends fail
// until the first Checkpoint succeeds. The caller must close the log. An error means
// that the directory could not be listed or a file could not be read.
func Open(directory Directory) (*Log, [][]byte, error) {
	generation, records, err := recoverRecords(directory)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	l := &Log{directory: directory, generation: generation, stopped: make(chan struct{}), failure: errNoCheckpoint}
	l.cond = sync.NewCond(&l.mu)
	go l.run()
	return l, records, nil
}

// Append queues a record to be written after all earlier ones. It calls done on the
// writer goroutine once the record has been synced or the write has failed. After an
// error the record may or may not be recovered by a later Open, and all appends fail
// until a Checkpoint succeeds. An empty record writes nothing; its done is called
// once all earlier records have been synced.
func (l *Log) Append(record []byte, done func(error)) { l.enqueue(job{record: record, done: done}) }

// Checkpoint queues the start of a new generation, in which snapshot replaces all
// earlier records. It calls done on the writer goroutine once the snapshot has been
// synced or the checkpoint has failed. A failed checkpoint keeps the previous
// generation. A successful one also lets appends continue after a disk error.
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
	l.cond.Signal()
}

// Close waits until all queued calls have completed, and stops the log. The callbacks
// of calls made after Close may never run.
func (l *Log) Close() {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	l.cond.Signal()
	<-l.stopped
}

// run is the writer goroutine. It closes the current segment when it exits.
func (l *Log) run() {
	defer close(l.stopped)
	for {
		jobs := l.takeQueue()
		if len(jobs) == 0 {
			l.closeSegment()
			return
		}
		l.processJobs(jobs)
	}
}

// takeQueue waits for jobs and removes all of them from the queue. It returns none
// once the log is closing and the queue is empty.
func (l *Log) takeQueue() []job {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) == 0 && !l.closing {
		l.cond.Wait()
	}
	jobs := l.queue
	l.queue = nil
	return jobs
}

// processJobs executes jobs in order. Consecutive appends are written and synced as a
// group.
func (l *Log) processJobs(jobs []job) {
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
		err := l.appendGroup(jobs[:n])
		for _, j := range jobs[:n] {
			j.done(err)
		}
		jobs = jobs[n:]
	}
}

// appendGroup writes the records of consecutive appends and syncs them once. An error
// applies to the whole group and is kept in failure.
func (l *Log) appendGroup(jobs []job) error {
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
		// Every acknowledged record has been synced, so a failed close loses nothing.
		_ = l.segment.Close()
		l.segment = nil
	}
}
