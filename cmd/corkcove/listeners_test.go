package main

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"corkcove/internal/connstate"
	"corkcove/internal/logring"
	"corkcove/internal/memnet"
)

// failingListener is a listener whose Accept returns the errors first.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: err}
}

// Guards against a listener that accepts no connection any more after an error, such as
// the lack of file descriptors in a burst (review/2).
func TestListenersServeAfterErrorsOfAccept(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	p := &process{logRing: logring.New(logCapacity, logFlushInterval, nil)}
	for name, start := range map[string]func(net.Listener){
		"clients": func(l net.Listener) { newClientListener(l, handler, p.clientLimiter(), p.log("listen")) },
		"other":   func(l net.Listener) { p.serve(&http.Server{Handler: handler}, l) },
	} {
		for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM} {
			t.Run(name+" "+err.Error(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					network := &memnet.Network{}
					defer network.Close()
					start(&failingListener{network.Listen("l"), []error{err, err, err}})
					request, _ := http.NewRequest(http.MethodGet, "http://l/", nil)
					begun := time.Now()
					response, err := network.Transport().RoundTrip(request)
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, response.StatusCode, qt.Equals, http.StatusNoContent)
					qt.Assert(t, time.Since(begun) < 100*time.Millisecond, qt.IsTrue)
				})
			})
		}
	}
}

// Guards against a server whose handlers cannot detect that a client has disconnected while
// its request is unread (review/6).
func TestListenersDetectClientsThatDisconnect(t *testing.T) {
	const (
		body = 100_000
		// waitLimit is the time after which a close that was not detected fails the test.
		waitLimit = 10 * time.Second
	)
	detected := make(chan bool, 1)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		connection := connstate.FromContext(r.Context())
		started := time.Now()
		for !connstate.PeerClosed(connection) && time.Since(started) < waitLimit {
			time.Sleep(time.Millisecond)
		}
		detected <- connstate.PeerClosed(connection)
	})
	p := &process{logRing: logring.New(logCapacity, logFlushInterval, nil)}
	for name, start := range map[string]func(net.Listener){
		"clients":     func(l net.Listener) { newClientListener(l, handler, p.clientLimiter(), p.log("listen")) },
		"core's ones": func(l net.Listener) { p.serveClients(&http.Server{Handler: handler}, l) },
		"other":       func(l net.Listener) { p.serve(&http.Server{Handler: handler}, l) },
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			start(listener)
			client, err := net.Dial("tcp", listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			_, err = fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: l\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("x", body))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, client.Close(), qt.IsNil)
			qt.Assert(t, <-detected, qt.IsTrue)
		})
	}
}

// Guards against a budget for clients that follows the limit of the operating system where
// the settings allow more: clients lost their idle connections for no reason.
func TestDescriptorLimitOfTheSettingsTakesPrecedence(t *testing.T) {
	p := &process{}
	var system unix.Rlimit
	qt.Assert(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &system), qt.IsNil)
	qt.Assert(t, p.maxDescriptors(), qt.Equals, int(min(system.Cur, math.MaxInt32)))
	configured := p.maxDescriptors() + 1
	p.options.Self.Limits.MaxFileDescriptors = int64(configured)
	qt.Assert(t, p.maxDescriptors(), qt.Equals, configured)
}
