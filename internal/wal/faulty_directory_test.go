package wal

import (
	"errors"
	"sort"
	"sync"
)

// faultyDirectory is an in-memory directory that simulates a disk with the weakest
// durability guarantees. After a power loss each unsynced write may be present, missing
// or torn, and each name that was created, renamed or removed since the last directory
// sync may be kept or lost, independently of all others.
type faultyDirectory struct {
	mu sync.Mutex
	// step counts the operations that change or sync the disk. All after lastStep
	// fail with errPowerLost.
	step     int
	lastStep int
	// failsAt selects the steps that fail with errDiskFull; nil means none.
	failsAt func(step int) bool
	files   map[string]*inode
	// candidates has, for each name changed since the last directory sync, the files
	// that it may refer to after a power loss; nil means that the name is missing.
	candidates map[string][]*inode
	// peakBytes is the largest total size of all files so far.
	peakBytes int
}

// inode is the content of a file: what was synced, and the writes since.
type inode struct {
	synced   []byte
	unsynced []unsyncedWrite
}

// unsyncedWrite is a write of data at offset, or a truncation to zero length.
type unsyncedWrite struct {
	offset    int
	data      []byte
	truncates bool
}

func newFaultyDirectory() *faultyDirectory {
	return &faultyDirectory{lastStep: 1 << 30, files: map[string]*inode{}, candidates: map[string][]*inode{}}
}

// countStep counts a step and returns the error that it fails with.
func (d *faultyDirectory) countStep() error {
	d.step++
	if d.step > d.lastStep {
		return errPowerLost
	}
	if d.failsAt != nil && d.failsAt(d.step) {
		return errDiskFull
	}
	return nil
}

// setEntry makes name refer to file, or removes it if file is nil, and remembers what
// it may still refer to after a power loss.
func (d *faultyDirectory) setEntry(name string, file *inode) {
	if _, ok := d.candidates[name]; !ok {
		d.candidates[name] = []*inode{d.files[name]}
	}
	d.candidates[name] = append(d.candidates[name], file)
	if file == nil {
		delete(d.files, name)
		return
	}
	d.files[name] = file
}

func (d *faultyDirectory) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return nil, err
	}
	file := d.files[name]
	if file == nil {
		file = &inode{}
		d.setEntry(name, file)
	} else {
		file.unsynced = append(file.unsynced, unsyncedWrite{truncates: true})
	}
	return &faultyFile{d, file}, nil
}

// faultyFile is an open file. A write that fails because the disk is full still writes
// the first half of its data.
type faultyFile struct {
	directory *faultyDirectory
	file      *inode
}

func (f *faultyFile) Write(data []byte) (int, error) {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	offset := len(f.file.content())
	if err := f.directory.countStep(); err != nil {
		if errors.Is(err, errDiskFull) {
			f.file.unsynced = append(f.file.unsynced, unsyncedWrite{offset: offset, data: append([]byte(nil), data[:len(data)/2]...)})
		}
		return len(data) / 2, err
	}
	f.file.unsynced = append(f.file.unsynced, unsyncedWrite{offset: offset, data: append([]byte(nil), data...)})
	f.directory.updatePeakBytes()
	return len(data), nil
}

func (f *faultyFile) Sync() error {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	if err := f.directory.countStep(); err != nil {
		return err
	}
	f.file.synced, f.file.unsynced = f.file.content(), nil
	return nil
}

func (f *faultyFile) Close() error { return nil }

// Outcomes of an unsynced write after a power loss.
const (
	writePresent = iota
	writeMissing
	writeFirstHalf
	writeLastHalf
	// writeZeroed keeps the first headerSize bytes and zeroes the rest.
	writeZeroed
	writeOutcomeCount
)

// applyTo returns content after the write had the given outcome.
func (w unsyncedWrite) applyTo(content []byte, outcome int) []byte {
	if outcome == writeMissing {
		return content
	}
	if w.truncates {
		return nil
	}
	data, offset := w.data, w.offset
	if outcome == writeFirstHalf {
		data = data[:len(data)/2]
	}
	if outcome == writeLastHalf {
		offset += len(data) / 2
		data = data[len(data)/2:]
	}
	if outcome == writeZeroed {
		data = append(append([]byte(nil), data[:min(headerSize, len(data))]...), make([]byte, max(0, len(data)-headerSize))...)
	}
	for len(content) < offset+len(data) {
		content = append(content, 0)
	}
	copy(content[offset:], data)
	return content
}

// content is what a running process reads, including all unsynced writes.
func (f *inode) content() []byte { return f.contentWith(func(int) int { return writePresent }) }

// contentWith is the content with an outcome picked for each unsynced write.
func (f *inode) contentWith(pick func(n int) int) []byte {
	content := append([]byte(nil), f.synced...)
	for _, w := range f.unsynced {
		content = w.applyTo(content, pick(writeOutcomeCount))
	}
	return content
}

func (d *faultyDirectory) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.files[name].content(), nil
}

func (d *faultyDirectory) Rename(oldName, newName string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	file := d.files[oldName]
	d.setEntry(oldName, nil)
	d.setEntry(newName, file)
	return nil
}

func (d *faultyDirectory) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	d.setEntry(name, nil)
	return nil
}

func (d *faultyDirectory) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

func (d *faultyDirectory) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	d.candidates = map[string][]*inode{}
	return nil
}

func (d *faultyDirectory) updatePeakBytes() {
	size := 0
	for _, file := range d.files {
		size += len(file.content())
	}
	d.peakBytes = max(d.peakBytes, size)
}

// afterPowerLoss returns a possible state of the directory after a power loss. pick
// decides the outcome of each unsynced write and changed name.
func (d *faultyDirectory) afterPowerLoss(pick func(n int) int) *faultyDirectory {
	survivor := newFaultyDirectory()
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	for name := range d.candidates {
		if d.files[name] == nil {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	contents := map[*inode][]byte{}
	for _, name := range names {
		file := d.files[name]
		if versions := d.candidates[name]; len(versions) > 0 {
			file = versions[pick(len(versions))]
		}
		if file == nil {
			continue
		}
		if contents[file] == nil {
			contents[file] = file.contentWith(pick)
		}
		survivor.files[name] = &inode{synced: contents[file]}
	}
	return survivor
}

// afterKill returns the directory as a killed process leaves it: unsynced changes are
// visible but can still be lost in a later power loss.
func (d *faultyDirectory) afterKill() *faultyDirectory {
	survivor := newFaultyDirectory()
	copies := map[*inode]*inode{nil: nil}
	copyOf := func(file *inode) *inode {
		if _, ok := copies[file]; !ok {
			copies[file] = &inode{append([]byte(nil), file.synced...), append([]unsyncedWrite(nil), file.unsynced...)}
		}
		return copies[file]
	}
	for name, file := range d.files {
		survivor.files[name] = copyOf(file)
	}
	for name, files := range d.candidates {
		for _, file := range files {
			survivor.candidates[name] = append(survivor.candidates[name], copyOf(file))
		}
	}
	return survivor
}
