package proxy

import (
	"bytes"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// timedWriter records the time of each write since started, and counts the bytes.
type timedWriter struct {
	mu      sync.Mutex
	writes  []time.Duration
	started time.Time
	bytes   int
}

func (w *timedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes += len(b)
	w.writes = append(w.writes, time.Since(w.started))
	return len(b), nil
}

func TestPacerLimitsLargeBodiesToLinkRateWithoutDelayingSmallOnes(t *testing.T) {
	inVirtualTime(t, "small bodies beside large ones", func(t *testing.T) {
		p, deadline := NewPacer(8), time.Now().Add(time.Hour)
		large, small := &timedWriter{started: time.Now()}, &timedWriter{started: time.Now()}
		var wg sync.WaitGroup
		for range 4 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				qt.Check(t, p.write(large, make([]byte, 225_000), deadline), qt.IsNil)
			}()
		}
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, p.backlog(time.Now()) > 0, qt.IsTrue)
		for range 10 {
			qt.Check(t, p.write(small, make([]byte, 500), deadline), qt.IsNil)
		}
		qt.Assert(t, small.writes[9], qt.Equals, 100*time.Millisecond)
		wg.Wait()
		end := large.writes[len(large.writes)-1]
		qt.Assert(t, end > 940*time.Millisecond && end < 1040*time.Millisecond, qt.IsTrue, qt.Commentf("900 kB at 0.91 of 1 MB/s took %v", end))
		qt.Assert(t, large.bytes, qt.Equals, 900_000)
	})
	inVirtualTime(t, "shorter bodies first, one stalled", func(t *testing.T) {
		p, deadline := NewPacer(8), time.Now().Add(time.Hour)
		releaseFirst := p.acquire(100_000, deadline)
		var mu sync.Mutex
		var order []int
		var wg sync.WaitGroup
		const stalled = 60_000
		for _, size := range []int{300_000, stalled, 90_000} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				release := p.acquire(size, deadline)
				mu.Lock()
				order = append(order, size)
				mu.Unlock()
				if size != stalled {
					release()
				}
			}()
			synctest.Wait()
		}
		releaseFirst()
		wg.Wait()
		qt.Assert(t, order, qt.DeepEquals, []int{stalled, 90_000, 300_000}, qt.Commentf("a body whose receiver does not read must not block the others"))
		qt.Assert(t, p.backlog(time.Now()) >= 0 && p.pendingLargeBytes == 0, qt.IsTrue)
	})
	inVirtualTime(t, "deadline while waiting", func(t *testing.T) {
		p := NewPacer(8)
		holding, waiting := &timedWriter{started: time.Now()}, &timedWriter{started: time.Now()}
		done := make(chan bool)
		go func() {
			qt.Check(t, p.write(holding, make([]byte, 900_000), time.Now().Add(time.Hour)), qt.IsNil)
			close(done)
		}()
		synctest.Wait()
		qt.Check(t, p.write(waiting, make([]byte, 100_000), time.Now().Add(300*time.Millisecond)), qt.IsNil)
		end := waiting.writes[len(waiting.writes)-1]
		qt.Assert(t, end, qt.Equals, 300*time.Millisecond, qt.Commentf("a body does not wait for the link beyond its deadline"))
		<-done
		qt.Assert(t, p.pendingLargeBytes == 0 && !p.busy, qt.IsTrue)
	})
	var nilPacer *Pacer
	var b bytes.Buffer
	qt.Assert(t, nilPacer.write(&b, make([]byte, 50_000), time.Time{}), qt.IsNil)
	qt.Assert(t, b.Len(), qt.Equals, 50_000)
	qt.Assert(t, NewPacer(0) == nil, qt.IsTrue)
}
