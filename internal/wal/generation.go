package wal

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// The names of files; the number of their generation follows.
const (
	segmentPrefix    = "segment-"
	snapshotPrefix   = "snapshot-"
	unfinishedPrefix = "unfinished-"
)

func fileName(prefix string, generation uint64) string {
	return fmt.Sprintf("%s%08d", prefix, generation)
}

// generationOf is the number in a name with that prefix, false if it is another
// name.
func generationOf(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	generation, err := strconv.ParseUint(digits, 10, 64)
	return generation, err == nil
}

// generationsOf are the numbers in the names with that prefix, lowest first.
func generationsOf(names []string, prefix string) []uint64 {
	var generations []uint64
	for _, name := range names {
		if generation, ok := generationOf(name, prefix); ok {
			generations = append(generations, generation)
		}
	}
	slices.Sort(generations)
	return generations
}

// readGenerations reads the records of a directory, and the number of its newest
// generation.
func readGenerations(directory Directory) (newest uint64, records [][]byte, err error) {
	names, err := directory.List()
	if err != nil {
		return 0, nil, err
	}
	segments := generationsOf(names, segmentPrefix)
	snapshots := generationsOf(names, snapshotPrefix)
	for _, generation := range slices.Concat(segments, snapshots) {
		newest = max(newest, generation)
	}
	from, records, err := readNewestSnapshot(directory, snapshots)
	if err != nil {
		return 0, nil, err
	}
	for _, generation := range segments {
		if generation < from {
			continue
		}
		data, err := directory.Read(fileName(segmentPrefix, generation))
		if err != nil {
			return 0, nil, err
		}
		appended, _ := decodeRecords(data)
		records = append(records, appended...)
	}
	return newest, records, nil
}

// readNewestSnapshot returns the newest snapshot that is whole, and its
// generation; none, and 0, if there is none.
func readNewestSnapshot(directory Directory, snapshots []uint64) (generation uint64, records [][]byte, err error) {
	for _, generation := range slices.Backward(snapshots) {
		data, err := directory.Read(fileName(snapshotPrefix, generation))
		if err != nil {
			return 0, nil, err
		}
		if records, complete := decodeSnapshot(data); complete {
			return generation, records, nil
		}
	}
	return 0, nil, nil
}

// beginGeneration makes the segment and the snapshot before it syncs the
// directory, once for both names. Until then nothing goes into the segment, and
// all older files stay.
func (l *Log) beginGeneration(snapshot [][]byte) error {
	l.closeSegment()
	l.generation++
	name := fileName(segmentPrefix, l.generation)
	segment, err := l.directory.Create(name)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := l.writeSnapshot(snapshot); err != nil {
		_ = segment.Close()
		l.removeUnused(name)
		return Error.Wrap(err)
	}
	l.segment = segment
	l.removeOldGenerations()
	return nil
}

// writeSnapshot writes the snapshot under another name first, so that a file of
// its name is whole but for a loss of power.
func (l *Log) writeSnapshot(snapshot [][]byte) error {
	data, err := encodeRecords(append(slices.Clip(snapshot), snapshotEnd))
	if err != nil {
		return err
	}
	unfinished := fileName(unfinishedPrefix, l.generation)
	file, err := l.directory.Create(unfinished)
	if err != nil {
		return err
	}
	err = writeAndSync(file, data)
	// What was synced is on disk whether or not the file can be closed.
	_ = file.Close()
	if err == nil {
		err = l.directory.Rename(unfinished, fileName(snapshotPrefix, l.generation))
	}
	if err != nil {
		l.removeUnused(unfinished)
		return err
	}
	return l.directory.Sync()
}

// removeOldGenerations removes what the newest snapshot stands for. What is left,
// or comes back after a loss of power, goes with the next generation.
func (l *Log) removeOldGenerations() {
	names, err := l.directory.List()
	if err != nil {
		return
	}
	for _, name := range names {
		for _, prefix := range []string{segmentPrefix, snapshotPrefix, unfinishedPrefix} {
			if generation, ok := generationOf(name, prefix); ok && generation < l.generation {
				l.removeUnused(name)
			}
		}
	}
}

// removeUnused removes a file that no start reads. If that fails, it goes with the
// next generation.
func (l *Log) removeUnused(name string) { _ = l.directory.Remove(name) }
