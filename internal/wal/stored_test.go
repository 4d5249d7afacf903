package wal

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// update writes the fixtures that are missing. The committed files are the reference:
// they were written by the previous release, the last one before RPC services,
// command-line flags and packages were renamed, and must never be regenerated, so an
// existing directory is an error.
var update = flag.Bool("update", false, "write missing fixture directories")

const fixtureDirectory = "testdata/242832a"

// fixtures lists the committed directories, with the function that writes each and the
// records that Open must read from it.
var fixtures = []struct {
	name  string
	write func(t *testing.T, dir string)
	want  []string
}{
	{"snapshot-and-segment", writeSnapshotAndSegment, []string{"first", "second", "\x00\xff third", "fourth"}},
	{"torn-segment", writeTornSegment, []string{"first", "second", "\x00\xff third"}},
	{"torn-checksum", writeChecksumMismatch, []string{"first", "second"}},
	{"torn-snapshot", writeTornSnapshot, []string{"old first", "old second", "\x00\xff third", "fourth"}},
	{"old-files-left", writeOldFilesLeft, []string{"first", "second", "\x00\xff third", "fourth"}},
}

// TestOpenReadsDirectoriesOfPreviousRelease opens directories written by the
// previous release.
func TestOpenReadsDirectoriesOfPreviousRelease(t *testing.T) {
	for _, fixture := range fixtures {
		t.Run(fixture.name, func(t *testing.T) {
			dir := filepath.Join(fixtureDirectory, fixture.name)
			if *update {
				qt.Assert(t, os.MkdirAll(fixtureDirectory, 0o755), qt.IsNil)
				qt.Assert(t, os.Mkdir(dir, 0o755), qt.IsNil, qt.Commentf("committed fixtures must not be overwritten"))
				fixture.write(t, dir)
			}
			qt.Assert(t, readLog(t, dir), qt.DeepEquals, fixture.want)
		})
	}
}

// TestWrittenDirectoriesMatchPreviousRelease writes the same records with the
// current code and compares the files, since the previous release must be able to read
// them.
func TestWrittenDirectoriesMatchPreviousRelease(t *testing.T) {
	for _, fixture := range fixtures {
		t.Run(fixture.name, func(t *testing.T) {
			dir := t.TempDir()
			fixture.write(t, dir)
			qt.Assert(t, filesIn(t, dir), qt.DeepEquals, filesIn(t, filepath.Join(fixtureDirectory, fixture.name)))
		})
	}
}

func openLog(t *testing.T, path string) (*Log, [][]byte) {
	t.Helper()
	directory, err := OpenDirectory(path)
	qt.Assert(t, err, qt.IsNil)
	log, records, err := Open(directory)
	qt.Assert(t, err, qt.IsNil)
	return log, records
}

func readLog(t *testing.T, path string) []string {
	t.Helper()
	log, records := openLog(t, path)
	log.Close()
	var texts []string
	for _, record := range records {
		texts = append(texts, string(record))
	}
	return texts
}

func filesIn(t *testing.T, dir string) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	qt.Assert(t, err, qt.IsNil)
	out := map[string]string{}
	for _, entry := range entries {
		data, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		qt.Assert(t, err, qt.IsNil)
		out[entry.Name()] = string(data)
	}
	return out
}

func writeFiles(t *testing.T, dir string, files map[string]string) {
	t.Helper()
	for name, data := range files {
		qt.Assert(t, os.WriteFile(filepath.Join(dir, name), []byte(data), 0o644), qt.IsNil)
	}
}

// writeGeneration starts a new generation in a directory and appends records to it.
func writeGeneration(t *testing.T, dir string, snapshot []string, appended ...string) {
	t.Helper()
	log, _ := openLog(t, dir)
	defer log.Close()
	qt.Assert(t, checkpointAndWait(log, snapshot), qt.IsNil)
	for _, record := range appended {
		qt.Assert(t, appendRecordAndWait(log, record), qt.IsNil)
	}
}

func writeSnapshotAndSegment(t *testing.T, dir string) {
	writeGeneration(t, dir, nil, "overwritten")
	writeGeneration(t, dir, []string{"first", "second"}, "\x00\xff third", "fourth")
}

// writeTornSegment writes a segment whose last record lacks its last byte, as after a
// loss of power during the write.
func writeTornSegment(t *testing.T, dir string) {
	writeSnapshotAndSegment(t, dir)
	files := filesIn(t, dir)
	files[fileName(segmentPrefix, 2)] = files[fileName(segmentPrefix, 2)][:len(files[fileName(segmentPrefix, 2)])-1]
	writeFiles(t, dir, files)
}

// writeChecksumMismatch damages the first of the segment's two records. Open must not
// read the second one either.
func writeChecksumMismatch(t *testing.T, dir string) {
	writeSnapshotAndSegment(t, dir)
	segment, err := os.ReadFile(filepath.Join(dir, fileName(segmentPrefix, 2)))
	qt.Assert(t, err, qt.IsNil)
	segment[headerSize] ^= 1
	writeFiles(t, dir, map[string]string{fileName(segmentPrefix, 2): string(segment)})
}

// writeTornSnapshot leaves a torn snapshot, so that Open must fall back to the older
// snapshot and read two segments after it.
func writeTornSnapshot(t *testing.T, dir string) {
	writeGeneration(t, dir, []string{"old first"}, "old second")
	old := filesIn(t, dir)
	writeGeneration(t, dir, []string{"first", "second"}, "\x00\xff third", "fourth")
	files := filesIn(t, dir)
	writeFiles(t, dir, old)
	writeFiles(t, dir, map[string]string{
		fileName(snapshotPrefix, 2): files[fileName(snapshotPrefix, 2)][:len(files[fileName(snapshotPrefix, 2)])-1],
		"unfinished-00000003":       "half",
	})
}

// writeOldFilesLeft leaves the files that the newest snapshot replaces, as a crash before
// their removal does.
func writeOldFilesLeft(t *testing.T, dir string) {
	writeGeneration(t, dir, []string{"old first"}, "old second")
	old := filesIn(t, dir)
	writeGeneration(t, dir, []string{"first", "second"}, "\x00\xff third", "fourth")
	writeFiles(t, dir, old)
}
