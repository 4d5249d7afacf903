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

// TestAcknowledgedRecordsSurviveCrashAtEveryStep loses power after each step in turn and
// keeps none, half or all of the unsynced data.
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
			qt.Assert(t, len(records) >= len(acknowledged), qt.IsTrue, qt.Commentf("crash after step %d: read %d records, %d acknowledged", lastStep, len(records), len(acknowledged)))
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
	setDiskFull := func(on bool) { directory.mu.Lock(); directory.diskFull = on; directory.mu.Unlock() }
	setDiskFull(true)
	qt.Assert(t, appendRecordAndWait(log, "b"), qt.IsNotNil)
	qt.Assert(t, checkpointAndWait(log, []string{"a", "b"}), qt.IsNotNil)
	setDiskFull(false)
	qt.Assert(t, appendRecordAndWait(log, "c"), qt.IsNotNil, qt.Commentf("no record may be written after a torn one"))
	qt.Assert(t, checkpointAndWait(log, []string{"a", "b"}), qt.IsNil)
	qt.Assert(t, appendRecordAndWait(log, "d"), qt.IsNil)
	log.Close()
	_, records, err := Open(directory)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(records), qt.Equals, 3)
	qt.Assert(t, string(records[2]), qt.Equals, "d")
}

func TestDirectorySizeStaysBoundedOverManyCheckpoints(t *testing.T) {
	const keys, size, checkpointBytes = 20, 100, 4000
	directory := newFaultyDirectory()
	state := map[int]string{}
	snapshot := func() (records []string) {
		for i := range keys {
			if record, ok := state[i]; ok {
				records = append(records, record)
			}
		}
		return records
	}
	log, _, err := Open(directory)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, checkpointAndWait(log, nil), qt.IsNil)
	written, checkpointSteps := 0, 0
	for i := range 1000 {
		record := fmt.Sprintf("%*d", size, i)
		state[i%keys] = record
		qt.Assert(t, appendRecordAndWait(log, record), qt.IsNil)
		if written += len(record); written > checkpointBytes {
			before := directory.step
			qt.Assert(t, checkpointAndWait(log, snapshot()), qt.IsNil)
			checkpointSteps = directory.step - before
			written = 0
		}
		if i%97 == 0 {
			log.Close()
			var records [][]byte
			log, records, err = Open(directory)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(records) <= keys+checkpointBytes/size+1, qt.IsTrue, qt.Commentf("append %d: %d records", i, len(records)))
			qt.Assert(t, checkpointAndWait(log, snapshot()), qt.IsNil)
			written = 0
		}
		qt.Assert(t, len(directory.files) <= 2, qt.IsTrue, qt.Commentf("append %d: %d files", i, len(directory.files)))
	}
	log.Close()
	qt.Assert(t, directory.peakBytes <= 2*keys*(size+headerSize)+checkpointBytes+checkpointBytes/size*headerSize+1000, qt.IsTrue, qt.Commentf("peak size %d bytes", directory.peakBytes))
	qt.Assert(t, checkpointSteps, qt.Equals, 8, qt.Commentf("2 creates, write, sync, rename, directory sync, 2 removes"))
}
