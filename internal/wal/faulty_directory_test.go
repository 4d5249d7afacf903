package wal

import (
	"errors"
	"sort"
	"sync"
)

// faultyDirectory is in memory, and as bad as a disk may be: at a loss of power
// each write that was not synced may be present, missing or torn, and each name
// that was made, renamed or removed since the directory's last sync kept or lost,
// independently of all others.
type faultyDirectory struct {
	mu       sync.Mutex
	step     int
	lastStep int
	refuses  func(step int) bool
	files    map[string]*inode
	versions map[string][]*inode
	maxBytes int
}

type inode struct {
	synced   []byte
	unsynced []unsyncedWrite
}

type unsyncedWrite struct {
	offset    int
	data      []byte
	truncates bool
}

func newFaultyDirectory() *faultyDirectory {
	return &faultyDirectory{lastStep: 1 << 30, files: map[string]*inode{}, versions: map[string][]*inode{}}
}

func (d *faultyDirectory) countStep() error {
	d.step++
	if d.step > d.lastStep {
		return errPowerLost
	}
	if d.refuses != nil && d.refuses(d.step) {
		return errDiskFull
	}
	return nil
}

func (d *faultyDirectory) setName(n string, f *inode) {
	if _, ok := d.versions[n]; !ok {
		d.versions[n] = []*inode{d.files[n]}
	}
	d.versions[n] = append(d.versions[n], f)
	if f == nil {
		delete(d.files, n)
		return
	}
	d.files[n] = f
}

func (d *faultyDirectory) Create(n string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return nil, err
	}
	f := d.files[n]
	if f == nil {
		f = &inode{}
		d.setName(n, f)
	} else {
		f.unsynced = append(f.unsynced, unsyncedWrite{truncates: true})
	}
	return &openFile{d, f}, nil
}

type openFile struct {
	directory *faultyDirectory
	file      *inode
}

func (h *openFile) Write(b []byte) (int, error) {
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	at := len(h.file.content())
	if err := h.directory.countStep(); err != nil {
		if errors.Is(err, errDiskFull) {
			h.file.unsynced = append(h.file.unsynced, unsyncedWrite{offset: at, data: append([]byte(nil), b[:len(b)/2]...)})
		}
		return len(b) / 2, err
	}
	h.file.unsynced = append(h.file.unsynced, unsyncedWrite{offset: at, data: append([]byte(nil), b...)})
	h.directory.recordSize()
	return len(b), nil
}

func (h *openFile) Sync() error {
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	if err := h.directory.countStep(); err != nil {
		return err
	}
	h.file.synced, h.file.unsynced = h.file.content(), nil
	return nil
}

func (h *openFile) Close() error { return nil }

const (
	writePresent = iota
	writeMissing
	writeFirstHalf
	writeLastHalf
	writeZeroed
	writeOutcomes
)

func (c unsyncedWrite) applyTo(content []byte, outcome int) []byte {
	if outcome == writeMissing {
		return content
	}
	if c.truncates {
		return nil
	}
	data, offset := c.data, c.offset
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

func (f *inode) content() []byte { return f.contentAfter(func(int) int { return writePresent }) }

func (f *inode) contentAfter(pick func(n int) int) []byte {
	content := append([]byte(nil), f.synced...)
	for _, c := range f.unsynced {
		content = c.applyTo(content, pick(writeOutcomes))
	}
	return content
}

func (d *faultyDirectory) Read(n string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.files[n].content(), nil
}

func (d *faultyDirectory) Rename(a, b string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	f := d.files[a]
	d.setName(a, nil)
	d.setName(b, f)
	return nil
}

func (d *faultyDirectory) Remove(n string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	d.setName(n, nil)
	return nil
}

func (d *faultyDirectory) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for n := range d.files {
		out = append(out, n)
	}
	sort.Strings(out)
	return out, nil
}

func (d *faultyDirectory) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	d.versions = map[string][]*inode{}
	return nil
}

func (d *faultyDirectory) recordSize() {
	n := 0
	for _, f := range d.files {
		n += len(f.content())
	}
	d.maxBytes = max(d.maxBytes, n)
}

// afterPowerLoss is the directory as it may be found once power is back; pick
// decides what became of each write and name.
func (d *faultyDirectory) afterPowerLoss(pick func(n int) int) *faultyDirectory {
	found := newFaultyDirectory()
	var names []string
	for n := range d.files {
		names = append(names, n)
	}
	for n := range d.versions {
		if d.files[n] == nil {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	contents := map[*inode][]byte{}
	for _, n := range names {
		f := d.files[n]
		if versions := d.versions[n]; len(versions) > 0 {
			f = versions[pick(len(versions))]
		}
		if f == nil {
			continue
		}
		if contents[f] == nil {
			contents[f] = f.contentAfter(pick)
		}
		found.files[n] = &inode{synced: contents[f]}
	}
	return found
}

// afterKill is the directory as a killed process leaves it.
func (d *faultyDirectory) afterKill() *faultyDirectory {
	found := newFaultyDirectory()
	copies := map[*inode]*inode{nil: nil}
	copyOf := func(f *inode) *inode {
		if _, ok := copies[f]; !ok {
			copies[f] = &inode{append([]byte(nil), f.synced...), append([]unsyncedWrite(nil), f.unsynced...)}
		}
		return copies[f]
	}
	for n, f := range d.files {
		found.files[n] = copyOf(f)
	}
	for n, fs := range d.versions {
		for _, f := range fs {
			found.versions[n] = append(found.versions[n], copyOf(f))
		}
	}
	return found
}
