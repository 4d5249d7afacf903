package proxy

import (
	"bytes"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

type stamped struct {
	mu sync.Mutex
	at []time.Duration
	t0 time.Time
	n  int
}

func (s *stamped) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n += len(b)
	s.at = append(s.at, time.Since(s.t0))
	return len(b), nil
}

func TestLargeBodiesKeepToTheLinkAndSmallOnesPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, late := NewPacer(8), time.Now().Add(time.Hour)
		big, small := &stamped{t0: time.Now()}, &stamped{t0: time.Now()}
		var wg sync.WaitGroup
		for range 4 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.write(big, make([]byte, 225_000), late)
			}()
		}
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, p.backlog(time.Now()) > 0, qt.IsTrue)
		for range 10 {
			p.write(small, make([]byte, 500), late)
		}
		qt.Assert(t, small.at[9], qt.Equals, 100*time.Millisecond)
		wg.Wait()
		end := big.at[len(big.at)-1]
		qt.Assert(t, end > 940*time.Millisecond && end < 1040*time.Millisecond, qt.IsTrue, qt.Commentf("900 kB at 0.91 of 1 MB/s took %v", end))
		qt.Assert(t, big.n, qt.Equals, 900_000)
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
		slow, quick := &stamped{t0: time.Now()}, &stamped{t0: time.Now()}
		done := make(chan bool)
		go func() {
			p.write(slow, make([]byte, 900_000), time.Now().Add(time.Hour))
			close(done)
		}()
		synctest.Wait()
		p.write(quick, make([]byte, 100_000), time.Now().Add(300*time.Millisecond))
		end := quick.at[len(quick.at)-1]
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
