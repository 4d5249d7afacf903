package controlapi

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/coordination"
	"corkcove/internal/mailbox"
	"corkcove/internal/replication"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const (
	ConfigBlob = coordination.ConfigBlob
	// An order takes about ten times its size while it is read and checked: one
	// above heavyBody goes alone, and bodies under way have mostBodies in all.
	maxConfig  = 16 << 20
	heavyBody  = 512 << 10
	mostBodies = 48 << 20
	bodyWait   = 10 * time.Second
	mostSteps  = 192 << 10
	watchMost  = time.Minute
)

type CoreServer struct {
	Mux
	Coordination  *coordination.Service
	RetryTimeout  time.Duration
	RetryInterval time.Duration
	// Near reaches the other members; without it callers are redirected.
	PeerTransport    http.RoundTripper
	OnConfigAccepted func(version uint64)

	mu     sync.Mutex
	last   routeconfig.Config
	bodies atomic.Int64
	heavy  chan struct{}
}

type lockReq struct {
	HolderID string   `json:"holderId"`
	HoldS    *float64 `json:"holdS"`
	FenceNo  uint64   `json:"fenceNo"`
}

type lockResp struct {
	FenceNo uint64 `json:"fenceNo"`
}

type none struct{}

type numberResp struct {
	Payload uint64 `json:"payload"`
}

type cellReq struct {
	Payload *string `json:"payload"`
	Topic   *uint64 `json:"topic"`
}

type cellResp struct {
	Revision uint64 `json:"revision"`
}

type readResp struct {
	Payload  string `json:"payload"`
	Revision uint64 `json:"revision"`
}

type event struct {
	Name     string `json:"name"`
	Payload  string `json:"payload"`
	Revision uint64 `json:"revision"`
}

type watchResp struct {
	EventList []event `json:"eventList"`
	Revision  uint64  `json:"revision"`
}

func NewCoreServer(s *coordination.Service, patient time.Duration) *CoreServer {
	c := &CoreServer{Coordination: s, RetryTimeout: patient, RetryInterval: 20 * time.Millisecond, heavy: make(chan struct{}, 1)}
	c.add("POST /-/locks/{}", handle(c, c.take))
	c.add("PUT /-/locks/{}", handle(c, c.renew))
	c.add("DELETE /-/locks/{}", handle(c, c.drop))
	c.add("POST /-/numbers/{}", handle(c, c.number))
	c.add("PUT /-/cells/{}", handle(c, c.put))
	c.add("GET /-/cells/{}", handle(c, c.get))
	c.add("GET /-/watch/{}", handle(c, c.watch))
	c.add("GET /-/configuration", handle(c, c.config))
	c.add("PUT /-/configuration", c.putConfig)
	c.add("PATCH /-/configuration", c.patchConfig)
	return c
}

// at runs f until the shard's owner has answered, here or by redirect, for as
// long as nothing was done.
func at[R any](d *CoreServer, c call, shard int, f func(context.Context) (R, error)) (R, verdict, bool) {
	ctx := c.r.Context()
	end := time.Now().Add(d.RetryTimeout)
	for {
		r, err := f(ctx)
		switch {
		case err == nil:
			return r, verdict{}, true
		case errors.Is(err, replication.ErrNotOwner):
			type who struct {
				m  *meshpb.Member
				ok bool
			}
			o, _ := mailbox.Call(d.Coordination.Loop, func() who {
				m, ok := d.Coordination.Replica.Owner(shard)
				if ok && m.Id == d.Coordination.Replica.Self().Id {
					return who{}
				}
				return who{m, ok}
			})
			if o.ok && o.m.Control != "" {
				return r, verdict{out: elsewhere, to: "http://" + o.m.Control + c.r.RequestURI}, false
			}
		case errors.Is(err, replication.ErrUnavailable):
		default:
			return r, verdict{out: unsure}, false
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return r, verdict{out: busy}, false
		}
		t := time.NewTimer(d.RetryInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

func hold(f *float64) (time.Duration, bool) {
	if f == nil || !(*f > 0) || *f > 86400 {
		return 0, false
	}
	return time.Duration(math.Ceil(*f*1000)) * time.Millisecond, true
}

func granted(g coordination.LockGrant, v verdict, done bool) verdict {
	if !done {
		return v
	}
	if g.Outcome == coordination.Held || g.Outcome == coordination.Lost {
		return verdict{out: held}
	}
	return verdict{body: lockResp{g.FencingToken}}
}

func (d *CoreServer) take(c call, q lockReq) verdict {
	h, good := hold(q.HoldS)
	if !good || q.HolderID == "" {
		return verdict{out: malformed, why: "holderId and a holdS above 0 are wanted"}
	}
	return granted(at(d, c, d.Coordination.ShardOf(c.id), func(x context.Context) (coordination.LockGrant, error) {
		return d.Coordination.AcquireLock(x, c.id, q.HolderID, h)
	}))
}

func (d *CoreServer) renew(c call, q lockReq) verdict {
	h, good := hold(q.HoldS)
	if !good || q.HolderID == "" {
		return verdict{out: malformed, why: "holderId, fenceNo and a holdS above 0 are wanted"}
	}
	return granted(at(d, c, d.Coordination.ShardOf(c.id), func(x context.Context) (coordination.LockGrant, error) {
		return d.Coordination.RenewLock(x, c.id, q.HolderID, q.FenceNo, h)
	}))
}

func (d *CoreServer) drop(c call, q lockReq) verdict {
	_, v, done := at(d, c, d.Coordination.ShardOf(c.id), func(x context.Context) (coordination.LockGrant, error) {
		return d.Coordination.ReleaseLock(x, c.id, q.HolderID, q.FenceNo)
	})
	if !done {
		return v
	}
	return verdict{body: none{}}
}

func (d *CoreServer) number(c call, _ none) verdict {
	n, v, done := at(d, c, d.Coordination.ShardOf(c.id), func(x context.Context) (uint64, error) { return d.Coordination.NextNumber(x, c.id) })
	if !done {
		return v
	}
	return verdict{body: numberResp{n}}
}

func (d *CoreServer) put(c call, q cellReq) verdict {
	if q.Payload == nil {
		return verdict{out: malformed, why: "payload is wanted"}
	}
	r, v, done := at(d, c, d.Coordination.ShardOf(coordination.GroupName(c.id)), func(x context.Context) (coordination.Cell, error) {
		return d.Coordination.Put(x, c.id, *q.Payload, q.Topic)
	})
	if !done {
		return v
	}
	if r.Outcome == coordination.Moved {
		return verdict{out: moved, body: cellResp{r.Revision}}
	}
	return verdict{body: cellResp{r.Revision}}
}

func (d *CoreServer) get(c call, _ none) verdict {
	r, v, done := at(d, c, d.Coordination.ShardOf(coordination.GroupName(c.id)), func(x context.Context) (coordination.Cell, error) { return d.Coordination.Get(x, c.id) })
	if !done {
		return v
	}
	if r.Outcome == coordination.Absent {
		return verdict{out: absent}
	}
	return verdict{body: readResp{r.Payload, r.Revision}}
}

func (d *CoreServer) watch(c call, _ none) verdict {
	q := c.r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil && q.Get("after") != "" {
		return verdict{out: malformed, why: "after is no revision"}
	}
	ms := uint64(0)
	if s := q.Get("waitMs"); s != "" {
		if ms, err = strconv.ParseUint(s, 10, 32); err != nil {
			return verdict{out: malformed, why: "waitMs is no number of milliseconds"}
		}
	}
	wait := min(time.Duration(ms)*time.Millisecond, watchMost)
	e, v, done := at(d, c, d.Coordination.ShardOf(c.id), func(x context.Context) (coordination.EventList, error) {
		return d.Coordination.Watch(x, c.id, after, wait)
	})
	if !done {
		return v
	}
	if e.Outcome == coordination.Gone {
		return verdict{out: gone}
	}
	r := watchResp{EventList: []event{}, Revision: max(e.Revision, after)}
	for _, p := range e.Events {
		r.EventList = append(r.EventList, event{p.Name, p.Payload, p.Revision})
	}
	return verdict{body: r}
}

// Configuration

// ReadConfig gives an empty configuration where there is none that can be read.
func StoredConfig(t replication.StateMachine) *meshpb.Config {
	c, err := decode(t.Blob(ConfigBlob))
	if err != nil {
		return &meshpb.Config{}
	}
	return c
}

func decode(b *meshpb.Blob) (*meshpb.Config, error) {
	c := &meshpb.Config{}
	if err := proto.Unmarshal(b.GetData(), c); err != nil {
		return nil, Error.Wrap(err)
	}
	return c, nil
}

func (d *CoreServer) config(c call, _ none) verdict {
	b, v, done := at(d, c, 0, func(ctx context.Context) (*meshpb.Blob, error) {
		return coordination.Transact(ctx, d.Coordination, 0, func(t *coordination.Table, _ time.Duration) (*meshpb.Change, *meshpb.Blob) {
			return nil, t.Blob(ConfigBlob)
		})
	})
	if !done {
		return v
	}
	if b == nil {
		return verdict{out: absent, why: "no configuration yet"}
	}
	x, err := decode(b)
	if err != nil {
		return verdict{out: unsure}
	}
	doc, err := rpc.Unpack(x.Packed)
	if err != nil {
		return verdict{out: unsure}
	}
	return verdict{body: doc}
}

// doc reads a kept configuration, or takes the one read last if it is the same.
func (d *CoreServer) doc(c *meshpb.Config) (routeconfig.Config, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last.Version == c.Version {
		return d.last, nil
	}
	b, err := rpc.Unpack(c.Packed)
	if err != nil {
		return routeconfig.Config{}, err
	}
	x, err := routeconfig.Parse(b)
	if err == nil {
		d.last = x
	}
	return x, err
}

// order is one change that an operator wants. It is the same order if its
// method, base, version and body are; an earlier release left out the base.
type order struct {
	on        uint64
	sum, bare []byte
}

func newOrder(method string, on uint64, b []byte) order {
	h := sha256.New()
	io.WriteString(h, method+" "+routeconfig.FormatVersion(on)+" ")
	h.Write(b)
	g := sha256.New()
	io.WriteString(g, method+" ")
	g.Write(b)
	return order{on, h.Sum(nil)[:coordination.DigestSize], g.Sum(nil)[:coordination.DigestSize]}
}

func (o order) standing(t *coordination.Table) standing {
	return standing{t.Blob(ConfigBlob), t.HasAccepted(o.sum) || t.HasAccepted(o.bare), t.AcceptedFloor()}
}

// look reads, in one step, whether the order was taken and what is in force.
func (d *CoreServer) look(ctx context.Context, o order) (standing, error) {
	return coordination.TransactRepeatable(ctx, d.Coordination, 0, func(t *coordination.Table, _ time.Duration) (*meshpb.Change, standing, bool) {
		s := o.standing(t)
		return nil, s, s.taken
	})
}

// decide takes the order if what it was checked against is still in force.
func (d *CoreServer) decide(ctx context.Context, o order, next *meshpb.Blob) (standing, error) {
	return coordination.TransactRepeatable(ctx, d.Coordination, 0, func(t *coordination.Table, _ time.Duration) (*meshpb.Change, standing, bool) {
		s := o.standing(t)
		if s.taken || s.cur.GetVersion() != o.on {
			return nil, s, s.taken
		}
		return &meshpb.Change{Blob: next, Accepted: &meshpb.AcceptedChange{Version: next.Version, Digest: o.sum}}, standing{cur: next, taken: true}, false
	})
}

// standing is how an order stands against the configuration in force.
type standing struct {
	cur       *meshpb.Blob
	taken     bool
	forgotten uint64
}

func (s standing) verdict() verdict {
	if s.taken {
		return verdict{body: none{}}
	}
	return verdict{out: moved, why: "the configuration in force is " + routeconfig.FormatVersion(s.cur.GetVersion())}
}

var errKept = Error.New("the configuration in force can't be read")

func (d *CoreServer) putConfig(w http.ResponseWriter, c call) {
	d.change(w, c, func(b []byte) (uint64, func(*meshpb.Config) (routeconfig.Config, error), error) {
		doc, err := routeconfig.Parse(b)
		return doc.Version, func(*meshpb.Config) (routeconfig.Config, error) { return doc, nil }, err
	})
}

func (d *CoreServer) patchConfig(w http.ResponseWriter, c call) {
	d.change(w, c, func(b []byte) (uint64, func(*meshpb.Config) (routeconfig.Config, error), error) {
		p, err := routeconfig.ParsePatch(b)
		return p.Version, func(cur *meshpb.Config) (routeconfig.Config, error) {
			if cur.Version == 0 {
				return routeconfig.Config{}, routeconfig.Error.New("there is no configuration to change")
			}
			old, err := d.doc(cur)
			if err != nil {
				return routeconfig.Config{}, errKept
			}
			return old.Apply(p)
		}, err
	})
}

// keepSteps bounds the patches kept beside a configuration, by which any master
// brings nodes on from the ones before.
func keepSteps(st []*meshpb.ConfigPatch) []*meshpb.ConfigPatch {
	size := 0
	for i := len(st) - 1; i >= 0; i-- {
		if size += len(st[i].Patch); size > mostSteps || len(st)-i > 24 {
			return append([]*meshpb.ConfigPatch(nil), st[i+1:]...)
		}
	}
	return st
}

// admit counts a body among those under way; without a length it may be large.
func (d *CoreServer) admit(r *http.Request) (fin func(), room bool) {
	n := r.ContentLength
	if n < 0 || n > maxConfig {
		n = maxConfig
	}
	fin = func() { d.bodies.Add(-n) }
	if d.bodies.Add(n) > mostBodies {
		fin()
		return nil, false
	}
	return fin, true
}

// alone waits until no other heavy order is being read, for as long as nothing
// was done.
func (d *CoreServer) alone(ctx context.Context, size int) (fin func(), ok bool) {
	if size <= heavyBody {
		return func() {}, true
	}
	ctx, stop := context.WithTimeout(ctx, d.RetryTimeout)
	defer stop()
	select {
	case d.heavy <- struct{}{}:
		return func() { <-d.heavy }, true
	case <-ctx.Done():
		return nil, false
	}
}

func (d *CoreServer) change(w http.ResponseWriter, c call, read func([]byte) (uint64, func(*meshpb.Config) (routeconfig.Config, error), error)) {
	fin, room := d.admit(c.r)
	if !room {
		write(w, verdict{out: busy})
		return
	}
	defer fin()
	ctl := http.NewResponseController(w)
	ctl.SetReadDeadline(time.Now().Add(bodyWait))
	b, err := body(w, c.r, maxConfig)
	if err != nil {
		write(w, verdict{out: unread(err)})
		return
	}
	ctl.SetReadDeadline(time.Time{})
	on, err := routeconfig.ParseVersion(c.r.Header.Get("If-Match"))
	if err != nil {
		write(w, verdict{out: malformed, why: "If-Match: " + err.Error()})
		return
	}
	o := newOrder(c.r.Method, on, b)
	s, v, done := at(d, c, 0, func(ctx context.Context) (standing, error) { return d.look(ctx, o) })
	if !done {
		write(w, v)
		return
	}
	if s.taken {
		write(w, s.verdict())
		return
	}
	if s.forgotten == 0 && s.cur.GetVersion() != on {
		write(w, s.verdict())
		return
	}
	fin, alone := d.alone(c.r.Context(), len(b))
	if !alone {
		write(w, verdict{out: busy})
		return
	}
	defer fin()
	version, make, err := read(b)
	if err != nil {
		write(w, verdict{out: unprocessable, why: err.Error()})
		return
	}
	if version <= s.forgotten {
		write(w, verdict{out: unsure})
		return
	}
	if s.cur.GetVersion() != on {
		write(w, s.verdict())
		return
	}
	if version <= on {
		write(w, verdict{out: unprocessable, why: "stamp " + routeconfig.FormatVersion(version) + " is not above " + routeconfig.FormatVersion(on)})
		return
	}
	cur, err := decode(s.cur)
	if err != nil {
		cur = &meshpb.Config{}
	}
	cur.Version = on
	doc, err := make(cur)
	if errors.Is(err, errKept) {
		write(w, verdict{out: unsure})
		return
	}
	if err != nil {
		write(w, verdict{out: unprocessable, why: err.Error()})
		return
	}
	data, err := d.following(cur, doc)
	if err != nil {
		write(w, verdict{out: unsure})
		return
	}
	next := &meshpb.Blob{Name: ConfigBlob, Data: data, Version: version}
	s, v, done = at(d, c, 0, func(ctx context.Context) (standing, error) { return d.decide(ctx, o, next) })
	if !done {
		write(w, v)
		return
	}
	if s.taken {
		d.mu.Lock()
		d.last = doc
		d.mu.Unlock()
		if d.OnConfigAccepted != nil {
			d.OnConfigAccepted(version)
		}
	}
	write(w, s.verdict())
}

// following is doc as it is kept, with the steps that lead to it.
func (d *CoreServer) following(cur *meshpb.Config, doc routeconfig.Config) ([]byte, error) {
	next := &meshpb.Config{Version: doc.Version, Packed: rpc.Pack(doc.Marshal())}
	if cur.Version > 0 {
		if old, err := d.doc(cur); err == nil {
			next.Patches = keepSteps(append(cur.Patches, &meshpb.ConfigPatch{BaseVersion: cur.Version, Version: doc.Version, Patch: rpc.Pack(doc.PatchFrom(old))}))
		}
	}
	return proto.Marshal(next)
}
