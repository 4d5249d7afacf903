// Package directory reads the platform's list of endpoints, page by page.
package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/go-faster/jx"
	"github.com/zeebo/errs"

	"corkcove/internal/logring"
	"corkcove/internal/rpc/meshpb"
)

var Error = errs.Class("directory")

const (
	StateReady    = "ready"
	StateDraining = "draining"

	mostPages = 400
	mostPage  = 4 << 20
)

type Options struct {
	Address           string
	RequestsPerSecond float64
	HTTPClient        *http.Client
	Log               logring.Logger
}

type Client struct {
	o    Options
	gap  time.Duration
	next time.Time
	now  func() time.Time
	wait func(context.Context, time.Duration) error
}

// New makes a reader that asks at half the rate that the platform grants to
// all nodes together, so that an old master and a new one stay under it.
func New(o Options) *Client {
	r := &Client{o: o, now: time.Now, wait: pause}
	if o.RequestsPerSecond > 0 {
		r.gap = time.Duration(2 / o.RequestsPerSecond * float64(time.Second))
	}
	return r
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Busy is an answer that asks the caller to come later.
type StatusError struct{ Code int }

func (b StatusError) Error() string {
	return fmt.Sprintf("directory: the platform answered %d", b.Code)
}

type query struct {
	PageToken string `url:"pageToken,omitempty"`
}

// Read gives the whole list, or an error if any page is missing or broken.
func (r *Client) List(ctx context.Context, may func() bool) ([]*meshpb.Endpoint, error) {
	var out []*meshpb.Endpoint
	seen, tokens := map[string]bool{}, map[string]bool{}
	token := ""
	for n := 0; n < mostPages; n++ {
		if d := r.next.Sub(r.now()); d > 0 {
			if err := r.wait(ctx, d); err != nil {
				return nil, Error.Wrap(err)
			}
		}
		if !may() {
			return nil, Error.New("no longer this node's duty")
		}
		r.next = r.now().Add(r.gap)
		p, err := r.page(ctx, token)
		if err != nil {
			return nil, err
		}
		for _, e := range p.rows {
			if seen[e.Id] {
				r.o.Log.Warn("platform lists an endpoint twice", "endpoint", e.Id)
				continue
			}
			seen[e.Id] = true
			out = append(out, e)
		}
		if p.next == "" {
			return out, nil
		}
		if tokens[p.next] {
			return nil, Error.New("page %q comes twice", p.next)
		}
		tokens[p.next] = true
		token = p.next
	}
	return nil, Error.New("more than %d pages", mostPages)
}

func (r *Client) page(ctx context.Context, token string) (page, error) {
	q, err := sling.New().Base("http://" + r.o.Address).Get("/endpoints").QueryStruct(query{token}).Request()
	if err != nil {
		return page{}, Error.Wrap(err)
	}
	p, err := r.o.HTTPClient.Do(q.WithContext(ctx))
	if err != nil {
		return page{}, Error.Wrap(err)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, mostPage))
	if err != nil {
		return page{}, Error.Wrap(err)
	}
	if p.StatusCode != http.StatusOK {
		return page{}, StatusError{p.StatusCode}
	}
	return parse(b, r.o.Log)
}

type page struct {
	rows []*meshpb.Endpoint
	next string
}

// parse skips rows that name no usable endpoint, and refuses a page that can't
// be read whole.
func parse(b []byte, log logring.Logger) (page, error) {
	if !jx.Valid(b) {
		return page{}, Error.New("a page is no whole JSON document")
	}
	var out page
	var cols []string
	var rows []jx.Raw
	list, next := false, false
	err := jx.DecodeBytes(b).Obj(func(d *jx.Decoder, k string) error {
		switch k {
		case "nextToken":
			next = true
			if d.Next() == jx.Null {
				return d.Null()
			}
			s, err := d.Str()
			out.next = s
			return err
		case "instanceList":
			list = true
			return d.Obj(func(d *jx.Decoder, k string) error {
				switch k {
				case "columnNames":
					return d.Arr(func(d *jx.Decoder) error {
						s, err := d.Str()
						cols = append(cols, s)
						return err
					})
				case "rowList":
					return d.Arr(func(d *jx.Decoder) error {
						r, err := d.Raw()
						rows = append(rows, append(jx.Raw(nil), r...))
						return err
					})
				}
				return d.Skip()
			})
		}
		return d.Skip()
	})
	if err != nil {
		return page{}, Error.Wrap(err)
	}
	if !list || !next {
		return page{}, Error.New("a page lacks instanceList or nextToken")
	}
	for _, raw := range rows {
		e, err := row(cols, raw)
		if err != nil {
			log.Warn("skipped a row of the platform's endpoint list", "error", err)
			continue
		}
		out.rows = append(out.rows, e)
	}
	return out, nil
}

func row(cols []string, raw jx.Raw) (*meshpb.Endpoint, error) {
	e := &meshpb.Endpoint{Healthy: true}
	i := 0
	state := ""
	if err := jx.DecodeBytes(raw).Arr(func(d *jx.Decoder) error {
		k := ""
		if i < len(cols) {
			k = cols[i]
		}
		i++
		if d.Next() == jx.Null {
			return d.Null()
		}
		text := func(to *string) error {
			s, err := d.Str()
			*to = s
			return err
		}
		switch k {
		case "id":
			return text(&e.Id)
		case "serviceName":
			return text(&e.Service)
		case "address":
			return text(&e.Addr)
		case "siteName":
			return text(&e.Zone)
		case "stamp":
			return text(&e.SoftwareVersion)
		case "state":
			return text(&state)
		case "slotCount":
			f, err := d.Float64()
			if err == nil && (f < 1 || f > 1<<20) {
				return fmt.Errorf("slotCount %v is out of range", f)
			}
			e.Slots = uint32(f)
			return err
		case "coldLeftS":
			f, err := d.Float64()
			if err == nil && (f < 0 || f > 1e6) {
				return fmt.Errorf("coldLeftS %v is out of range", f)
			}
			e.WarmupMs = uint64(f * 1000)
			return err
		}
		return d.Skip()
	}); err != nil {
		return nil, err
	}
	switch {
	case e.Id == "" || e.Service == "" || e.Addr == "":
		return nil, fmt.Errorf("id, serviceName or address is missing in %q", e.Id)
	case e.Slots < 1:
		return nil, fmt.Errorf("%s: slotCount is missing", e.Id)
	case state == StateReady:
		e.State = "up"
	case state == StateDraining:
		e.State = "draining"
	default:
		return nil, fmt.Errorf("%s: state %q is neither ready nor draining", e.Id, state)
	}
	return e, nil
}
