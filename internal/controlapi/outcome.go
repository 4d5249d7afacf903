// Package desk is the HTTP interface for the operator and for applications.
package controlapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/zeebo/errs"
)

var Error = errs.Class("desk")

type outcome int

const (
	ok outcome = iota
	malformed
	absent
	held
	moved
	gone
	busy
	unsure
	elsewhere
	tooLarge
	unprocessable
	noMethod
)

type row struct {
	code  int
	retry string
	text  string
}

// A 503 promises that nothing was done; where that is not certain it is 500.
var outcomes = map[outcome]row{
	ok:            {code: http.StatusOK},
	malformed:     {code: http.StatusBadRequest, text: "malformed"},
	absent:        {code: http.StatusNotFound, text: "absent"},
	held:          {code: http.StatusConflict, text: "held by another"},
	moved:         {code: http.StatusPreconditionFailed},
	gone:          {code: http.StatusGone, text: "history is gone"},
	busy:          {code: http.StatusServiceUnavailable, retry: "0.2", text: "no owner can serve now; nothing was done"},
	unsure:        {code: http.StatusInternalServerError, text: "it may or may not have been done"},
	elsewhere:     {code: http.StatusTemporaryRedirect},
	tooLarge:      {code: http.StatusRequestEntityTooLarge, text: "too large"},
	unprocessable: {code: http.StatusBadRequest, text: "invalid"},
	noMethod:      {code: http.StatusMethodNotAllowed, text: "no such call"},
}

type failure struct {
	Error string `json:"error"`
}

type verdict struct {
	out  outcome
	why  string
	to   string
	body any
}

func write(w http.ResponseWriter, v verdict) {
	x := outcomes[v.out]
	h := w.Header()
	h["Date"] = nil
	if x.retry != "" {
		h.Set("Retry-After", x.retry)
	}
	if v.to != "" {
		h.Set("Location", v.to)
	}
	b := v.body
	if b == nil && x.code >= 400 {
		t := x.text
		if v.why != "" {
			t = v.why
		}
		b = failure{t}
	}
	if b == nil {
		h.Set("Content-Length", "0")
		w.WriteHeader(x.code)
		return
	}
	raw, isRaw := b.([]byte)
	if !isRaw {
		var err error
		if raw, err = json.Marshal(b); err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	h.Set("Content-Type", "application/json")
	w.WriteHeader(x.code)
	w.Write(raw)
}

type call struct {
	id string
	r  *http.Request
}

const smallBody = 1 << 20

// handle joins a pair of types to a call: the body is read as Q, and R or a
// verdict answers. What belongs to another member is settled with it.
func handle[Q any](d *CoreServer, f func(c call, q Q) verdict) func(http.ResponseWriter, call) {
	return func(w http.ResponseWriter, c call) {
		var q Q
		var b []byte
		if c.r.Method != http.MethodGet && c.r.Method != http.MethodDelete || c.r.ContentLength > 0 {
			var err error
			if b, err = body(w, c.r, smallBody); err != nil {
				write(w, verdict{out: unread(err)})
				return
			}
			if len(b) > 0 || c.r.Method == http.MethodPut {
				if err := json.Unmarshal(b, &q); err != nil {
					write(w, verdict{out: malformed, why: err.Error()})
					return
				}
			}
		}
		d.settle(w, c, b, f(c, q), func() verdict { return f(c, q) })
	}
}

func body(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	var b bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= most {
		b.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := b.ReadFrom(http.MaxBytesReader(w, r.Body, most))
	return b.Bytes(), err
}

// unread is the answer to a call whose body did not come whole.
func unread(err error) outcome {
	var x *http.MaxBytesError
	if errors.As(err, &x) {
		return tooLarge
	}
	return busy
}

type entry struct {
	method string
	prefix string
	f      func(http.ResponseWriter, call)
}

// Table finds calls by method and path, without cleaning paths.
type Mux struct {
	es      []entry
	leaving atomic.Bool
}

// Leave asks callers to go elsewhere with their next call. Idle streams stay
// open: closing one could cut a call that is under way on it.
func (t *Mux) Drain() { t.leaving.Store(true) }

func (t *Mux) add(call string, f func(http.ResponseWriter, call)) {
	m, p, _ := strings.Cut(call, " ")
	t.es = append(t.es, entry{m, strings.TrimSuffix(p, "{}"), f})
}

func (t *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	p := r.URL.Path
	found := false
	for _, e := range t.es {
		id, hit := "", p == e.prefix
		if strings.HasSuffix(e.prefix, "/") {
			id, hit = strings.CutPrefix(p, e.prefix)
			hit = hit && id != ""
		}
		if !hit {
			continue
		}
		found = true
		if e.method == r.Method {
			e.f(w, call{id, r})
			return
		}
	}
	if found {
		write(w, verdict{out: noMethod})
		return
	}
	write(w, verdict{out: absent})
}
