package controlapi

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/coordination"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const place = "/-/configuration"

func version(n uint64) string { return routeconfig.FormatVersion(n) }

func whole(n, on uint64, host string) sending {
	on1 := version(on)
	if on == 0 {
		on1 = "0"
	}
	return sending{"PUT", place, on1, conf(version(n), host)}
}

func part(n, on uint64, host string) sending {
	return sending{"PATCH", place, version(on), `{"stamp":"` + version(n) + `","upserts":{"resourceList":[{"variant":"bindingList","metadata":{"name":"p` +
		fmt.Sprint(n%7) + `"},"specification":{"hostname":"` + host + `","pathPrefix":"/p` + fmt.Sprint(n%7) + `/","bindingKind":"pure","serviceName":"s"}}]}}`}
}

// day is n orders, each on the one before, by uneven steps, whole and in part.
func day(n int) []sending {
	var out []sending
	var on uint64
	for i := range n {
		v := on + 1 + uint64(i%3)
		if i%3 == 1 {
			out = append(out, part(v, on, fmt.Sprint("h", i)))
		} else {
			out = append(out, whole(v, on, fmt.Sprint("h", i)))
		}
		on = v
	}
	return out
}

func (w *room) all(os []sending, code int, when string) {
	w.t.Helper()
	for i, o := range os {
		c, b := w.sure(i, o)
		qt.Assert(w.t, c, qt.Equals, code, qt.Commentf("order %d %s: %s", i, when, b))
	}
}

func TestEachOrderOfALongDayIsKnownWhenItComesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := furnish(t, 1)
		os := day(1000)
		w.all(os, 200, "at first")
		w.all(os, 200, "at the day's end")
		size := 0
		for _, r := range w.ms[0].disk.read() {
			size += len(r)
		}
		qt.Assert(t, size < 400<<10, qt.IsTrue, qt.Commentf("%d bytes on disk", size))
		w.close()
		w = furnish(t, 1, w.ms[0].disk)
		defer w.close()
		w.all(os, 200, "after a restart")
		for _, o := range os[len(os)-20:] {
			o.body += " "
			c, b := w.sure(0, o)
			qt.Assert(t, c, qt.Equals, 412, qt.Commentf("another body: %s", b))
		}
	})
}

func TestOneOfTwoOrdersUnderOneNumberIsTakenWhateverBefalls(t *testing.T) {
	for name, f := range map[string]func(*room, *member){
		"nothing": func(*room, *member) {},
		"the owner is killed": func(w *room, m *member) {
			m.kill()
			w.owner()
			m.start(false)
		},
		"the owner is cut off": func(w *room, m *member) {
			w.cut(m.addr, true)
			w.owner()
			w.cut(m.addr, false)
		},
		"the owner loses its disk and the next one dies": func(w *room, m *member) {
			m.kill()
			m.disk = &shelf{}
			m.start(false)
			n := w.owner()
			time.Sleep(6 * time.Second)
			n.kill()
			w.owner()
			n.start(false)
		},
		"all restart": func(w *room, _ *member) {
			w.close()
			for _, m := range w.ms {
				m.start(false)
			}
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := furnish(t, 3)
			defer w.close()
			os := day(12)
			w.all(os, 200, "at first")
			on, _ := routeconfig.ParseVersion(w.inForce())
			for i, x := range []struct{ one, two sending }{
				{whole(on+5, on, "one"), whole(on+5, on, "two")},
				{part(on+9, on+5, "one"), part(on+9, on+5, "two")},
				{part(on+12, on+9, "one"), whole(on+12, on+9, "two")},
				{part(on+15, on+12, "same"), part(on+15, on+9, "same")},
			} {
				at := qt.Commentf("%s, pair %d", name, i)
				c, _ := w.sure(i, x.one)
				qt.Assert(t, c, qt.Equals, 200, at)
				f(w, w.owner())
				c, _ = w.sure(i+1, x.two)
				qt.Assert(t, c, qt.Equals, 412, at)
				c, _ = w.sure(i+2, x.one)
				qt.Assert(t, c, qt.Equals, 200, at)
			}
			for i := range w.ms {
				w.all(os, 200, fmt.Sprint(name, ", member ", i))
			}
		})
	}
}

func TestOneOrderSentManyTimesAtOnceGetsOneAnswer(t *testing.T) {
	for _, x := range []struct {
		stalled bool
		code    int
	}{{false, 200}, {true, 500}} {
		synctest.Test(t, func(t *testing.T) {
			w := furnish(t, 1)
			defer w.close()
			w.all(day(1), 200, "at first")
			if x.stalled {
				synctest.Wait()
				defer w.ms[0].disk.stall()()
			}
			var got, want [8]int
			var wg sync.WaitGroup
			for i := range got {
				want[i] = x.code
				wg.Go(func() { got[i], _ = w.once("m0", part(5, 1, "i")) })
			}
			wg.Wait()
			qt.Assert(t, got, qt.Equals, want)
		})
	}
}

func (w *room) inForce() string {
	_, b := w.sure(0, sending{method: "GET", path: place})
	d, err := routeconfig.Parse([]byte(b))
	qt.Assert(w.t, err, qt.IsNil)
	return version(d.Version)
}

func TestWhatWasFoundButIsNotSafeIsNoPromise(t *testing.T) {
	for name, x := range map[string]struct {
		before, it, other sending
	}{
		"put of the configuration": {whole(1, 0, "h"), whole(5, 1, "i"), whole(5, 1, "j")},
		"patch":                    {whole(1, 0, "h"), part(5, 1, "i"), part(5, 1, "j")},
		"put of a cell":            {sending{"PUT", "/-/cells/g.a", "", `{"payload":"u"}`}, sending{"PUT", "/-/cells/g.a", "", `{"payload":"v","topic":1}`}, sending{"PUT", "/-/cells/g.a", "", `{"payload":"w","topic":1}`}},
		"giving back": {sending{"POST", "/-/locks/l", "", `{"holderId":"a","holdS":60}`}, sending{"DELETE", "/-/locks/l", "", `{"holderId":"a","fenceNo":1}`},
			sending{"PUT", "/-/locks/l", "", `{"holderId":"a","fenceNo":1,"holdS":9}`}},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := furnish(t, 1)
			defer w.close()
			c, _ := w.sure(0, x.before)
			qt.Assert(t, c, qt.Equals, 200)
			synctest.Wait()
			flow := w.ms[0].disk.stall()
			for i := range 3 {
				c, _ = w.once("m0", x.it)
				qt.Check(t, c, qt.Equals, 500, qt.Commentf("%s, sending %d", name, i))
			}
			c, _ = w.once("m0", x.other)
			qt.Check(t, c, qt.Equals, 503, qt.Commentf("%s: nothing was done", name))
			flow()
			c, _ = w.sure(0, x.it)
			qt.Check(t, c, qt.Equals, 200, qt.Commentf("%s, once it is safe", name))
			c, _ = w.sure(0, x.other)
			qt.Check(t, c == 409 || c == 412, qt.IsTrue, qt.Commentf("%s: %d", name, c))
		})
	}
}

func TestLargeOrdersTakeTurnsAndAreTurnedAwayUnread(t *testing.T) {
	pad := func(o sending, n int) sending { o.body += strings.Repeat(" ", n); return o }
	synctest.Test(t, func(t *testing.T) {
		w := furnish(t, 1)
		defer w.close()
		d := w.ms[0].d
		w.all(day(1), 200, "at first")
		for _, x := range []struct {
			name   string
			heavy  bool
			bodies int64
			o      sending
			code   int
		}{
			{"large, while another is read", true, 0, pad(whole(5, 1, "a"), heavyBody), 503},
			{"small, while a large one is read", true, 0, whole(5, 1, "b"), 200},
			{"known, while a large one is read", true, 0, whole(5, 1, "b"), 200},
			{"late, while a large one is read", true, 0, pad(whole(7, 1, "c"), heavyBody), 412},
			{"with no room for bodies", false, mostBodies - 10, whole(9, 5, "d"), 503},
			{"too large", false, 0, pad(whole(9, 5, "e"), maxConfig), 413},
			{"large", false, 0, pad(whole(9, 5, "f"), heavyBody), 200},
			{"large, known", true, 0, pad(whole(9, 5, "f"), heavyBody), 200},
		} {
			if x.heavy {
				d.heavy <- struct{}{}
			}
			d.bodies.Add(x.bodies)
			c, _ := w.once("m0", x.o)
			qt.Check(t, c, qt.Equals, x.code, qt.Commentf("%s", x.name))
			d.bodies.Add(-x.bodies)
			if x.heavy {
				<-d.heavy
			}
			qt.Check(t, d.bodies.Load(), qt.Equals, int64(0), qt.Commentf("%s", x.name))
			qt.Check(t, len(d.heavy), qt.Equals, 0, qt.Commentf("%s", x.name))
		}
		qt.Assert(t, w.inForce(), qt.Equals, "r9")
	})
}

func TestBodyThatBreaksOffIsNoMalformedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := furnish(t, 1)
		defer w.close()
		w.all(day(1), 200, "at first")
		for _, s := range []sending{whole(5, 1, "h"), part(5, 1, "h"), {"PUT", "/-/cells/g.a", "", `{"payload":"v"}`}, {"POST", "/-/locks/l", "", `{"holderId":"a","holdS":3}`}} {
			r := httptest.NewRequest(s.method, s.path, io.MultiReader(strings.NewReader(s.body), iotest.ErrReader(io.ErrUnexpectedEOF)))
			r.Header.Set("If-Match", s.on)
			rec := httptest.NewRecorder()
			w.ms[0].d.ServeHTTP(rec, r)
			qt.Check(t, rec.Code, qt.Equals, 503, qt.Commentf("%s %s", s.method, s.path))
		}
		qt.Assert(t, w.inForce(), qt.Equals, "r1")
	})
}

// before is a disk as the release before wrote it, with what was taken inside
// the configuration.
func before(os []sending) *shelf {
	s := &shelf{}
	put := func(r *meshpb.Record) {
		b, _ := proto.Marshal(r)
		s.recs = append(s.recs, b)
	}
	put(&meshpb.Record{Identity: &meshpb.Identity{Id: "founder-m0"}})
	put(&meshpb.Record{Membership: &meshpb.Membership{Version: 1, Members: []*meshpb.Member{{Id: "founder-m0", Addr: "m0", Control: "m0"}}}})
	old := &meshpb.LegacyAcceptedChanges{}
	var doc routeconfig.Config
	for i, o := range os {
		if o.method == "PUT" {
			doc, _ = routeconfig.Parse([]byte(o.body))
		} else {
			p, _ := routeconfig.ParsePatch([]byte(o.body))
			doc, _ = doc.Apply(p)
		}
		old.Accepted = append(old.Accepted, &meshpb.AcceptedChange{Version: doc.Version, Digest: bareSum(o)})
		old.Accepted = old.Accepted[max(0, len(old.Accepted)-256):]
		a, _ := proto.Marshal(&meshpb.Config{Version: doc.Version, Packed: rpc.Pack(doc.Marshal())})
		b, _ := proto.Marshal(old)
		blob := &meshpb.Blob{Name: "configuration", Data: append(a, b...), Version: doc.Version}
		if i == len(os)-5 {
			put(&meshpb.Record{State: &meshpb.ShardState{Epoch: 1, Version: uint64(i), Blobs: []*meshpb.Blob{blob}}})
		} else if i > len(os)-5 {
			put(&meshpb.Record{Entry: &meshpb.Entry{Epoch: 1, Version: uint64(i), Change: &meshpb.Change{Blob: blob}}})
		}
	}
	return s
}

func TestOrdersTakenByTheReleaseBeforeAreKnown(t *testing.T) {
	for _, n := range []int{8, 300} {
		synctest.Test(t, func(t *testing.T) {
			os := day(n)
			disk := before(os)
			w := furnish(t, 1, disk)
			on, _ := routeconfig.ParseVersion(w.inForce())
			known := os[max(0, n-4-256):]
			w.all(known, 200, "after the upgrade")
			for _, o := range os[:n-len(known)] {
				c, _ := w.once("m0", o)
				qt.Assert(t, c, qt.Equals, 500, qt.Commentf("forgotten, so unclear: %s", o.body))
			}
			next := []sending{whole(on+1, on, "x"), part(on+4, on+1, "y"), whole(on+5, on+4, "z")}
			w.all(next, 200, "after the upgrade")
			w.close()
			w = furnish(t, 1, disk)
			defer w.close()
			w.all(append(next, known...), 200, "after a restart")
			c, _ := w.sure(0, whole(on+2, on, "late"))
			qt.Assert(t, c, qt.Equals, 412)
		})
	}
}

func TestConfigurationThatCannotBeReadIsNoRefusal(t *testing.T) {
	for _, data := range [][]byte{{0xff}, {18, 1, 0xff}} {
		synctest.Test(t, func(t *testing.T) {
			disk := before(day(8))
			b, _ := proto.Marshal(&meshpb.Record{Entry: &meshpb.Entry{Epoch: 1, Version: 8, Change: &meshpb.Change{Blob: &meshpb.Blob{Name: "configuration", Data: data, Version: 20}}}})
			disk.recs = append(disk.recs, b)
			w := furnish(t, 1, disk)
			defer w.close()
			w.owner()
			for i, x := range []struct {
				s    sending
				code int
			}{
				{sending{method: "GET", path: place}, 500},
				{part(21, 20, "h"), 500},
				{day(8)[7], 200},
				{whole(21, 19, "h"), 412},
				{whole(22, 20, "h"), 200},
				{part(23, 22, "h"), 200},
			} {
				c, _ := w.once("m0", x.s)
				qt.Check(t, c, qt.Equals, x.code, qt.Commentf("call %d", i))
			}
		})
	}
}

func bareSum(o sending) []byte {
	s := newOrder(o.method, 0, []byte(o.body)).bare
	return append(s[:coordination.DigestSize:coordination.DigestSize], make([]byte, 16)...)
}
