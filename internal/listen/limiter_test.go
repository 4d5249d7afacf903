package listen

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/connstate"
	"corkcove/internal/logring"
	"corkcove/internal/memnet"
)

const (
	// testLimit is the limit of the tests, in descriptors.
	testLimit = 9
	// testIdleTimeout is the servers' idle timeout.
	testIdleTimeout = time.Minute
)

// rig is a server with a limiter. Its handler takes as long as the path of a request says.
type rig struct {
	network *memnet.Network
	limiter *Limiter
}

func newRig() *rig {
	rig := &rig{&memnet.Network{}, NewLimiter(testLimit)}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		work, _ := time.ParseDuration(strings.TrimPrefix(r.URL.Path, "/"))
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	})
	server := &http.Server{Handler: rig.limiter.Handler(handler), IdleTimeout: testIdleTimeout, ConnState: rig.limiter.ConnState, ConnContext: connstate.ConnContext}
	listener := rig.limiter.Listen(Retry(rig.network.Listen("l"), logring.Logger{}))
	go func() { _ = server.Serve(listener) }()
	return rig
}

// client is a connection to a rig.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (rig *rig) dial(t *testing.T) *client {
	t.Helper()
	conn, err := rig.network.Dial("l", func(server net.Conn) net.Conn { return server })
	qt.Assert(t, err, qt.IsNil)
	return &client{conn, bufio.NewReader(conn)}
}

// request sends requests that take the given times, in one write, and reads the responses.
// begun is false if the server read nothing of them.
func (c *client) request(work ...time.Duration) (begun bool, err error) {
	return c.requestInParts(0, work...)
}

// requestInParts is like request, but pauses after a part of the first header.
func (c *client) requestInParts(pause time.Duration, work ...time.Duration) (begun bool, err error) {
	text := ""
	for _, w := range work {
		text += "GET /" + w.String() + " HTTP/1.1\r\nHost: l\r\n\r\n"
	}
	if pause > 0 {
		const part = 10
		if _, err := io.WriteString(c, text[:part]); err != nil {
			return false, err
		}
		time.Sleep(pause)
		begun, text = true, text[part:]
	}
	if _, err := io.WriteString(c, text); err != nil {
		return begun, err
	}
	for range work {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return true, err
		}
		if response.StatusCode != http.StatusOK {
			return true, errors.New(response.Status)
		}
	}
	return true, nil
}

// isClosed reports whether the server has closed the connection.
func (c *client) isClosed() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	return errors.Is(err, io.EOF)
}

// Guards against clients that are not served because others keep connections that they do
// not use (review/2), and against closing any but the one that was idle longest.
func TestConnectionThatIsIdleLongestIsEvictedAtTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newRig()
		defer rig.network.Close()
		var clients []*client
		for range testLimit - 1 {
			c := rig.dial(t)
			_, err := c.request(0)
			qt.Assert(t, err, qt.IsNil)
			clients = append(clients, c)
			time.Sleep(time.Second)
		}
		_, err := clients[0].request(0)
		qt.Assert(t, err, qt.IsNil)
		begun := time.Now()
		last := rig.dial(t)
		_, err = last.request(0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(begun) <= slotRetryInterval, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
		// One made room for the next connection, and maybe one for the request of the last.
		qt.Check(t, clients[1].isClosed(), qt.IsTrue)
		for i, c := range clients {
			qt.Check(t, c.isClosed() && i != 1 && i != 2, qt.IsFalse, qt.Commentf("client %d", i))
		}
		qt.Assert(t, rig.limiter.Saturated(), qt.IsFalse)
	})
}

// Guards against requests that are broken off to make room, and against a node that is
// ready while no client can connect.
func TestRequestsInProgressAreNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newRig()
		defer rig.network.Close()
		var clients sync.WaitGroup
		// One more than fit with their requests has been accepted before these began.
		for range testLimit/2 + 1 {
			c := rig.dial(t)
			clients.Go(func() {
				_, err := c.request(5 * time.Second)
				qt.Check(t, err, qt.IsNil)
			})
			synctest.Wait()
		}
		qt.Assert(t, rig.limiter.Saturated(), qt.IsFalse)
		begun := time.Now()
		clients.Go(func() {
			_, err := rig.dial(t).request(0)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, time.Since(begun) >= 5*time.Second, qt.IsTrue)
		})
		time.Sleep(saturatedAfter + slotRetryInterval)
		qt.Assert(t, rig.limiter.Saturated(), qt.IsTrue)
		clients.Wait()
		qt.Assert(t, rig.limiter.Saturated(), qt.IsFalse)
	})
}

// Guards against an eviction while a request is in progress that was read together with
// the one before it: the server reports no state for it.
func TestRequestsSentTogetherAreNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newRig()
		defer rig.network.Close()
		pipelined := rig.dial(t)
		var clients sync.WaitGroup
		clients.Go(func() {
			_, err := pipelined.request(time.Second, 5*time.Second)
			qt.Check(t, err, qt.IsNil)
		})
		time.Sleep(2 * time.Second)
		for range 2 * testLimit {
			_, err := rig.dial(t).request(0)
			qt.Check(t, err, qt.IsNil)
		}
		clients.Wait()
	})
}

// Guards against a request that was read and gets no response, for random clients that
// reuse connections up to the limit and beyond it.
func TestEvictionLosesNoRequestThatWasRead(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			rig := newRig()
			defer rig.network.Close()
			var clients sync.WaitGroup
			var evicted atomic.Int64
			for i := range uint64(3 * testLimit) {
				random := rand.New(rand.NewPCG(seed, i))
				clients.Go(func() {
					c := rig.dial(t)
					for range 20 {
						time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
						pause := time.Duration(max(random.IntN(400)-200, 0)) * time.Millisecond
						begun, err := c.requestInParts(pause, time.Duration(random.IntN(50))*time.Millisecond)
						if begun {
							qt.Check(t, err, qt.IsNil, qt.Commentf("seed %d client %d", seed, i))
							continue
						}
						evicted.Add(1)
						c = rig.dial(t)
					}
					_ = c.Close()
				})
			}
			clients.Wait()
			synctest.Wait()
			qt.Check(t, evicted.Load() > 0, qt.IsTrue)
			rig.limiter.mu.Lock()
			defer rig.limiter.mu.Unlock()
			qt.Check(t, rig.limiter.busy, qt.Equals, 0)
			qt.Check(t, rig.limiter.evicted, qt.Equals, 0)
		})
	}
}
