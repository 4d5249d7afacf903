package main

import (
	"math"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

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
