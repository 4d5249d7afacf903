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

// requestHeaders is the part of a request between its path and the value of its ID.
const requestHeaders = " HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: 10000\r\nX-Request-Id: "

// Clients that misbehave while a request is sent or runs must neither keep a slot
// nor make a request run that they have not sent completely.
func TestClientsThatStallDisconnectOrPipeline(t *testing.T) {
	largePut := fmt.Sprintf("PUT /u/%sr\r\nContent-Length: %d\r\n\r\n", requestHeaders, 200<<10)
	for name, test := range map[string]struct {
		// input is what the client sends first.
		input string
		// afterInput is what the client does then.
		afterInput func(client net.Conn, writeClosed *atomic.Bool)
		// endpointHangs makes the endpoint not respond to the request.
		endpointHangs bool
		// statusCodes are those of the responses that the client receives; 0 means that
		// the connection is closed.
		statusCodes []int
		// runs is the number of times that the request with ID "r" runs.
		runs int
	}{
		"small body stalls":                 {input: "POST /e/" + requestHeaders + "r\r\nContent-Length: 9\r\n\r\nhalf", statusCodes: []int{503, 0}},
		"chunked body stalls":               {input: "POST /e/" + requestHeaders + "r\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", statusCodes: []int{503, 0}},
		"idempotent request's body stalls":  {input: "POST /p/" + requestHeaders + "r\r\nContent-Length: 9\r\n\r\nhalf", statusCodes: []int{503, 0}},
		"large body stalls":                 {input: largePut + strings.Repeat("x", 100<<10), statusCodes: []int{504, 0}},
		"disconnect within a small body":    {input: "POST /e/" + requestHeaders + "r\r\nContent-Length: 9\r\n\r\nhalf", afterInput: func(client net.Conn, _ *atomic.Bool) { closeQuietly(client) }, statusCodes: []int{0}},
		"disconnect within a large body":    {input: largePut + strings.Repeat("x", 100<<10), afterInput: func(client net.Conn, _ *atomic.Bool) { closeQuietly(client) }, statusCodes: []int{0}},
		"disconnect while the request runs": {input: "POST /e/" + requestHeaders + "r\r\nContent-Length: 1\r\n\r\nx", afterInput: func(client net.Conn, _ *atomic.Bool) { closeQuietly(client) }, endpointHangs: true, statusCodes: []int{0}, runs: 1},
		"write half closed while the request runs": {input: "POST /e/" + requestHeaders + "r\r\nContent-Length: 1\r\n\r\nx", afterInput: func(client net.Conn, writeClosed *atomic.Bool) {
			writeClosed.Store(true)
			_ = client.(*halfClosableClient).server.SetReadDeadline(time.Unix(1, 0))
		}, endpointHangs: true, statusCodes: []int{0}, runs: 1},
		"two pipelined requests":                 {input: "POST /e/" + requestHeaders + "r\r\nContent-Length: 1\r\n\r\nxPOST /e/" + requestHeaders + "r2\r\nContent-Length: 1\r\nConnection: close\r\n\r\ny", statusCodes: []int{200, 200, 0}, runs: 1},
		"Content-Length and chunked encoding":    {input: "POST /e/" + requestHeaders + "r\r\nConnection: close\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /e/" + requestHeaders + "smuggled\r\n\r\n", statusCodes: []int{200, 0}, runs: 1},
		"two different Content-Length headers":   {input: "POST /e/" + requestHeaders + "r\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", statusCodes: []int{400, 0}},
		"Expect: 100-continue":                   {input: "POST /e/" + requestHeaders + "r\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx", statusCodes: []int{100, 200, 0}, runs: 1},
		"Connection header lists the request ID": {input: "POST /e/" + requestHeaders + "r\r\nConnection: close, X-Request-Id, X-Deadline-Ms\r\nContent-Length: 1\r\n\r\nx", statusCodes: []int{200, 0}, runs: 1},
	} {
		for _, hop := range hops[:2] {
			inVirtualTime(t, hop+", "+name, func(t *testing.T) {
				rig := newFaultRig(t, hop, 2, 2, fault{afterRequest: hang})
				defer rig.close()
				rig.armed.Store(test.endpointHangs)
				client, writeClosed := rig.network.dialHalfClosable(t, "out")
				go func() {
					writeText(client, test.input)
					synctest.Wait()
					if test.afterInput != nil {
						test.afterInput(client, writeClosed)
					}
				}()
				started := time.Now()
				reader := bufio.NewReader(client)
				for _, code := range test.statusCodes {
					response, err := http.ReadResponse(reader, &http.Request{Method: "POST"})
					if code == 0 {
						qt.Check(t, err, qt.IsNotNil, qt.Commentf("%+v", response))
						break
					}
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, response.StatusCode, qt.Equals, code)
					_, _ = io.ReadAll(response.Body)
				}
				took := time.Since(started)
				qt.Check(t, took <= maxResponseTime, qt.IsTrue, qt.Commentf("%v", took))
				time.Sleep(5 * time.Second)
				qt.Check(t, rig.runs.at("r"), qt.HasLen, test.runs)
				qt.Check(t, rig.runs.at("smuggled"), qt.HasLen, 0)
				for _, agent := range rig.agents {
					qt.Check(t, agent.Load().Running, qt.Equals, 0)
				}
			})
		}
	}
}

func TestStalledSenderReleasesItsSlotAtTheDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		contentLength, runs int
	}{"while sending the body": {200_000, 0}, "while reading the response": {4, 1}} {
		inVirtualTime(t, name, func(t *testing.T) {
			rig := newFaultRig(t, inboundToEndpoint, 1, 1, fault{always: true, afterRequest: respondAndClose(largeChunkedResponse)})
			defer rig.close()
			rig.armed.Store(true)
			client, _ := rig.network.dialHalfClosable(t, "in0")
			go writeText(client, fmt.Sprintf("POST /u/%sr\r\nX-Expect-Instance: e0\r\nContent-Length: %d\r\n\r\nhalf", requestHeaders, test.contentLength))
			synctest.Wait()
			qt.Assert(t, rig.agents[0].Load().Running, qt.Equals, 1)
			time.Sleep(11 * time.Second)
			qt.Assert(t, rig.agents[0].Load().Running, qt.Equals, 0)
			qt.Assert(t, rig.runs.at("r"), qt.HasLen, test.runs)
		})
	}
}

func TestConnectionStaysUsableAfterAResponseWasReadLate(t *testing.T) {
	for _, addr := range []string{"out", "in0"} {
		for _, bodyBytes := range []int{7, 100 << 10} {
			inVirtualTime(t, fmt.Sprint(addr, ", ", bodyBytes), func(t *testing.T) {
				rig := newFaultRig(t, inboundToEndpoint, 1, 1, fault{afterRequest: respondAndClose(largeChunkedResponse)})
				defer rig.close()
				rig.armed.Store(true)
				client, _ := rig.network.dialHalfClosable(t, addr)
				reader := bufio.NewReader(client)
				for i := range 3 {
					id := fmt.Sprint("r", i)
					writeText(client, fmt.Sprintf("POST /u/ HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: 2000\r\nX-Request-Id: %s\r\nX-Expect-Instance: e0\r\nContent-Length: %d\r\n\r\n%s", id, bodyBytes, strings.Repeat("x", bodyBytes)))
					if i > 0 {
						time.Sleep(5 * time.Second)
					}
					response, err := http.ReadResponse(reader, nil)
					qt.Assert(t, err, qt.IsNil)
					_, err = io.ReadAll(response.Body)
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, response.StatusCode, qt.Equals, 200)
					qt.Assert(t, response.Header.Get(headerRequestID), qt.Equals, id)
					qt.Assert(t, rig.runs.at(id), qt.HasLen, 1)
					// The node must notice that the endpoint closed its connection. Otherwise the
					// next request may be sent on that connection and be lost.
					synctest.Wait()
				}
			})
		}
	}
}

// delayedEOFBody is a request body that delays the read after its last bytes.
type delayedEOFBody struct {
	io.ReadCloser
	delay time.Duration
	atEnd bool
}

func (b *delayedEOFBody) Read(p []byte) (int, error) {
	if b.atEnd {
		time.Sleep(b.delay)
	}
	n, err := b.ReadCloser.Read(p)
	b.atEnd = b.atEnd || errors.Is(err, io.EOF)
	return n, err
}

// withDelayedEOF returns a handler that calls h with each request's body replaced by
// a delayedEOFBody.
func withDelayedEOF(h http.Handler, delay time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		delayed := r.WithContext(r.Context())
		delayed.Body = &delayedEOFBody{ReadCloser: r.Body, delay: delay}
		h.ServeHTTP(w, delayed)
	})
}

// The transport reads a request body once more after its last byte. If the response
// has started by then, the server has closed the body: the read would fail and end
// the endpoint's connection in the middle of its response (see limitToLength).
func TestResponseIsCompleteIfItStartsBeforeTheEndOfTheRequestBodyIsRead(t *testing.T) {
	const (
		addr = "delayed"
		// eofDelay is the delay of the read after the last bytes.
		eofDelay = 500 * time.Millisecond
		// clientDelay is the time that the client waits before it reads the response body.
		clientDelay = time.Second
		// bodyBytes is the size of the request body and of the response body.
		bodyBytes = 100 << 10
	)
	for _, chain := range []string{"outbound", "inbound"} {
		inVirtualTime(t, chain, func(t *testing.T) {
			rig := newFaultRig(t, inboundToEndpoint, 1, 1, fault{afterRequest: respondAndKeepOpen(largeChunkedResponse)})
			defer rig.close()
			rig.armed.Store(true)
			var handler http.Handler = rig.outbound
			if chain == "inbound" {
				handler = NewInbound(InboundOptions{AppAddr: "app0", Agent: rig.agents[0], AppClient: rig.network.appClient(), BufferLimit: testBufferLimit})
			}
			go serveHTTP(withDelayedEOF(handler, eofDelay), rig.network.Listen(addr))
			client, _ := rig.network.dialHalfClosable(t, addr)
			go writeText(client, fmt.Sprintf("POST /u/%sr\r\nX-Expect-Instance: e0\r\nContent-Length: %d\r\n\r\n%s", requestHeaders, bodyBytes, strings.Repeat("x", bodyBytes)))
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, response.StatusCode, qt.Equals, 200)
			time.Sleep(clientDelay)
			body, err := io.ReadAll(response.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.HasLen, bodyBytes)
			qt.Assert(t, rig.runs.at("r"), qt.HasLen, 1)
		})
	}
}
