package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"corkcove/internal/proxy/loadbalancer"
	"corkcove/internal/rpc/meshpb"
)

// benchTransport responds to each request immediately, with the request's ID.
type benchTransport struct{}

func (benchTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	h := http.Header{headerRequestID: r.Header[headerRequestID], headerSeal: {"s"}, headerLoad: {"1,0,4,20,0"}, "Content-Length": {"4"}}
	return &http.Response{StatusCode: 200, Header: h, ContentLength: 4, Body: io.NopCloser(bytes.NewReader([]byte("good")))}, nil
}

// benchWriter is an http.ResponseWriter that discards the body and keeps the header
// and the status code.
type benchWriter struct {
	header http.Header
	code   int
}

func (w *benchWriter) Header() http.Header         { return w.header }
func (w *benchWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w *benchWriter) WriteHeader(code int)        { w.code = code }

// benchView returns a view of endpoints with sidecars, or of direct ones.
func benchView(endpoints int, direct bool) *meshpb.View {
	view := &meshpb.View{Version: 1, Nodes: 1}
	for i := range endpoints {
		e := &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", Addr: fmt.Sprint("app", i), Zone: fmt.Sprint("z", i%3), Slots: 4, State: "up"}
		if !direct {
			e.Inbound, e.Node = fmt.Sprint("in", i), fmt.Sprint("n", i)
		}
		view.Endpoints = append(view.Endpoints, e)
	}
	return view
}

// benchOutbound measures the handling of one request, whose endpoint responds
// immediately.
func benchOutbound(b *testing.B, direct bool, method, path, body string) {
	balancer := loadbalancer.New("z0", 2.2, 5)
	balancer.ApplyView(benchView(12, direct))
	budget := newTestBudget(200)
	outbound := NewOutbound(OutboundOptions{Service: "caller", Balancer: balancer, Routes: compileRoutes(b, testConfig), Transport: benchTransport{},
		AppClient: &AppClient{pooled: benchTransport{}, fresh: benchTransport{}, closeIdle: func() {}}, RetryBudget: budget,
		Ready: alwaysReady, BufferLimit: testBufferLimit})
	header := http.Header{headerRequestID: {"r"}, headerDeadline: {"2500"}, "User-Agent": {"u"}}
	b.ReportAllocs()
	for b.Loop() {
		r, _ := http.NewRequest(method, "http://a"+path, bytes.NewReader([]byte(body)))
		r.RequestURI, r.Host, r.Header = path, "a", header
		w := &benchWriter{header: http.Header{}}
		outbound.ServeHTTP(w, r)
		if w.code != 200 {
			b.Fatal(w.code)
		}
	}
}

func BenchmarkOutboundEffectful(b *testing.B) { benchOutbound(b, false, "POST", "/e/x", "body") }

func BenchmarkOutboundPure(b *testing.B) { benchOutbound(b, false, "GET", "/p/x", "") }

func BenchmarkOutboundDirect(b *testing.B) { benchOutbound(b, true, "POST", "/e/x", "body") }
