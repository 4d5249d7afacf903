package tollbook

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/zeebo/errs"
)

var Error = errs.Class("tollbook")

var table = crc32.MakeTable(crc32.Castagnoli)

const (
	headSize = 8
	maxRec   = 64 << 20
)

var closing = []byte("corkcove snapshot whole")

type job struct {
	rec  []byte
	done func(error)
	page [][]byte
}

// Book is a log in numbered segments with a snapshot beside each. One writer
// goroutine takes all jobs in order and syncs them in groups.
type Book struct {
	dk  Disk
	mu  sync.Mutex
	cnd *sync.Cond
	q   []job
	end bool
	gen uint64
	cur File
	bad error
	fin chan struct{}
}

func segName(n uint64) string  { return fmt.Sprintf("segment-%08d", n) }
func snapName(n uint64) string { return fmt.Sprintf("snapshot-%08d", n) }

func number(name, pre string) (uint64, bool) {
	s, ok := strings.CutPrefix(name, pre)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(s, 10, 64)
	return n, err == nil
}

func frame(b, rec []byte) []byte {
	var h [headSize]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(rec)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(rec, table))
	return append(append(b, h[:]...), rec...)
}

func frames(b []byte) (recs [][]byte, whole bool) {
	for len(b) >= headSize {
		n := binary.LittleEndian.Uint32(b)
		c := binary.LittleEndian.Uint32(b[4:])
		if n == 0 || n > maxRec || uint64(len(b)) < headSize+uint64(n) {
			return recs, false
		}
		r := b[headSize : headSize+n]
		if crc32.Checksum(r, table) != c {
			return recs, false
		}
		recs = append(recs, r)
		b = b[headSize+n:]
	}
	return recs, len(b) == 0
}

// Open reads what the disk holds: the newest whole snapshot, then each later
// segment up to its first torn record. Nothing may be appended before the
// first Checkpoint.
func Open(dk Disk) (*Book, [][]byte, error) {
	ns, err := dk.List()
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	var segs, snaps []uint64
	var top uint64
	for _, s := range ns {
		if n, ok := number(s, "segment-"); ok {
			segs = append(segs, n)
			top = max(top, n)
		}
		if n, ok := number(s, "snapshot-"); ok {
			snaps = append(snaps, n)
			top = max(top, n)
		}
	}
	sort.Slice(segs, func(i, j int) bool { return segs[i] < segs[j] })
	sort.Slice(snaps, func(i, j int) bool { return snaps[i] > snaps[j] })
	var out [][]byte
	var from uint64
	for _, n := range snaps {
		b, err := dk.Read(snapName(n))
		if err != nil {
			return nil, nil, Error.Wrap(err)
		}
		rs, ok := frames(b)
		if ok && len(rs) > 0 && string(rs[len(rs)-1]) == string(closing) {
			out, from = rs[:len(rs)-1], n
			break
		}
	}
	for _, n := range segs {
		if n < from {
			continue
		}
		b, err := dk.Read(segName(n))
		if err != nil {
			return nil, nil, Error.Wrap(err)
		}
		rs, _ := frames(b)
		out = append(out, rs...)
	}
	k := &Book{dk: dk, gen: top, fin: make(chan struct{}), bad: Error.New("no checkpoint yet")}
	k.cnd = sync.NewCond(&k.mu)
	go k.run()
	return k, out, nil
}

// Append calls done from the writer once the record is synced or has failed.
func (k *Book) Append(rec []byte, done func(error)) { k.push(job{rec: rec, done: done}) }

// Checkpoint starts a new segment whose beginning state is page. It also mends
// a book whose disk had failed.
func (k *Book) Checkpoint(page [][]byte, done func(error)) {
	if page == nil {
		page = [][]byte{}
	}
	k.push(job{page: page, done: done})
}

func (k *Book) push(j job) {
	k.mu.Lock()
	k.q = append(k.q, j)
	k.mu.Unlock()
	k.cnd.Signal()
}

func (k *Book) Close() {
	k.mu.Lock()
	k.end = true
	k.mu.Unlock()
	k.cnd.Signal()
	<-k.fin
}

func (k *Book) run() {
	defer close(k.fin)
	for {
		k.mu.Lock()
		for len(k.q) == 0 && !k.end {
			k.cnd.Wait()
		}
		q := k.q
		k.q = nil
		end := k.end
		k.mu.Unlock()
		if len(q) == 0 && end {
			if k.cur != nil {
				k.cur.Close()
			}
			return
		}
		for len(q) > 0 {
			if q[0].page != nil {
				err := k.turn(q[0].page)
				k.bad = err
				q[0].done(err)
				q = q[1:]
				continue
			}
			n := 0
			for n < len(q) && q[n].page == nil {
				n++
			}
			err := k.write(q[:n])
			for _, j := range q[:n] {
				j.done(err)
			}
			q = q[n:]
		}
	}
}

func (k *Book) write(js []job) error {
	if k.bad != nil {
		return k.bad
	}
	var b []byte
	for _, j := range js {
		if len(j.rec) > 0 {
			b = frame(b, j.rec)
		}
	}
	if len(b) == 0 {
		return nil
	}
	if _, err := k.cur.Write(b); err != nil {
		k.bad = Error.Wrap(err)
		return k.bad
	}
	if err := k.cur.Sync(); err != nil {
		k.bad = Error.Wrap(err)
	}
	return k.bad
}

func (k *Book) turn(page [][]byte) error {
	if k.cur != nil {
		k.cur.Close()
		k.cur = nil
	}
	n := k.gen + 1
	k.gen = n
	var b []byte
	for _, r := range page {
		b = frame(b, r)
	}
	b = frame(b, closing)
	tmp := fmt.Sprintf("unfinished-%08d", n)
	f, err := k.dk.Create(tmp)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	f.Close()
	if err == nil {
		err = k.dk.Rename(tmp, snapName(n))
	}
	if err == nil {
		err = k.dk.SyncFolder()
	}
	if err != nil {
		k.dk.Remove(tmp)
		return Error.Wrap(err)
	}
	c, err := k.dk.Create(segName(n))
	if err != nil {
		return Error.Wrap(err)
	}
	if err := c.Sync(); err != nil {
		c.Close()
		return Error.Wrap(err)
	}
	k.cur = c
	ns, err := k.dk.List()
	if err != nil {
		return nil
	}
	for _, s := range ns {
		a, ok := number(s, "segment-")
		if !ok {
			a, ok = number(s, "snapshot-")
		}
		if !ok {
			a, ok = number(s, "unfinished-")
		}
		if ok && a < n {
			k.dk.Remove(s)
		}
	}
	return nil
}
