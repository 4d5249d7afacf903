package controlapi

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/connstate"
)

// Guards against issue 37: a core that stood still executed a release whose caller
// had closed the connection meanwhile and acquired the lock elsewhere.
func TestRequestWhoseCallerLeftIsNotExecuted(t *testing.T) {
	const waitLimit = 10 * time.Second
	server := newSingleServer(t)
	defer server.mailbox.Close()
	for code := 0; code != 200; {
		code, _ = server.do("POST", lockPath, acquireByA, "")
	}
	var reachedOnce sync.Once
	reached, left := make(chan struct{}), make(chan struct{})
	server.server.Coordination.CallerGone = func(ctx context.Context) bool {
		connection := connstate.FromContext(ctx)
		if connection == nil {
			return false
		}
		reachedOnce.Do(func() { close(reached) })
		<-left
		for deadline := time.Now().Add(waitLimit); !connstate.PeerClosed(connection) && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		return connstate.PeerClosed(connection)
	}
	listening := httptest.NewUnstartedServer(server.server)
	listening.Config.ConnContext = connstate.ConnContext
	listening.Start()
	defer listening.Close()
	caller, err := net.Dial("tcp", listening.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	_, err = fmt.Fprintf(caller, "DELETE %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", lockPath, len(releaseByA), releaseByA)
	qt.Assert(t, err, qt.IsNil)
	select {
	case <-reached:
	case <-time.After(waitLimit):
		t.Fatal("the request was executed without a look at its caller")
	}
	qt.Assert(t, caller.Close(), qt.IsNil)
	close(left)
	code, _ := server.do("POST", lockPath, acquireByB, "")
	qt.Assert(t, code, qt.Equals, 409)
}
