package wal

import (
	"errors"
	"sort"
	"sync"
)

// memDirectory is an in-memory directory. It counts the operations that change or sync
// the disk and fails all after lastStep, which simulates a power loss. A failed write
// leaves the first half of its data.
type memDirectory struct {
	mu       sync.Mutex
	lastStep int
	step     int
	// diskFull makes every step fail with errDiskFull.
	diskFull bool
	files    map[string]*memFile
	// syncedFiles are the files whose names survive a power loss.
	syncedFiles map[string]*memFile
}

// memFile is a file of which the first synced bytes survive a power loss.
type memFile struct {
	directory *memDirectory
	data      []byte
	synced    int
}

var errPowerLost = errors.New("power lost")
var errDiskFull = errors.New("disk full")

func newMemDirectory(lastStep int) *memDirectory {
	return &memDirectory{lastStep: lastStep, files: map[string]*memFile{}, syncedFiles: map[string]*memFile{}}
}

// countStep counts a step and returns the error that it fails with.
func (d *memDirectory) countStep() error {
	d.step++
	if d.step > d.lastStep {
		return errPowerLost
	}
	if d.diskFull {
		return errDiskFull
	}
	return nil
}

func (d *memDirectory) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return nil, err
	}
	f := &memFile{directory: d}
	d.files[name] = f
	return f, nil
}

func (f *memFile) Write(data []byte) (int, error) {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	if err := f.directory.countStep(); err != nil {
		f.data = append(f.data, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	f.data = append(f.data, data...)
	return len(data), nil
}

func (f *memFile) Sync() error {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	if err := f.directory.countStep(); err != nil {
		return err
	}
	f.synced = len(f.data)
	for name, file := range f.directory.files {
		if file == f {
			f.directory.syncedFiles[name] = f
		}
	}
	return nil
}

func (f *memFile) Close() error { return nil }

func (d *memDirectory) Read(name string) ([]byte, error) {
	return append([]byte(nil), d.files[name].data...), nil
}

func (d *memDirectory) Rename(oldName, newName string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	d.files[newName] = d.files[oldName]
	delete(d.files, oldName)
	return nil
}

func (d *memDirectory) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *memDirectory) List() ([]string, error) {
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

func (d *memDirectory) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	d.syncedFiles = map[string]*memFile{}
	for name, file := range d.files {
		d.syncedFiles[name] = file
	}
	return nil
}

// afterPowerLoss returns the directory as it may be found after a power loss. keep
// returns how many of a file's unsynced bytes survive.
func (d *memDirectory) afterPowerLoss(keep func(unsynced int) int) *memDirectory {
	survivor := newMemDirectory(1 << 30)
	for name, file := range d.syncedFiles {
		data := append([]byte(nil), file.data[:file.synced+keep(len(file.data)-file.synced)]...)
		survivor.files[name] = &memFile{directory: survivor, data: data, synced: len(data)}
	}
	return survivor
}
