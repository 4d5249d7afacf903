package wal

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Prefixes of file names. The generation number follows, with at least 8 digits.
const (
	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
	// tempPrefix marks a snapshot that is still being written.
	tempPrefix = "unfinished-"
)

func fileName(prefix string, generation uint64) string {
	return fmt.Sprintf("%s%08d", prefix, generation)
}

// parseGeneration returns the generation in a file name with the given prefix. ok is
// false if the name has another form.
func parseGeneration(name, prefix string) (generation uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	generation, err := strconv.ParseUint(digits, 10, 64)
	return generation, err == nil
}

// sortedGenerations returns the generations of the files with the given prefix, in
// ascending order.
func sortedGenerations(names []string, prefix string) []uint64 {
	var generations []uint64
	for _, name := range names {
		if generation, ok := parseGeneration(name, prefix); ok {
			generations = append(generations, generation)
		}
	}
	slices.Sort(generations)
	return generations
}

// recoverRecords returns the records stored in a directory, and the newest
// generation among its segments and snapshots.
func recoverRecords(directory Directory) (newest uint64, records [][]byte, err error) {
	names, err := directory.List()
	if err != nil {
		return 0, nil, err
	}
	segments := sortedGenerations(names, segmentPrefix)
	snapshots := sortedGenerations(names, snapshotPrefix)
	for _, generation := range slices.Concat(segments, snapshots) {
		newest = max(newest, generation)
	}
	snapshotGeneration, records, err := readNewestSnapshot(directory, snapshots)
	if err != nil {
		return 0, nil, err
	}
	for _, generation := range segments {
		if generation < snapshotGeneration {
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

// readNewestSnapshot returns the records and the generation of the newest complete
// snapshot, or generation 0 and no records if there is none. snapshots is in
// ascending order.
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

// beginGeneration starts a new generation from a snapshot. It creates the segment
// and the snapshot before the directory sync, so that one sync makes both names
// durable. Before that sync nothing is appended to the segment and no older file is
// removed.
func (l *Log) beginGeneration(snapshot [][]byte) error {
	l.closeSegment()
	l.generation++
	segmentName := fileName(segmentPrefix, l.generation)
	segment, err := l.directory.Create(segmentName)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := l.writeSnapshot(snapshot); err != nil {
		_ = segment.Close()
		l.tryRemove(segmentName)
		return Error.Wrap(err)
	}
	l.segment = segment
	l.removeOldGenerations()
	return nil
}

// writeSnapshot writes the snapshot to a temporary file, renames it and syncs the
// directory. Under its final name the file is complete, except possibly after a
// power loss.
func (l *Log) writeSnapshot(snapshot [][]byte) error {
	data, err := encodeRecords(append(slices.Clip(snapshot), snapshotTrailer))
	if err != nil {
		return err
	}
	tempName := fileName(tempPrefix, l.generation)
	file, err := l.directory.Create(tempName)
	if err != nil {
		return err
	}
	err = writeAndSync(file, data)
	// Synced data is durable even if the close fails.
	_ = file.Close()
	if err == nil {
		err = l.directory.Rename(tempName, fileName(snapshotPrefix, l.generation))
	}
	if err != nil {
		l.tryRemove(tempName)
		return err
	}
	return l.directory.Sync()
}

// removeOldGenerations removes the files that the newest snapshot replaces. Files that
// cannot be removed, or that reappear after a power loss, are removed when the next
// generation begins.
func (l *Log) removeOldGenerations() {
	names, err := l.directory.List()
	if err != nil {
		return
	}
	for _, name := range names {
		for _, prefix := range []string{segmentPrefix, snapshotPrefix, tempPrefix} {
			if generation, ok := parseGeneration(name, prefix); ok && generation < l.generation {
				l.tryRemove(name)
			}
		}
	}
}

// tryRemove removes a file that recovery does not need. Errors are ignored because
// removal is tried again when the next generation begins.
func (l *Log) tryRemove(name string) { _ = l.directory.Remove(name) }
