package listen

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/logring"
)

// scriptedListener is a listener whose connections and errors come from the test.
type scriptedListener struct {
	net.Listener
	results chan error
}

func (l scriptedListener) Accept() (net.Conn, error) { return nil, <-l.results }
func (l scriptedListener) Addr() net.Addr            { return &net.TCPAddr{} }

// Guards against a node that says that it is ready while it accepts no client, and against
// one that stays unready once it can, though no client comes.
func TestListenerFailsWhileErrorsLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ring := logring.New(16, time.Second, nil)
		scripted := scriptedListener{results: make(chan error)}
		listener := Retry(scripted, ring.Logger("listen"))
		ended := make(chan error, 1)
		go func() {
			_, err := listener.Accept()
			if err == nil {
				_, err = listener.Accept()
			}
			ended <- err
		}()
		qt.Assert(t, listener.Failing(), qt.IsFalse)
		begun := time.Now()
		for time.Since(begun) < failingAfter {
			qt.Assert(t, listener.Failing(), qt.IsFalse)
			scripted.results <- syscall.EMFILE
			synctest.Wait()
		}
		qt.Assert(t, listener.Failing(), qt.IsTrue)
		time.Sleep(failureExpiry)
		qt.Assert(t, listener.Failing(), qt.IsFalse)
		scripted.results <- nil
		synctest.Wait()
		messages := []string{}
		for _, entry := range ring.Entries() {
			messages = append(messages, entry.Message)
		}
		qt.Assert(t, messages, qt.DeepEquals, []string{"failed to accept connections", "accepts connections again"})
		scripted.results <- net.ErrClosed
		qt.Assert(t, <-ended, qt.ErrorIs, net.ErrClosed)
	})
}
