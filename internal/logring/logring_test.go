package logring

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"
)

// captureKlog redirects the output of klog to the returned buffer until the test
// ends.
func captureKlog(t *testing.T) *bytes.Buffer {
	t.Helper()
	t.Cleanup(klog.CaptureState().Restore)
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	qt.Assert(t, flags.Set("logtostderr", "false"), qt.IsNil)
	qt.Assert(t, flags.Set("skip_headers", "true"), qt.IsNil)
	// By default klog writes a warning to the info log as well.
	qt.Assert(t, flags.Set("one_output", "true"), qt.IsNil)
	out := &bytes.Buffer{}
	klog.SetOutput(out)
	t.Cleanup(func() { klog.SetOutput(io.Discard) })
	return out
}

func messages(r *Ring) (out []string) {
	for _, e := range r.Entries() {
		out = append(out, e.Message)
	}
	return out
}

func TestRingKeepsTheLastEntries(t *testing.T) {
	r := New(3, time.Second, nil)
	qt.Assert(t, r.Entries(), qt.HasLen, 0)
	for i := range 5 {
		r.Logger("c").Info(fmt.Sprint("m", i))
		qt.Assert(t, len(r.Entries()), qt.Equals, min(i+1, 3))
	}
	qt.Assert(t, messages(r), qt.DeepEquals, []string{"m2", "m3", "m4"})
}

func TestEntryHasLevelComponentAndPairs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(2, time.Second, nil)
		r.Logger("replication").Warn("failed to renew lease", "shard", 3, "epoch", uint64(7))
		qt.Assert(t, r.Entries(), qt.DeepEquals, []Entry{{Time: time.Now(), Level: Warning, Component: "replication",
			Message: "failed to renew lease", KeysAndValues: []any{"shard", 3, "epoch", uint64(7)}}})
	})
}

func TestReusedSlotKeepsNothingOfThePreviousEntry(t *testing.T) {
	r := New(1, time.Second, nil)
	r.Logger("c").Warn("first", "a", 1, "b", 2)
	kept := r.Entries()
	r.Logger("d").Info("second", "c", 3)
	qt.Assert(t, r.Entries()[0].String(), qt.Equals, "d: second c=3")
	qt.Assert(t, kept[0].String(), qt.Equals, "warning c: first a=1 b=2")
}

func TestCallersSliceMayChangeAfterTheCall(t *testing.T) {
	r := New(1, time.Second, nil)
	pairs := []any{"shard", 1}
	r.Logger("c").Info("m", pairs...)
	pairs[1] = 2
	qt.Assert(t, r.Entries()[0].String(), qt.Equals, "c: m shard=1")
}

func TestEntryFormat(t *testing.T) {
	for _, c := range []struct {
		pairs []any
		want  string
	}{
		{nil, "c: m"},
		{[]any{"shard", 3, "epoch", uint64(9), "healthy", true}, "c: m shard=3 epoch=9 healthy=true"},
		{[]any{"duration", 1500 * time.Millisecond}, "c: m duration=1.5s"},
		{[]any{"error", errors.New("no route")}, `c: m error="no route"`},
		{[]any{"endpoint", ""}, `c: m endpoint=""`},
		{[]any{"reason", `a="b"`}, `c: m reason="a=\"b\""`},
		{[]any{"reason", "a\nb"}, `c: m reason="a\nb"`},
		{[]any{"key", Hex(0xab)}, "c: m key=00000000000000ab"},
		{[]any{"error", nil}, "c: m error=<nil>"},
		{[]any{"shard", 3, "epoch"}, "c: m shard=3 epoch=(missing)"},
	} {
		qt.Assert(t, Entry{Component: "c", Message: "m", KeysAndValues: c.pairs}.String(), qt.Equals, c.want)
	}
}

func TestZeroLoggerDiscards(t *testing.T) {
	Logger{}.Info("m", "shard", 1)
	Logger{}.Warn("m", "shard", 1)
}

func TestFlushWritesTheEntriesOnceAndEmptiesTheRing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := captureKlog(t)
		r := New(2, 5*time.Second, nil)
		log := r.Logger("core")
		log.Info("overwritten")
		at := time.Now().Format(timeLayout)
		log.Info("started core node", "member", "id1")
		log.Warn("failed to write log", "error", errors.New("disk full"))
		r.Flush("corkcove core ends")
		klog.Flush()
		qt.Assert(t, out.String(), qt.Equals, "corkcove core ends\n  "+at+" core: started core node member=id1\n  "+
			at+" warning core: failed to write log error=\"disk full\"\n")
		qt.Assert(t, r.Entries(), qt.HasLen, 0)
	})
}

func TestFlushIsLimitedToOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := captureKlog(t)
		flushed := func(r *Ring, reason string) bool {
			out.Reset()
			r.Flush(reason)
			klog.Flush()
			return strings.HasPrefix(out.String(), reason)
		}
		r := New(4, 5*time.Second, nil)
		r.Logger("c").Info("a")
		qt.Assert(t, flushed(r, "first"), qt.IsTrue)
		r.Logger("c").Info("b")
		time.Sleep(5*time.Second - time.Millisecond)
		qt.Assert(t, flushed(r, "second"), qt.IsFalse)
		qt.Assert(t, messages(r), qt.DeepEquals, []string{"b"})
		time.Sleep(time.Millisecond)
		qt.Assert(t, flushed(r, "third"), qt.IsTrue)
		qt.Assert(t, strings.Contains(out.String(), "c: b"), qt.IsTrue)
	})
}

func TestObserverIsCalledAsEachEntryIsLogged(t *testing.T) {
	var seen []string
	r := New(1, time.Second, func(e Entry) { seen = append(seen, e.String()) })
	r.Logger("c").Info("first", "shard", 1)
	r.Logger("c").Warn("second")
	qt.Assert(t, seen, qt.DeepEquals, []string{"c: first shard=1", "warning c: second"})
}

func TestWriteNowWritesEachEntryToKlog(t *testing.T) {
	out := captureKlog(t)
	New(1, time.Second, WriteNow).Logger("c").Info("first", "shard", 1)
	klog.Flush()
	qt.Assert(t, out.String(), qt.Equals, "c: first shard=1\n")
}

func TestRingIsSafeForConcurrentUse(t *testing.T) {
	r := New(16, time.Hour, nil)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 100 {
				r.Logger("c").Info("m", "i", i)
				_ = r.Entries()
			}
		})
	}
	wg.Wait()
	qt.Assert(t, r.Entries(), qt.HasLen, 16)
}

func TestBufferKeepsTheLastItems(t *testing.T) {
	b := NewRingBuffer[int](3)
	for i := range 5 {
		b.Put(i)
	}
	qt.Assert(t, b.All(), qt.DeepEquals, []int{2, 3, 4})
}
