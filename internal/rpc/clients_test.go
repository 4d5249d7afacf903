package rpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

// TestFailedCallsAreNotRetried guards against a transport or client that sends a
// failed call again, although the first attempt may already have taken effect:
// net/http repeats some requests when a reused connection breaks, and follows
// redirects. The peer answers the first call on a connection and fails the second
// in the way of each case.
func TestFailedCallsAreNotRetried(t *testing.T) {
	body, err := proto.Marshal(&meshpb.ReplicateResponse{Membership: 1})
	qt.Assert(t, err, qt.IsNil)
	respond := func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 2\r\n\r\n"+string(body))
	}
	qt.Assert(t, body, qt.HasLen, 2)
	for name, fail := range map[string]func(conn net.Conn){
		"reset":   func(net.Conn) {},
		"silence": func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) },
		"truncated body": func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 9\r\n\r\nhal")
		},
		"redirect": func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://b:1/x\r\nContent-Length: 0\r\n\r\n")
		},
	} {
		for _, newTransport := range []func(dialTimeout, userTimeout, idleTimeout time.Duration, idlePerHost int) *http.Transport{NewTransport, NewProbingTransport} {
			synctest.Test(t, func(t *testing.T) {
				var calls atomic.Int64
				transport := newTransport(time.Second, time.Second, time.Minute, 4)
				transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
					client, server := net.Pipe()
					go func() {
						defer func() { _ = server.Close() }()
						reader := bufio.NewReader(server)
						for served := 0; ; served++ {
							request, err := http.ReadRequest(reader)
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, request.Body)
							calls.Add(1)
							if served > 0 {
								fail(server)
								return
							}
							respond(server)
						}
					}()
					return client, nil
				}
				defer transport.CloseIdleConnections()
				clients := NewClients(&http.Client{Transport: transport})
				comment := qt.Commentf("%s", name)
				_, err := Call(time.Second, clients.Replication("a:1").Replicate, &meshpb.ReplicateRequest{})
				qt.Assert(t, err, qt.IsNil, comment)
				_, err = Call(time.Second, clients.Replication("a:1").Replicate, &meshpb.ReplicateRequest{})
				qt.Check(t, err, qt.IsNotNil, comment)
				qt.Check(t, calls.Load(), qt.Equals, int64(2), comment)
			})
		}
	}
}
