package wal

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func appendRecordAndWait(log *Log, record string) error {
	result := make(chan error, 1)
	log.Append([]byte(record), func(err error) { result <- err })
	return <-result
}

func checkpointAndWait(log *Log, records []string) error {
	var snapshot [][]byte
	for _, r := range records {
		snapshot = append(snapshot, []byte(r))
	}
	result := make(chan error, 1)
	log.Checkpoint(snapshot, func(err error) { result <- err })
	return <-result
}

func TestAcknowledgedRecordsSurviveCrashAtEveryStep(t *testing.T) {
	for lastStep := 1; lastStep < 90; lastStep++ {
		for _, keep := range []func(int) int{func(int) int { return 0 }, func(n int) int { return n / 2 }, func(n int) int { return n }} {
			directory := newMemDirectory(lastStep)
			var acknowledged []string
			log, _, err := Open(directory)
			qt.Assert(t, err, qt.IsNil)
			ok := checkpointAndWait(log, nil) == nil
			for i := 0; ok && i < 24; i++ {
				record := fmt.Sprintf("record %d", i)
				if appendRecordAndWait(log, record) != nil {
					break
				}
				acknowledged = append(acknowledged, record)
				if i%7 == 6 && checkpointAndWait(log, acknowledged) != nil {
					break
				}
			}
			log.Close()
			_, records, err := Open(directory.afterPowerLoss(keep))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(records) >= len(acknowledged), qt.IsTrue, qt.Commentf("crash at step %d: %d of %d", lastStep, len(records), len(acknowledged)))
			for i, record := range acknowledged {
				qt.Assert(t, string(records[i]), qt.Equals, record)
			}
		}
	}
}

func TestAppendsFailAfterDiskErrorUntilCheckpoint(t *testing.T) {
	directory := newMemDirectory(1 << 30)
	log, _, err := Open(directory)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, appendRecordAndWait(log, "too early"), qt.IsNotNil)
	qt.Assert(t, checkpointAndWait(log, nil), qt.IsNil)
	qt.Assert(t, appendRecordAndWait(log, "a"), qt.IsNil)
	setFull := func(on bool) { directory.mu.Lock(); directory.full = on; directory.mu.Unlock() }
	setFull(true)
	qt.Assert(t, appendRecordAndWait(log, "b"), qt.IsNotNil)
	qt.Assert(t, checkpointAndWait(log, []string{"a", "b"}), qt.IsNotNil)
	setFull(false)
	qt.Assert(t, appendRecordAndWait(log, "c"), qt.IsNotNil, qt.Commentf("nothing may be taken behind a torn record"))
	qt.Assert(t, checkpointAndWait(log, []string{"a", "b"}), qt.IsNil)
	qt.Assert(t, appendRecordAndWait(log, "d"), qt.IsNil)
	log.Close()
	_, records, err := Open(directory)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(records), qt.Equals, 3)
	qt.Assert(t, string(records[2]), qt.Equals, "d")
}
func TestDirectorySizeStaysBoundedOverManyCheckpoints(t *testing.T) {
	const cells, size, checkpointBytes = 20, 100, 4000
	directory := newFaultyDirectory()
	state := map[int]string{}
	snapshot := func() (records []string) {
		for i := range cells {
			if record, ok := state[i]; ok {
				records = append(records, record)
			}
		}
		return records
	}
	log, _, err := Open(directory)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, checkpointAndWait(log, nil), qt.IsNil)
	written, syncs := 0, 0
	for i := range 1000 {
		record := fmt.Sprintf("%*d", size, i)
		state[i%cells] = record
		qt.Assert(t, appendRecordAndWait(log, record), qt.IsNil)
		if written += len(record); written > checkpointBytes {
			before := directory.step
			qt.Assert(t, checkpointAndWait(log, snapshot()), qt.IsNil)
			syncs = directory.step - before
			written = 0
		}
		if i%97 == 0 {
			log.Close()
			var records [][]byte
			log, records, err = Open(directory)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(records) <= cells+checkpointBytes/size+1, qt.IsTrue, qt.Commentf("change %d: %d records", i, len(records)))
			qt.Assert(t, checkpointAndWait(log, snapshot()), qt.IsNil)
			written = 0
		}
		qt.Assert(t, len(directory.files) <= 2, qt.IsTrue, qt.Commentf("change %d: %d files", i, len(directory.files)))
	}
	log.Close()
	qt.Assert(t, directory.maxBytes <= 2*cells*(size+headerSize)+checkpointBytes+checkpointBytes/size*headerSize+1000, qt.IsTrue, qt.Commentf("%d bytes at the most", directory.maxBytes))
	qt.Assert(t, syncs, qt.Equals, 8, qt.Commentf("made twice, written, synced, renamed, the folder synced, two removed"))
}
