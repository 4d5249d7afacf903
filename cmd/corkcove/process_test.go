package main

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// newTestProcess returns a process that catches the signals of the test until it ends.
func newTestProcess(t *testing.T) *process {
	t.Helper()
	t.Cleanup(func() { signal.Reset() })
	p, err := newProcess(roleEdge, &globalOptions{settingsFile: newInputs(t).settings})
	qt.Assert(t, err, qt.IsNil)
	return p
}

// raise sends a signal to the test itself.
func raise(t *testing.T, s syscall.Signal) {
	t.Helper()
	qt.Assert(t, syscall.Kill(os.Getpid(), s), qt.IsNil)
}

// Guards against a SIGHUP that ends a process while it starts.
func TestSignalsDuringTheStartAreHandledAfterIt(t *testing.T) {
	p := newTestProcess(t)
	raise(t, syscall.SIGHUP)
	raise(t, syscall.SIGTERM)
	p.waitForStop()
}

// Guards against a SIGTERM that is dropped because SIGHUPs fill the channel of signals.
func TestSigtermAfterManySighupsStopsTheProcess(t *testing.T) {
	p := newTestProcess(t)
	// The system joins signals that are not delivered yet, so each is awaited.
	delivered := make(chan os.Signal, 1)
	signal.Notify(delivered, syscall.SIGHUP, syscall.SIGTERM)
	for range 20 {
		raise(t, syscall.SIGHUP)
		<-delivered
	}
	raise(t, syscall.SIGTERM)
	<-delivered
	// waitForStop must return although it begins after that.
	p.waitForStop()
}
