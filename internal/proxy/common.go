// Package switchboard carries requests: from a user agent to the outbound node,
// to the inbound node beside an endpoint, to that endpoint.
package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

var Error = errs.Class("switchboard")

const (
	hdrID       = "X-Request-Id"
	hdrDeadline = "X-Deadline-Ms"
	hdrSeal     = "X-Server-Seal"
	hdrExpect   = "X-Expect-Instance"
	hdrNotRun   = "X-Not-Run"
	hdrCaller   = "X-Caller-Service"

	ownPrefix  = "X-Corkcove-"
	hdrOutcome = "X-Corkcove-Outcome"
	hdrReason  = "X-Corkcove-Reason"
	hdrLoad    = "X-Corkcove-Load"
	hdrRank    = "X-Corkcove-Rank"
	hdrWait    = "X-Corkcove-Wait"
	hdrLate    = "X-Corkcove-Late"
	hdrOnce    = "X-Corkcove-Once"
	hdrHeavy   = "X-Corkcove-Heavy"
	hdrHot     = "X-Corkcove-Hot"
)

const (
	heavyShort = "short"
	heavyLong  = "long"
)

// What an inbound node says of a dispatch that brought no answer.
const (
	sayBounced = "bounced"
	sayRefused = "refused"
	sayTurned  = "turned"
	sayLost    = "lost"
	sayLate    = "late"
)

var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// kept are headers that no Connection header takes off: what ran, and for whom,
// hangs on them.
var kept = map[string]bool{hdrID: true, hdrSeal: true}

func named(h http.Header) map[string]bool {
	var m map[string]bool
	for _, v := range h["Connection"] {
		for _, n := range strings.Split(v, ",") {
			if n = textproto.TrimString(n); n != "" {
				if m == nil {
					m = map[string]bool{}
				}
				m[textproto.CanonicalMIMEHeaderKey(n)] = true
			}
		}
	}
	return m
}

// pass copies the headers that concern more than one stream.
func pass(to, from http.Header, own bool) {
	nm := named(from)
	for k, vs := range from {
		if hop[k] || nm[k] && !kept[k] || !own && strings.HasPrefix(k, ownPrefix) {
			continue
		}
		to[k] = vs
	}
}

// target keeps the request's target byte for byte.
func target(host, raw string) *url.URL {
	if strings.HasPrefix(raw, "//") {
		if u, err := url.ParseRequestURI("http://" + host + raw); err == nil {
			return u
		}
	}
	return &url.URL{Scheme: "http", Host: host, Opaque: raw}
}

// once is a body that net/http can't send a second time by itself.
type once struct{ io.Reader }

func (once) Close() error { return nil }

var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

func stream(w io.Writer, r io.Reader) error {
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	for {
		n, err := r.Read(*p)
		if n > 0 {
			if _, werr := w.Write((*p)[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// head reads the start of a body; whole tells that it was all of it.
func head(r io.Reader, length int64, most int) (b []byte, whole bool, err error) {
	if length == 0 {
		return nil, true, nil
	}
	n := most
	if length > 0 && length <= int64(most) {
		b = make([]byte, length)
		_, err = io.ReadFull(r, b)
		return b, err == nil, err
	}
	b = make([]byte, 0, min(n, 8<<10))
	for {
		if len(b) == cap(b) {
			if cap(b) >= most {
				return b, false, nil
			}
			b = append(b, 0)[:len(b)]
		}
		k, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+k]
		if errors.Is(err, io.EOF) {
			return b, true, nil
		}
		if err != nil {
			return b, false, err
		}
	}
}

// spoilt tells why an answer can't be taken for the endpoint's own whole answer
// to the request id.
func spoilt(p *http.Response, id string, repeatable bool) string {
	good := p.StatusCode/100 == 2
	switch {
	case p.Header.Get(hdrID) != id:
		return "another request's answer"
	case p.StatusCode < 200 || p.StatusCode > 599:
		return "no final status"
	case good && p.Header.Get(hdrSeal) == "":
		return "no seal"
	case p.Header.Get("Content-Encoding") != "":
		return "an encoded body"
	case good && p.ContentLength < 0 && p.Body != http.NoBody && len(p.TransferEncoding) == 0:
		return "a body whose end can't be told from a break"
	case !repeatable && PromisesNotRun(p.StatusCode):
		return "a promise by an endpoint that may have run it"
	}
	return ""
}

// overrun is how much longer than the request may take its body is read.
const overrun = 20 * time.Millisecond

// readBy bounds how long a request's body is waited for. The server lifts it
// once the body is in.
func readBy(w http.ResponseWriter, due time.Time) {
	http.NewResponseController(w).SetReadDeadline(due.Add(overrun))
}

// writeBy bounds how long an answer may take to be written. The server lifts it
// with the answer's end.
func writeBy(w http.ResponseWriter, due time.Time) {
	http.NewResponseController(w).SetWriteDeadline(due.Add(overrun))
}

var errTaken = Error.New("another dispatch has this body")

// rest is the part of a body that can't be read again. The dispatch under way
// may send it; once it has begun, or is over, no other can.
type rest struct {
	r     io.Reader
	mu    sync.Mutex
	turn  int
	begun bool
}

type part struct {
	*rest
	turn int
}

func (o *rest) part() part {
	o.mu.Lock()
	defer o.mu.Unlock()
	return part{o, o.turn}
}

func (p part) Read(b []byte) (int, error) {
	p.mu.Lock()
	mine := p.turn == p.rest.turn
	p.begun = p.begun || mine
	p.mu.Unlock()
	if !mine {
		return 0, errTaken
	}
	return p.r.Read(b)
}

// over ends the dispatch under way and tells whether it began to read.
func (o *rest) over() bool {
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.turn++
	return o.begun
}

func dialFailed(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

func deadline(h http.Header) (time.Duration, bool) {
	n, err := strconv.ParseFloat(h.Get(hdrDeadline), 64)
	if err != nil || !(n >= 0 && n <= 1e9) {
		return 0, false
	}
	return time.Duration(n * float64(time.Millisecond)), true
}

func millis(d time.Duration) string {
	return strconv.FormatInt(int64(max(d, 0)/time.Millisecond), 10)
}

// begin writes the head of a passed-on answer whose first bytes are b.
func begin(w http.ResponseWriter, method string, p *http.Response, b []byte, whole bool) {
	h := w.Header()
	pass(h, p.Header, false)
	h["Date"] = p.Header["Date"]
	if _, ok := p.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	switch {
	case p.ContentLength >= 0 && !(method != http.MethodHead && bodiless(method, p.StatusCode)):
		h.Set("Content-Length", strconv.FormatInt(p.ContentLength, 10))
	case whole && !bodiless(method, p.StatusCode):
		h.Set("Content-Length", strconv.Itoa(len(b)))
	default:
		h.Del("Content-Length")
	}
	w.WriteHeader(p.StatusCode)
}

// finish writes the body; a body that breaks off breaks off the stream too.
func finish(w http.ResponseWriter, p *http.Response, b []byte, whole bool, pc *Pacer, due time.Time) {
	if len(b) > 0 {
		if err := pc.write(w, b, due); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if !whole {
		if err := stream(w, p.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func bodiless(method string, code int) bool {
	return method == http.MethodHead || code/100 == 1 || code == http.StatusNoContent || code == http.StatusNotModified
}
