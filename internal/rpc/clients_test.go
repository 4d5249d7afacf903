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

// TestCallsBetweenProcessesAreSentOnce has the other process answer the first
// call on a stream and do to the second what the case says.
func TestCallsBetweenProcessesAreSentOnce(t *testing.T) {
	ok, err := proto.Marshal(&meshpb.ReplicateResponse{Membership: 1})
	qt.Assert(t, err, qt.IsNil)
	good := func(s net.Conn) {
		_, _ = io.WriteString(s, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 2\r\n\r\n"+string(ok))
	}
	qt.Assert(t, ok, qt.HasLen, 2)
	for name, then := range map[string]func(s net.Conn){
		"reset":   func(net.Conn) {},
		"silence": func(s net.Conn) { _, _ = io.Copy(io.Discard, s) },
		"half a body": func(s net.Conn) {
			_, _ = io.WriteString(s, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 9\r\n\r\nhal")
		},
		"sent elsewhere": func(s net.Conn) {
			_, _ = io.WriteString(s, "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://b:1/x\r\nContent-Length: 0\r\n\r\n")
		},
	} {
		for _, mk := range []func(wait, silence, idle time.Duration, perHost int) *http.Transport{Transport, Watched} {
			synctest.Test(t, func(t *testing.T) {
				var calls atomic.Int64
				line := mk(time.Second, time.Second, time.Minute, 4)
				line.DialContext = func(context.Context, string, string) (net.Conn, error) {
					c, s := net.Pipe()
					go func() {
						defer func() { _ = s.Close() }()
						br := bufio.NewReader(s)
						for n := 0; ; n++ {
							r, err := http.ReadRequest(br)
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, r.Body)
							calls.Add(1)
							if n > 0 {
								then(s)
								return
							}
							good(s)
						}
					}()
					return c, nil
				}
				defer line.CloseIdleConnections()
				l := NewClients(&http.Client{Transport: line})
				c := qt.Commentf("%s", name)
				_, err := Call(time.Second, l.Replication("a:1").Replicate, &meshpb.ReplicateRequest{})
				qt.Assert(t, err, qt.IsNil, c)
				_, err = Call(time.Second, l.Replication("a:1").Replicate, &meshpb.ReplicateRequest{})
				qt.Check(t, err, qt.IsNotNil, c)
				qt.Check(t, calls.Load(), qt.Equals, int64(2), c)
			})
		}
	}
}
