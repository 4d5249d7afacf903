package wal

import (
	"errors"
	"sort"
	"sync"
)

// memDirectory is in memory. It counts each step that reaches the disk and takes
// none after lastStep, as at a loss of power. What was not synced may be torn.
type memDirectory struct {
	mu       sync.Mutex
	lastStep int
	step     int
	full     bool
	files    map[string]*memFile
	synced   map[string]*memFile
}

type memFile struct {
	directory *memDirectory
	data      []byte
	synced    int
}

var errPowerLost = errors.New("power lost")
var errDiskFull = errors.New("disk full")

func newMemDirectory(last int) *memDirectory {
	return &memDirectory{lastStep: last, files: map[string]*memFile{}, synced: map[string]*memFile{}}
}

func (d *memDirectory) countStep() error {
	d.step++
	if d.step > d.lastStep {
		return errPowerLost
	}
	if d.full {
		return errDiskFull
	}
	return nil
}

func (d *memDirectory) Create(n string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return nil, err
	}
	f := &memFile{directory: d}
	d.files[n] = f
	return f, nil
}

func (f *memFile) Write(b []byte) (int, error) {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	if err := f.directory.countStep(); err != nil {
		f.data = append(f.data, b[:len(b)/2]...)
		return len(b) / 2, err
	}
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f *memFile) Sync() error {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	if err := f.directory.countStep(); err != nil {
		return err
	}
	f.synced = len(f.data)
	for n, x := range f.directory.files {
		if x == f {
			f.directory.synced[n] = f
		}
	}
	return nil
}

func (f *memFile) Close() error { return nil }

func (d *memDirectory) Read(n string) ([]byte, error) {
	return append([]byte(nil), d.files[n].data...), nil
}

func (d *memDirectory) Rename(a, b string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	d.files[b] = d.files[a]
	delete(d.files, a)
	return nil
}

func (d *memDirectory) Remove(n string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	delete(d.files, n)
	return nil
}

func (d *memDirectory) List() ([]string, error) {
	var out []string
	for n := range d.files {
		out = append(out, n)
	}
	sort.Strings(out)
	return out, nil
}

func (d *memDirectory) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	d.synced = map[string]*memFile{}
	for n, f := range d.files {
		d.synced[n] = f
	}
	return nil
}

// afterPowerLoss is the directory as it may be found once power is back: keep tells
// how many of the bytes that were not synced are still there.
func (d *memDirectory) afterPowerLoss(keep func(unsynced int) int) *memDirectory {
	n := newMemDirectory(1 << 30)
	for s, f := range d.synced {
		b := append([]byte(nil), f.data[:f.synced+keep(len(f.data)-f.synced)]...)
		n.files[s] = &memFile{directory: n, data: b, synced: len(b)}
	}
	return n
}
