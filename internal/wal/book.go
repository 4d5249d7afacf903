package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
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
type Log struct {
	dk  Directory
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

func frameAll(recs [][]byte) ([]byte, error) {
	var b []byte
	for _, r := range recs {
		if len(r) == 0 || len(r) > maxRec {
			return nil, Error.New("a record of %d bytes can't be read back", len(r))
		}
		b = frame(b, r)
	}
	return b, nil
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
func Open(dk Directory) (*Log, [][]byte, error) {
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
	k := &Log{dk: dk, gen: top, fin: make(chan struct{}), bad: Error.New("no checkpoint yet")}
	k.cnd = sync.NewCond(&k.mu)
	go k.run()
	return k, out, nil
}

// Append calls done from the writer once the record is synced or has failed.
func (k *Log) Append(rec []byte, done func(error)) { k.push(job{rec: rec, done: done}) }

// Checkpoint starts a new segment whose beginning state is page. It also mends
// a book whose disk had failed.
func (k *Log) Checkpoint(page [][]byte, done func(error)) {
	if page == nil {
		page = [][]byte{}
	}
	k.push(job{page: page, done: done})
}

func (k *Log) push(j job) {
	k.mu.Lock()
	k.q = append(k.q, j)
	k.mu.Unlock()
	k.cnd.Signal()
}

func (k *Log) Close() {
	k.mu.Lock()
	k.end = true
	k.mu.Unlock()
	k.cnd.Signal()
	<-k.fin
}

func (k *Log) run() {
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

func (k *Log) write(js []job) error {
	if k.bad != nil {
		return k.bad
	}
	var recs [][]byte
	for _, j := range js {
		if len(j.rec) > 0 {
			recs = append(recs, j.rec)
		}
	}
	b, err := frameAll(recs)
	if err == nil && len(b) > 0 {
		_, err = k.cur.Write(b)
		if err == nil {
			err = k.cur.Sync()
		}
	}
	if err != nil {
		k.bad = Error.Wrap(err)
	}
	return k.bad
}

// turn makes the segment and the snapshot before it syncs the folder, once for
// both names. Until then nothing goes into the segment and all older files stay.
func (k *Log) turn(page [][]byte) error {
	if k.cur != nil {
		k.cur.Close()
		k.cur = nil
	}
	k.gen++
	c, err := k.dk.Create(segName(k.gen))
	if err != nil {
		return Error.Wrap(err)
	}
	if err := k.snapshot(page); err != nil {
		c.Close()
		k.dk.Remove(segName(k.gen))
		return Error.Wrap(err)
	}
	k.cur = c
	k.tidy()
	return nil
}

func (k *Log) snapshot(page [][]byte) error {
	b, err := frameAll(append(slices.Clip(page), closing))
	if err != nil {
		return err
	}
	tmp := fmt.Sprintf("unfinished-%08d", k.gen)
	f, err := k.dk.Create(tmp)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	f.Close()
	if err == nil {
		err = k.dk.Rename(tmp, snapName(k.gen))
	}
	if err != nil {
		k.dk.Remove(tmp)
		return err
	}
	return k.dk.Sync()
}

// tidy removes what the newest snapshot stands for. What is left, or comes back
// after a loss of power, goes with the next turn.
func (k *Log) tidy() {
	ns, err := k.dk.List()
	if err != nil {
		return
	}
	for _, s := range ns {
		a, ok := number(s, "segment-")
		if !ok {
			a, ok = number(s, "snapshot-")
		}
		if !ok {
			a, ok = number(s, "unfinished-")
		}
		if ok && a < k.gen {
			k.dk.Remove(s)
		}
	}
}
