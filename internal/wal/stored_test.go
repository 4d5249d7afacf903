package wal

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// update writes the fixtures of this package that are missing. The committed
// files are the reference: they were written by the code of commit 242832a and
// must never be regenerated, so a folder that exists is refused.
var update = flag.Bool("update", false, "write missing fixture folders")

const storedDir = "testdata/242832a"

// storedFolders are the committed folders, with the records that Open must read
// from each.
var storedFolders = []struct {
	name  string
	write func(t *testing.T, dir string)
	want  []string
}{
	{"snapshot-and-segment", writeWhole, []string{"first", "second", "\x00\xff third", "fourth"}},
	{"torn-segment", writeTornSegment, []string{"first", "second", "\x00\xff third"}},
	{"torn-checksum", writeTornChecksum, []string{"first", "second"}},
	{"torn-snapshot", writeTornSnapshot, []string{"old first", "old second", "\x00\xff third", "fourth"}},
	{"old-files-left", writeOldFilesLeft, []string{"first", "second", "\x00\xff third", "fourth"}},
}

// TestStoredFoldersOf242832aAreRead opens folders that an earlier release left.
func TestStoredFoldersOf242832aAreRead(t *testing.T) {
	for _, folder := range storedFolders {
		t.Run(folder.name, func(t *testing.T) {
			dir := filepath.Join(storedDir, folder.name)
			if *update {
				qt.Assert(t, os.MkdirAll(storedDir, 0o755), qt.IsNil)
				qt.Assert(t, os.Mkdir(dir, 0o755), qt.IsNil, qt.Commentf("committed fixtures are never written again"))
				folder.write(t, dir)
			}
			qt.Assert(t, readFolder(t, dir), qt.DeepEquals, folder.want)
		})
	}
}

// TestWrittenFoldersAreThoseOf242832a writes the same records by present code:
// an earlier release must be able to read what this one leaves.
func TestWrittenFoldersAreThoseOf242832a(t *testing.T) {
	for _, folder := range storedFolders {
		t.Run(folder.name, func(t *testing.T) {
			dir := t.TempDir()
			folder.write(t, dir)
			qt.Assert(t, filesIn(t, dir), qt.DeepEquals, filesIn(t, filepath.Join(storedDir, folder.name)))
		})
	}
}

func openFolder(t *testing.T, dir string) (*Log, [][]byte) {
	t.Helper()
	disk, err := OpenDirectory(dir)
	qt.Assert(t, err, qt.IsNil)
	book, records, err := Open(disk)
	qt.Assert(t, err, qt.IsNil)
	return book, records
}

func readFolder(t *testing.T, dir string) []string {
	t.Helper()
	book, records := openFolder(t, dir)
	book.Close()
	var out []string
	for _, record := range records {
		out = append(out, string(record))
	}
	return out
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

// writeGeneration begins a new generation in a folder and appends records.
func writeGeneration(t *testing.T, dir string, snapshot []string, appended ...string) {
	t.Helper()
	book, _ := openFolder(t, dir)
	defer book.Close()
	qt.Assert(t, turn(book, snapshot), qt.IsNil)
	for _, record := range appended {
		qt.Assert(t, wait(book, record), qt.IsNil)
	}
}

func writeWhole(t *testing.T, dir string) {
	writeGeneration(t, dir, nil, "overwritten")
	writeGeneration(t, dir, []string{"first", "second"}, "\x00\xff third", "fourth")
}

func writeTornSegment(t *testing.T, dir string) {
	writeWhole(t, dir)
	files := filesIn(t, dir)
	files[segName(2)] = files[segName(2)][:len(files[segName(2)])-1]
	writeFiles(t, dir, files)
}

// writeTornChecksum damages a record in the middle: what follows isn't read.
func writeTornChecksum(t *testing.T, dir string) {
	writeWhole(t, dir)
	segment, err := os.ReadFile(filepath.Join(dir, segName(2)))
	qt.Assert(t, err, qt.IsNil)
	segment[headSize] ^= 1
	writeFiles(t, dir, map[string]string{segName(2): string(segment)})
}

// writeTornSnapshot leaves two segments behind the last whole snapshot.
func writeTornSnapshot(t *testing.T, dir string) {
	writeGeneration(t, dir, []string{"old first"}, "old second")
	old := filesIn(t, dir)
	writeGeneration(t, dir, []string{"first", "second"}, "\x00\xff third", "fourth")
	files := filesIn(t, dir)
	writeFiles(t, dir, old)
	writeFiles(t, dir, map[string]string{
		snapName(2):           files[snapName(2)][:len(files[snapName(2)])-1],
		"unfinished-00000003": "half",
	})
}

// writeOldFilesLeft leaves the files that the newest snapshot stands for.
func writeOldFilesLeft(t *testing.T, dir string) {
	writeGeneration(t, dir, []string{"old first"}, "old second")
	old := filesIn(t, dir)
	writeGeneration(t, dir, []string{"first", "second"}, "\x00\xff third", "fourth")
	writeFiles(t, dir, old)
}
