package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const requestHeaders = " HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: 10000\r\nX-Request-Id: "

func TestClientsThatStallLeaveOrPipeline(t *testing.T) {
	big := fmt.Sprintf("PUT /u/%sr\r\nContent-Length: %d\r\n\r\n", requestHeaders, 200<<10)
	for name, x := range map[string]struct {
		say string
		// then is what the user agent does next.
		then func(c net.Conn, shut *atomic.Bool)
		hang bool
		// codes are the answers that come; 0 ends with a closed stream.
		codes []int
		ran   int
	}{
		"small body stalls":      {say: "POST /e/" + requestHeaders + "r\r\nContent-Length: 9\r\n\r\nhalf", codes: []int{503, 0}},
		"chunked body stalls":    {say: "POST /e/" + requestHeaders + "r\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", codes: []int{503, 0}},
		"repeatable body stalls": {say: "POST /p/" + requestHeaders + "r\r\nContent-Length: 9\r\n\r\nhalf", codes: []int{503, 0}},
		"large body stalls":      {say: big + strings.Repeat("x", 100<<10), codes: []int{504, 0}},
		"left amid a small body": {say: "POST /e/" + requestHeaders + "r\r\nContent-Length: 9\r\n\r\nhalf", then: func(c net.Conn, _ *atomic.Bool) { closeQuietly(c) }, codes: []int{0}},
		"left amid a large body": {say: big + strings.Repeat("x", 100<<10), then: func(c net.Conn, _ *atomic.Bool) { closeQuietly(c) }, codes: []int{0}},
		"left while it ran":      {say: "POST /e/" + requestHeaders + "r\r\nContent-Length: 1\r\n\r\nx", then: func(c net.Conn, _ *atomic.Bool) { closeQuietly(c) }, hang: true, codes: []int{0}, ran: 1},
		"shut its sending half": {say: "POST /e/" + requestHeaders + "r\r\nContent-Length: 1\r\n\r\nx", then: func(c net.Conn, shut *atomic.Bool) {
			shut.Store(true)
			_ = c.(*halfClosableClient).server.SetReadDeadline(time.Unix(1, 0))
		}, hang: true, codes: []int{0}, ran: 1},
		"two at once":              {say: "POST /e/" + requestHeaders + "r\r\nContent-Length: 1\r\n\r\nxPOST /e/" + requestHeaders + "r2\r\nContent-Length: 1\r\nConnection: close\r\n\r\ny", codes: []int{200, 200, 0}, ran: 1},
		"length and chunks":        {say: "POST /e/" + requestHeaders + "r\r\nConnection: close\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /e/" + requestHeaders + "hid\r\n\r\n", codes: []int{200, 0}, ran: 1},
		"two lengths":              {say: "POST /e/" + requestHeaders + "r\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", codes: []int{400, 0}},
		"asks before it sends":     {say: "POST /e/" + requestHeaders + "r\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx", codes: []int{100, 200, 0}, ran: 1},
		"names its own id to drop": {say: "POST /e/" + requestHeaders + "r\r\nConnection: close, X-Request-Id, X-Deadline-Ms\r\nContent-Length: 1\r\n\r\nx", codes: []int{200, 0}, ran: 1},
	} {
		for _, hop := range hops[:2] {
			inVirtualTime(t, hop+", "+name, func(t *testing.T) {
				s := newFaultRig(t, hop, 2, 2, fault{afterRequest: hang})
				defer s.close()
				s.armed.Store(x.hang)
				c, shut := s.network.dialHalfClosable(t, "out")
				go func() {
					writeText(c, x.say)
					synctest.Wait()
					if x.then != nil {
						x.then(c, shut)
					}
				}()
				t0 := time.Now()
				br := bufio.NewReader(c)
				for _, code := range x.codes {
					p, err := http.ReadResponse(br, &http.Request{Method: "POST"})
					if code == 0 {
						qt.Check(t, err, qt.IsNotNil, qt.Commentf("%+v", p))
						break
					}
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, p.StatusCode, qt.Equals, code)
					_, _ = io.ReadAll(p.Body)
				}
				qt.Check(t, time.Since(t0) <= maxResponseTime, qt.IsTrue, qt.Commentf("%v", time.Since(t0)))
				time.Sleep(5 * time.Second)
				qt.Check(t, s.runs.at("r"), qt.HasLen, x.ran)
				qt.Check(t, s.runs.at("hid"), qt.HasLen, 0)
				for _, d := range s.agents {
					qt.Check(t, d.Load().Running, qt.Equals, 0)
				}
			})
		}
	}
}

func TestStalledSenderReleasesItsSlotAtTheDeadline(t *testing.T) {
	for name, x := range map[string]struct {
		length, ran int
	}{"its body": {200_000, 0}, "its reading": {4, 1}} {
		inVirtualTime(t, name, func(t *testing.T) {
			s := newFaultRig(t, inboundToEndpoint, 1, 1, fault{always: true, afterRequest: respondAndClose(largeChunkedResponse)})
			defer s.close()
			s.armed.Store(true)
			c, _ := s.network.dialHalfClosable(t, "in0")
			go writeText(c, fmt.Sprintf("POST /u/%sr\r\nX-Expect-Instance: e0\r\nContent-Length: %d\r\n\r\nhalf", requestHeaders, x.length))
			synctest.Wait()
			qt.Assert(t, s.agents[0].Load().Running, qt.Equals, 1)
			time.Sleep(11 * time.Second)
			qt.Assert(t, s.agents[0].Load().Running, qt.Equals, 0)
			qt.Assert(t, s.runs.at("r"), qt.HasLen, x.ran)
		})
	}
}

func TestConnectionStaysUsableAfterAResponseWasReadLate(t *testing.T) {
	for _, at := range []string{"out", "in0"} {
		for _, n := range []int{7, 100 << 10} {
			inVirtualTime(t, fmt.Sprint(at, ", ", n), func(t *testing.T) {
				s := newFaultRig(t, inboundToEndpoint, 1, 1, fault{afterRequest: respondAndClose(largeChunkedResponse)})
				defer s.close()
				s.armed.Store(true)
				c, _ := s.network.dialHalfClosable(t, at)
				br := bufio.NewReader(c)
				for i := range 3 {
					id := fmt.Sprint("r", i)
					writeText(c, fmt.Sprintf("POST /u/ HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: 2000\r\nX-Request-Id: %s\r\nX-Expect-Instance: e0\r\nContent-Length: %d\r\n\r\n%s", id, n, strings.Repeat("x", n)))
					if i > 0 {
						time.Sleep(5 * time.Second)
					}
					p, err := http.ReadResponse(br, nil)
					qt.Assert(t, err, qt.IsNil)
					_, err = io.ReadAll(p.Body)
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, p.StatusCode, qt.Equals, 200)
					qt.Assert(t, p.Header.Get(headerRequestID), qt.Equals, id)
					qt.Assert(t, s.runs.at(id), qt.HasLen, 1)
					// The node has to notice that the endpoint closed its connection, or the
					// next request may be sent on it and be lost.
					synctest.Wait()
				}
			})
		}
	}
}

// lateEndBody is a request's body whose reader comes late to the read that
// follows the last bytes.
type lateEndBody struct {
	io.ReadCloser
	delay time.Duration
	atEnd bool
}

func (b *lateEndBody) Read(p []byte) (int, error) {
	if b.atEnd {
		time.Sleep(b.delay)
	}
	n, err := b.ReadCloser.Read(p)
	b.atEnd = b.atEnd || errors.Is(err, io.EOF)
	return n, err
}

// withLateEnd serves requests whose bodies' ends are read late.
func withLateEnd(h http.Handler, delay time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		late := r.WithContext(r.Context())
		late.Body = &lateEndBody{ReadCloser: r.Body, delay: delay}
		h.ServeHTTP(w, late)
	})
}

func TestResponseStaysWholeWhenItBeginsBeforeTheEndOfTheRequestWasRead(t *testing.T) {
	const (
		addr        = "late"
		endDelay    = 500 * time.Millisecond
		clientDelay = time.Second
		// bodyBytes is the size of the request's body and of its response's.
		bodyBytes = 100 << 10
	)
	for _, hop := range []string{"outbound", "inbound"} {
		inVirtualTime(t, hop, func(t *testing.T) {
			s := newFaultRig(t, inboundToEndpoint, 1, 1, fault{afterRequest: respondAndGoOn(largeChunkedResponse)})
			defer s.close()
			s.armed.Store(true)
			var handler http.Handler = s.outbound
			if hop == "inbound" {
				handler = NewInbound(InboundOptions{AppAddr: "app0", Agent: s.agents[0], AppClient: s.network.appClient(), BufferLimit: testBufferLimit})
			}
			go serveHTTP(withLateEnd(handler, endDelay), s.network.Listen(addr))
			client, _ := s.network.dialHalfClosable(t, addr)
			go writeText(client, fmt.Sprintf("POST /u/%sr\r\nX-Expect-Instance: e0\r\nContent-Length: %d\r\n\r\n%s", requestHeaders, bodyBytes, strings.Repeat("x", bodyBytes)))
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, response.StatusCode, qt.Equals, 200)
			time.Sleep(clientDelay)
			body, err := io.ReadAll(response.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.HasLen, bodyBytes)
			qt.Assert(t, s.runs.at("r"), qt.HasLen, 1)
		})
	}
}
