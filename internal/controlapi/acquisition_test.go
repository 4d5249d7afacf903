package controlapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/coordination"
)

const (
	lockPath      = "/-/locks/l"
	acquireByA    = `{"holderId":"a","holdS":3}`
	acquireByB    = `{"holderId":"b","holdS":3}`
	releaseByA    = `{"holderId":"a","fenceNo":1}`
	firstResponse = `{"fenceNo":1}`
)

// Guards against issue 37: a caller sent a release, gave it up and acquired the lock
// again; the release was executed late, and another caller got the lock.
func TestLateReleaseDoesNotGiveAReacquiredLockToAnotherCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newSingleServer(t)
		defer server.mailbox.Close()
		for range 2 {
			code, body := server.do("POST", lockPath, acquireByA, "")
			qt.Assert(t, code, qt.Equals, 200)
			qt.Assert(t, body, qt.Equals, firstResponse)
		}
		code, _ := server.onNewConnection().do("DELETE", lockPath, releaseByA, "")
		qt.Assert(t, code, qt.Equals, 200)
		time.Sleep(2900 * time.Millisecond)
		code, _ = server.do("POST", lockPath, acquireByB, "")
		qt.Assert(t, code, qt.Equals, 409, qt.Commentf("the first caller still holds the lock"))
		time.Sleep(200 * time.Millisecond)
		code, body := server.do("POST", lockPath, acquireByB, "")
		qt.Assert(t, code, qt.Equals, 200, qt.Commentf("the lock has expired"))
		qt.Assert(t, body, qt.Equals, `{"fenceNo":2}`)
	})
}

// Guards against locks that stay held after their release although the caller is known to
// have sent the release last: on the same connection, or with the acquisition's header.
func TestReleaseAfterReacquisitionFreesTheLock(t *testing.T) {
	for name, release := range map[string]func(*singleServer){
		"same connection": func(server *singleServer) { server.do("DELETE", lockPath, releaseByA, "") },
		"header": func(server *singleServer) {
			r := httptest.NewRequest("DELETE", lockPath, strings.NewReader(releaseByA))
			r.Header.Set(acquisitionHeader, acquisition{1, 1}.String())
			server.server.ServeHTTP(httptest.NewRecorder(), r)
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			server := newSingleServer(t)
			defer server.mailbox.Close()
			for range 2 {
				code, _ := server.do("POST", lockPath, acquireByA, "")
				qt.Assert(t, code, qt.Equals, 200)
			}
			release(server)
			code, _ := server.do("POST", lockPath, acquireByB, "")
			qt.Assert(t, code, qt.Equals, 200, qt.Commentf("%s", name))
		})
	}
}

// Guards against a member that forwards the release of a reacquired lock without telling
// the owner which acquisition precedes it, or with one that another caller made.
func TestForwardedReleaseNamesThePrecedingAcquisition(t *testing.T) {
	acquired := func(r *http.Request) (*http.Response, error) {
		response, err := respondWith(200, firstResponse, "")(r)
		response.Header.Set(acquisitionHeader, "1/4")
		return response, err
	}
	var forwarded []string
	released := func(r *http.Request) (*http.Response, error) {
		forwarded = append(forwarded, r.Header.Get(acquisitionHeader))
		return respondWith(200, `{}`, "")(r)
	}
	server := NewCoreServer(&coordination.Service{}, time.Second)
	server.PeerTransport = &fakeTransport{responses: []func(*http.Request) (*http.Response, error){acquired, released}}
	notOwner := func(r request) error { return &notOwnerError{location: "http://o1:1" + r.RequestURI} }
	server.routes = nil
	server.handle("POST /-/locks/{}", jsonHandler(server.respondToAcquisition, func(r request, _ lockRequest) (lockResponse, error) {
		return lockResponse{}, notOwner(r)
	}))
	server.handle("DELETE /-/locks/{}", jsonHandler(server.forwardToOwner, func(r request, body lockRequest) (empty, error) {
		addPrecedingAcquisition(r, body)
		return empty{}, notOwner(r)
	}))
	connection, other := ConnContext(context.Background(), nil), ConnContext(context.Background(), nil)
	send := func(ctx context.Context, method, body string) {
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, method, lockPath, strings.NewReader(body)))
		qt.Assert(t, recorder.Code, qt.Equals, 200)
	}
	send(connection, "POST", acquireByA)
	send(connection, "DELETE", releaseByA)
	send(connection, "DELETE", `{"holderId":"b","fenceNo":1}`)
	send(connection, "DELETE", `{"holderId":"a","fenceNo":2}`)
	send(other, "DELETE", releaseByA)
	qt.Assert(t, forwarded, qt.DeepEquals, []string{"1/4", "", "", ""})
}

// Guards against memory that grows with the reacquired locks of a connection.
func TestConnectionForgetsReacquisitionsBeyondItsLimit(t *testing.T) {
	c := &connectionAcquisitions{byOwner: map[lockOwner]acquisition{}}
	for i := range uint64(10 * maxConnectionAcquisitions) {
		c.record("l"+acquisition{i, i}.String(), "a", acquisition{i, 1})
	}
	qt.Assert(t, c.byOwner, qt.HasLen, maxConnectionAcquisitions)
}
