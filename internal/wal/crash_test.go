package wal

import (
	"fmt"
	"math/rand"
	"sort"
	"strconv"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// pageDisk is a disk as bad as the pages allow: at a loss of power each write
// that was not synced may be present, missing or torn, and each name that was
// made, renamed or removed since the folder's last sync kept or lost, all by
// themselves.
type pageDisk struct {
	mu    sync.Mutex
	step  int
	last  int
	ill   func(step int) bool
	names map[string]*inode
	was   map[string][]*inode
	most  int
}

type inode struct {
	safe  []byte
	loose []change
}

type change struct {
	at   int
	data []byte
	cut  bool
}

func newPageDisk() *pageDisk {
	return &pageDisk{last: 1 << 30, names: map[string]*inode{}, was: map[string][]*inode{}}
}

func (d *pageDisk) take() error {
	d.step++
	if d.step > d.last {
		return errPower
	}
	if d.ill != nil && d.ill(d.step) {
		return errFull
	}
	return nil
}

func (d *pageDisk) set(n string, f *inode) {
	if _, ok := d.was[n]; !ok {
		d.was[n] = []*inode{d.names[n]}
	}
	d.was[n] = append(d.was[n], f)
	if f == nil {
		delete(d.names, n)
		return
	}
	d.names[n] = f
}

func (d *pageDisk) Create(n string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.take(); err != nil {
		return nil, err
	}
	f := d.names[n]
	if f == nil {
		f = &inode{}
		d.set(n, f)
	} else {
		f.loose = append(f.loose, change{cut: true})
	}
	return &handle{d, f}, nil
}

type handle struct {
	d *pageDisk
	f *inode
}

func (h *handle) Write(b []byte) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	at := len(h.f.live())
	if err := h.d.take(); err != nil {
		if err == errFull {
			h.f.loose = append(h.f.loose, change{at: at, data: append([]byte(nil), b[:len(b)/2]...)})
		}
		return len(b) / 2, err
	}
	h.f.loose = append(h.f.loose, change{at: at, data: append([]byte(nil), b...)})
	h.d.grown()
	return len(b), nil
}

func (h *handle) Sync() error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if err := h.d.take(); err != nil {
		return err
	}
	h.f.safe, h.f.loose = h.f.live(), nil
	return nil
}

func (h *handle) Close() error { return nil }

const (
	present = iota
	missing
	firstHalf
	lastHalf
	hollow
	fates
)

func (c change) onto(b []byte, fate int) []byte {
	if fate == missing {
		return b
	}
	if c.cut {
		return nil
	}
	data, at := c.data, c.at
	if fate == firstHalf {
		data = data[:len(data)/2]
	}
	if fate == lastHalf {
		at += len(data) / 2
		data = data[len(data)/2:]
	}
	if fate == hollow {
		data = append(append([]byte(nil), data[:min(headSize, len(data))]...), make([]byte, max(0, len(data)-headSize))...)
	}
	for len(b) < at+len(data) {
		b = append(b, 0)
	}
	copy(b[at:], data)
	return b
}

func (f *inode) live() []byte { return f.found(func(int) int { return present }) }

func (f *inode) found(pick func(n int) int) []byte {
	b := append([]byte(nil), f.safe...)
	for _, c := range f.loose {
		b = c.onto(b, pick(fates))
	}
	return b
}

func (d *pageDisk) Read(n string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.names[n].live(), nil
}

func (d *pageDisk) Rename(a, b string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.take(); err != nil {
		return err
	}
	f := d.names[a]
	d.set(a, nil)
	d.set(b, f)
	return nil
}

func (d *pageDisk) Remove(n string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.take(); err != nil {
		return err
	}
	d.set(n, nil)
	return nil
}

func (d *pageDisk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for n := range d.names {
		out = append(out, n)
	}
	sort.Strings(out)
	return out, nil
}

func (d *pageDisk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.take(); err != nil {
		return err
	}
	d.was = map[string][]*inode{}
	return nil
}

func (d *pageDisk) grown() {
	n := 0
	for _, f := range d.names {
		n += len(f.live())
	}
	d.most = max(d.most, n)
}

// dark is the disk once power is back.
func (d *pageDisk) dark(pick func(n int) int) *pageDisk {
	out := newPageDisk()
	var ns []string
	for n := range d.names {
		ns = append(ns, n)
	}
	for n := range d.was {
		if d.names[n] == nil {
			ns = append(ns, n)
		}
	}
	sort.Strings(ns)
	seen := map[*inode][]byte{}
	for _, n := range ns {
		f := d.names[n]
		if was := d.was[n]; len(was) > 0 {
			f = was[pick(len(was))]
		}
		if f == nil {
			continue
		}
		if seen[f] == nil {
			seen[f] = f.found(pick)
		}
		out.names[n] = &inode{safe: seen[f]}
	}
	return out
}

// choices are made one after the other. All of them are gone through while they
// are few; of more, some are drawn.
type choices struct {
	path, of []int
	at       int
	rng      *rand.Rand
}

func (c *choices) pick(n int) int {
	if c.rng != nil {
		return c.rng.Intn(n)
	}
	if c.at == len(c.path) {
		c.path, c.of = append(c.path, 0), append(c.of, n)
	}
	c.at++
	return c.path[c.at-1]
}

func (c *choices) next() bool {
	c.at = 0
	for i := len(c.path) - 1; i >= 0; i-- {
		if c.path[i]++; c.path[i] < c.of[i] {
			c.path, c.of = c.path[:i+1], c.of[:i+1]
			return true
		}
	}
	return false
}

// each calls f for all choices, or for some drawn where there are over `most`.
func each(seed int64, most int, f func(pick func(n int) int)) {
	c := &choices{}
	for i := 0; i < most; i++ {
		f(c.pick)
		if !c.next() {
			return
		}
	}
	rng := rand.New(rand.NewSource(seed))
	for i := 0; i < most; i++ {
		f((&choices{rng: rng}).pick)
	}
}

// keeper is a user of the book: what it holds in memory, and what of that it
// was told is safe. Records are numbers, each above the one before.
type keeper struct {
	mem, safe []int
	top       int
}

func (p *keeper) copy() *keeper {
	return &keeper{append([]int(nil), p.mem...), append([]int(nil), p.safe...), p.top}
}

func (p *keeper) add(k *Log, n int) error {
	errs := make(chan error, n)
	var js []job
	for range n {
		p.top++
		p.mem = append(p.mem, p.top)
		js = append(js, job{rec: []byte(strconv.Itoa(p.top)), done: func(err error) { errs <- err }})
	}
	k.mu.Lock()
	k.q = append(k.q, js...)
	k.mu.Unlock()
	k.cnd.Signal()
	for i := range n {
		if err := <-errs; err != nil {
			return err
		}
		p.safe = append(p.safe, p.mem[len(p.mem)-n+i])
	}
	return nil
}

func (p *keeper) turn(k *Log) error {
	var page []string
	for _, x := range p.mem {
		page = append(page, strconv.Itoa(x))
	}
	err := turn(k, page)
	if err == nil {
		p.safe = append([]int(nil), p.mem...)
	}
	return err
}

// open starts on what the disk holds and says what is wrong with it.
func (p *keeper) open(d *pageDisk) (*Log, string) {
	k, recs, err := Open(d)
	if err != nil {
		return nil, err.Error()
	}
	p.mem = nil
	last, has := 0, map[int]bool{}
	for _, r := range recs {
		x, err := strconv.Atoi(string(r))
		if err != nil || x <= last || x > p.top {
			return k, fmt.Sprintf("%q behind %d, of %d", r, last, p.top)
		}
		last, has[x] = x, true
		p.mem = append(p.mem, x)
	}
	for _, x := range p.safe {
		if !has[x] {
			return k, fmt.Sprintf("%d was acknowledged and is lost; read: %v", x, p.mem)
		}
	}
	return k, ""
}

// live is one life: it ends with its work or with the power.
func (p *keeper) live(d *pageDisk, turns, adds int) string {
	k, bad := p.open(d)
	if k != nil {
		defer k.Close()
	}
	if bad != "" {
		return bad
	}
	for range turns {
		for tries := 0; p.turn(k) != nil && tries < 8; tries++ {
		}
		for i := range adds {
			p.add(k, 1+i%2)
		}
	}
	return ""
}

// worlds plays a first life up to its end at each step, on a disk that refuses
// some steps or none. Where the end is a loss of power, a second life follows on
// each disk that may be found; where it is a kill, on the disk as it stands. That
// life ends with a loss of power too, and a third one reads.
func worlds(most int, report func(string)) (n int) {
	second := []int{1, 2, 3, 4, 5, 6, 7, 9, 12, 1 << 30}
	for from := range 21 {
		ills := 1 + from%3
		for last := 1; last <= 30; last++ {
			d, p := newPageDisk(), &keeper{}
			d.ill = func(s int) bool { return from > 0 && s >= from && s < from+ills }
			d.last = last
			where := fmt.Sprintf("refusing %d from step %d, power lost at step %d", ills, from, last)
			if s := p.live(d, 3, 3); s != "" {
				report(where + ": " + s)
				return n
			}
			then := func(kill bool, e *pageDisk, at int) {
				n++
				e.last = second[at]
				q := p.copy()
				s := q.live(e, 2, 2)
				if s == "" {
					s = q.read(e.dark(rand.New(rand.NewSource(int64(n))).Intn))
				}
				if s != "" {
					report(fmt.Sprintf("%s, killed first %v, second loss at step %d, world %d: %s", where, kill, e.last, n, s))
				}
			}
			each(int64(last), most, func(pick func(int) int) { then(false, d.dark(pick), n%len(second)) })
			each(int64(last), most, func(pick func(int) int) { then(true, d.clone(), pick(4*len(second))/4) })
		}
	}
	return n
}

func (p *keeper) read(d *pageDisk) string {
	k, s := p.open(d)
	if k != nil {
		k.Close()
	}
	return s
}

func (d *pageDisk) clone() *pageDisk {
	out := newPageDisk()
	twin := map[*inode]*inode{nil: nil}
	of := func(f *inode) *inode {
		if _, ok := twin[f]; !ok {
			twin[f] = &inode{append([]byte(nil), f.safe...), append([]change(nil), f.loose...)}
		}
		return twin[f]
	}
	for n, f := range d.names {
		out.names[n] = of(f)
	}
	for n, fs := range d.was {
		for _, f := range fs {
			out.was[n] = append(out.was[n], of(f))
		}
	}
	return out
}

func TestWhatWasAcknowledgedIsReadBackFromEveryDiskThatMayBeFound(t *testing.T) {
	bad := 0
	n := worlds(16, func(s string) {
		if bad++; bad <= 3 {
			t.Error(s)
		}
	})
	t.Logf("%d worlds, %d wrong", n, bad)
	qt.Assert(t, n > 10000, qt.IsTrue)
}

func TestDiskAndStartStayFlatOverManyChanges(t *testing.T) {
	const cells, size, most = 20, 100, 4000
	d := newPageDisk()
	state := map[int]string{}
	page := func() (out []string) {
		for i := range cells {
			if s, ok := state[i]; ok {
				out = append(out, s)
			}
		}
		return out
	}
	k, _, err := Open(d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, turn(k, nil), qt.IsNil)
	written, syncs := 0, 0
	for i := range 1000 {
		s := fmt.Sprintf("%*d", size, i)
		state[i%cells] = s
		qt.Assert(t, wait(k, s), qt.IsNil)
		if written += len(s); written > most {
			before := d.step
			qt.Assert(t, turn(k, page()), qt.IsNil)
			syncs = d.step - before
			written = 0
		}
		if i%97 == 0 {
			k.Close()
			var recs [][]byte
			k, recs, err = Open(d)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(recs) <= cells+most/size+1, qt.IsTrue, qt.Commentf("change %d: %d records", i, len(recs)))
			qt.Assert(t, turn(k, page()), qt.IsNil)
			written = 0
		}
		qt.Assert(t, len(d.names) <= 2, qt.IsTrue, qt.Commentf("change %d: %d files", i, len(d.names)))
	}
	k.Close()
	qt.Assert(t, d.most <= 2*cells*(size+headSize)+most+most/size*headSize+1000, qt.IsTrue, qt.Commentf("%d bytes at the most", d.most))
	qt.Assert(t, syncs, qt.Equals, 8, qt.Commentf("made twice, written, synced, renamed, the folder synced, two removed"))
}
