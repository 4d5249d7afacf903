package proxy

import (
	"bytes"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

type timedWriter struct {
	mu      sync.Mutex
	writes  []time.Duration
	started time.Time
	bytes   int
}

func (s *timedWriter) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes += len(b)
	s.writes = append(s.writes, time.Since(s.started))
	return len(b), nil
}

func TestPacerKeepsLargeBodiesToTheLinkAndLetsSmallOnesPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, late := NewPacer(8), time.Now().Add(time.Hour)
		big, small := &timedWriter{started: time.Now()}, &timedWriter{started: time.Now()}
		var wg sync.WaitGroup
		for range 4 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				qt.Check(t, p.write(big, make([]byte, 225_000), late), qt.IsNil)
			}()
		}
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, p.backlog(time.Now()) > 0, qt.IsTrue)
		for range 10 {
			qt.Check(t, p.write(small, make([]byte, 500), late), qt.IsNil)
		}
		qt.Assert(t, small.writes[9], qt.Equals, 100*time.Millisecond)
		wg.Wait()
		end := big.writes[len(big.writes)-1]
		qt.Assert(t, end > 940*time.Millisecond && end < 1040*time.Millisecond, qt.IsTrue, qt.Commentf("900 kB at 0.91 of 1 MB/s took %v", end))
		qt.Assert(t, big.bytes, qt.Equals, 900_000)
	})
	synctest.Test(t, func(t *testing.T) {
		p, late := NewPacer(8), time.Now().Add(time.Hour)
		first := p.acquire(100_000, late)
		var mu sync.Mutex
		var order []int
		var wg sync.WaitGroup
		for _, n := range []int{300_000, 60_000, 90_000} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				l := p.acquire(n, late)
				mu.Lock()
				order = append(order, n)
				mu.Unlock()
				if n != 60_000 {
					l()
				}
			}()
			synctest.Wait()
		}
		first()
		wg.Wait()
		qt.Assert(t, order, qt.DeepEquals, []int{60_000, 90_000, 300_000}, qt.Commentf("one whose other side takes nothing must not hold the rest"))
		qt.Assert(t, p.backlog(time.Now()) >= 0 && p.largeBytes == 0, qt.IsTrue)
	})
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(8)
		slow, quick := &timedWriter{started: time.Now()}, &timedWriter{started: time.Now()}
		done := make(chan bool)
		go func() {
			qt.Check(t, p.write(slow, make([]byte, 900_000), time.Now().Add(time.Hour)), qt.IsNil)
			close(done)
		}()
		synctest.Wait()
		qt.Check(t, p.write(quick, make([]byte, 100_000), time.Now().Add(300*time.Millisecond)), qt.IsNil)
		end := quick.writes[len(quick.writes)-1]
		qt.Assert(t, end, qt.Equals, 300*time.Millisecond, qt.Commentf("what is due does not wait for the link"))
		<-done
		qt.Assert(t, p.largeBytes == 0 && !p.busy, qt.IsTrue)
	})
	var none *Pacer
	var b bytes.Buffer
	qt.Assert(t, none.write(&b, make([]byte, 50_000), time.Time{}), qt.IsNil)
	qt.Assert(t, b.Len(), qt.Equals, 50_000)
	qt.Assert(t, NewPacer(0) == nil, qt.IsTrue)
}
