package wal

import (
	"errors"
	"fmt"
	"sort"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// memDisk counts each step that reaches the disk and stops taking any after
// step `last`, as at a loss of power. What was not synced may be torn.
type memDisk struct {
	mu    sync.Mutex
	last  int
	step  int
	full  bool
	live  map[string]*memFile
	names map[string]*memFile
}

type memFile struct {
	d      *memDisk
	data   []byte
	synced int
}

var errPower = errors.New("power lost")
var errFull = errors.New("disk full")

func newDisk(last int) *memDisk {
	return &memDisk{last: last, live: map[string]*memFile{}, names: map[string]*memFile{}}
}

func (d *memDisk) take() error {
	d.step++
	if d.step > d.last {
		return errPower
	}
	if d.full {
		return errFull
	}
	return nil
}

func (d *memDisk) Create(n string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.take(); err != nil {
		return nil, err
	}
	f := &memFile{d: d}
	d.live[n] = f
	return f, nil
}

func (f *memFile) Write(b []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.take(); err != nil {
		f.data = append(f.data, b[:len(b)/2]...)
		return len(b) / 2, err
	}
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f *memFile) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.take(); err != nil {
		return err
	}
	f.synced = len(f.data)
	for n, x := range f.d.live {
		if x == f {
			f.d.names[n] = f
		}
	}
	return nil
}

func (f *memFile) Close() error { return nil }

func (d *memDisk) Read(n string) ([]byte, error) { return append([]byte(nil), d.live[n].data...), nil }

func (d *memDisk) Rename(a, b string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.take(); err != nil {
		return err
	}
	d.live[b] = d.live[a]
	delete(d.live, a)
	return nil
}

func (d *memDisk) Remove(n string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.take(); err != nil {
		return err
	}
	delete(d.live, n)
	return nil
}

func (d *memDisk) List() ([]string, error) {
	var out []string
	for n := range d.live {
		out = append(out, n)
	}
	sort.Strings(out)
	return out, nil
}

func (d *memDisk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.take(); err != nil {
		return err
	}
	d.names = map[string]*memFile{}
	for n, f := range d.live {
		d.names[n] = f
	}
	return nil
}

// after gives the disk as it may be found once power returns: keep tells how
// many of the bytes that were not synced are still there.
func (d *memDisk) after(keep func(unsynced int) int) *memDisk {
	n := newDisk(1 << 30)
	for s, f := range d.names {
		b := append([]byte(nil), f.data[:f.synced+keep(len(f.data)-f.synced)]...)
		n.live[s] = &memFile{d: n, data: b, synced: len(b)}
	}
	return n
}

func wait(k *Log, rec string) error {
	c := make(chan error, 1)
	k.Append([]byte(rec), func(err error) { c <- err })
	return <-c
}

func turn(k *Log, recs []string) error {
	var p [][]byte
	for _, r := range recs {
		p = append(p, []byte(r))
	}
	c := make(chan error, 1)
	k.Checkpoint(p, func(err error) { c <- err })
	return <-c
}

func TestEveryCrashPointKeepsWhatWasAcknowledged(t *testing.T) {
	for last := 1; last < 90; last++ {
		for _, keep := range []func(int) int{func(int) int { return 0 }, func(n int) int { return n / 2 }, func(n int) int { return n }} {
			d := newDisk(last)
			var acked []string
			k, _, err := Open(d)
			qt.Assert(t, err, qt.IsNil)
			ok := turn(k, nil) == nil
			for i := 0; ok && i < 24; i++ {
				r := fmt.Sprintf("record %d", i)
				if wait(k, r) != nil {
					break
				}
				acked = append(acked, r)
				if i%7 == 6 && turn(k, acked) != nil {
					break
				}
			}
			k.Close()
			_, got, err := Open(d.after(keep))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(got) >= len(acked), qt.IsTrue, qt.Commentf("crash at step %d: %d of %d", last, len(got), len(acked)))
			for i, r := range acked {
				qt.Assert(t, string(got[i]), qt.Equals, r)
			}
		}
	}
}

func TestFullDiskRefusesUntilACheckpointMendsIt(t *testing.T) {
	d := newDisk(1 << 30)
	k, _, err := Open(d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, wait(k, "too early"), qt.IsNotNil)
	qt.Assert(t, turn(k, nil), qt.IsNil)
	qt.Assert(t, wait(k, "a"), qt.IsNil)
	set := func(on bool) { d.mu.Lock(); d.full = on; d.mu.Unlock() }
	set(true)
	qt.Assert(t, wait(k, "b"), qt.IsNotNil)
	qt.Assert(t, turn(k, []string{"a", "b"}), qt.IsNotNil)
	set(false)
	qt.Assert(t, wait(k, "c"), qt.IsNotNil, qt.Commentf("nothing may be taken behind a torn record"))
	qt.Assert(t, turn(k, []string{"a", "b"}), qt.IsNil)
	qt.Assert(t, wait(k, "d"), qt.IsNil)
	k.Close()
	_, got, err := Open(d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(got), qt.Equals, 3)
	qt.Assert(t, string(got[2]), qt.Equals, "d")
}
