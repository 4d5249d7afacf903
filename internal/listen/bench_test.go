package listen

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"corkcove/internal/connstate"
	"corkcove/internal/logring"
)

// benchServer starts a server on a loopback address, with or without a limiter.
func benchServer(b *testing.B, limited bool) (address string) {
	b.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	server := &http.Server{Handler: handler, IdleTimeout: testIdleTimeout}
	var listener net.Listener = socket
	if limited {
		limiter := NewLimiter(3000)
		server.Handler, server.ConnState, server.ConnContext = limiter.Handler(handler), limiter.ConnState, connstate.ConnContext
		listener = limiter.Listen(Retry(socket, logring.Logger{}))
	}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return socket.Addr().String()
}

// benchRequest sends a request and reads the head of the response, which has no body.
func benchRequest(b *testing.B, c net.Conn, reader *bufio.Reader) {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: l\r\n\r\n"); err != nil {
		b.Fatal(err)
	}
	if _, err := http.ReadResponse(reader, nil); err != nil {
		b.Fatal(err)
	}
}

func dialBench(b *testing.B, address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

func benchConnections(b *testing.B, limited bool) {
	address := benchServer(b, limited)
	b.ReportAllocs()
	for b.Loop() {
		c, reader := dialBench(b, address)
		benchRequest(b, c, reader)
		_ = c.Close()
	}
}

func benchKeptConnection(b *testing.B, limited bool) {
	c, reader := dialBench(b, benchServer(b, limited))
	b.ReportAllocs()
	for b.Loop() {
		benchRequest(b, c, reader)
	}
}

func BenchmarkConnectionUnlimited(b *testing.B) { benchConnections(b, false) }

func BenchmarkConnectionLimited(b *testing.B) { benchConnections(b, true) }

func BenchmarkRequestUnlimited(b *testing.B) { benchKeptConnection(b, false) }

func BenchmarkRequestLimited(b *testing.B) { benchKeptConnection(b, true) }
