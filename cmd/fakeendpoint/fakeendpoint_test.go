package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestHeartbeatWireFormat(t *testing.T) {
	var method, path, body string
	sidecar := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		method, path, body = r.Method, r.URL.Path, string(data)
	}))
	defer sidecar.Close()
	e := newEndpoint(endpointOptions{address: "127.0.0.1:80", controlAddress: sidecar.Listener.Addr().String(), service: "shop", zone: "one", slots: 8})
	e.sendHeartbeat(http.MethodPut, stateReady)
	qt.Assert(t, method, qt.Equals, http.MethodPut)
	qt.Assert(t, path, qt.Equals, "/-/endpoints/"+e.id)
	qt.Assert(t, body, qt.JSONEquals, map[string]any{"serviceName": "shop", "address": "127.0.0.1:80", "siteName": "one", "stamp": "v1", "slotCount": 8,
		"state": "ready", "coldLeftS": 0, "callSeq": 1})
}

func TestEndpointSealsResponsesAndRejectsOtherInstances(t *testing.T) {
	e := newEndpoint(endpointOptions{slots: 1, processingTime: time.Millisecond})
	server := httptest.NewServer(e)
	defer server.Close()
	get := func(expected string) *http.Response {
		request, err := http.NewRequest(http.MethodPost, server.URL+"/buy", strings.NewReader("abc"))
		qt.Assert(t, err, qt.IsNil)
		request.Header.Set(headerRequestID, "7")
		request.Header.Set(headerExpectedInstance, expected)
		response, err := http.DefaultClient.Do(request)
		qt.Assert(t, err, qt.IsNil)
		_ = response.Body.Close()
		return response
	}
	response := get(e.id)
	qt.Check(t, response.StatusCode, qt.Equals, http.StatusOK)
	qt.Check(t, response.Header.Get("X-Server-Seal"), qt.Equals, e.id)
	qt.Check(t, response.Header.Get("X-Request-Id"), qt.Equals, "7")
	response = get("another")
	qt.Check(t, response.StatusCode, qt.Equals, http.StatusMisdirectedRequest)
	qt.Check(t, response.Header.Get("X-Not-Run"), qt.Equals, "1")
	qt.Check(t, response.Header.Get("X-Server-Seal"), qt.Equals, "")
}

func TestPlatformListsEndpointsPageByPage(t *testing.T) {
	e := newEndpoint(endpointOptions{slots: 1})
	server := httptest.NewServer(e)
	defer server.Close()
	address := server.Listener.Addr().String()
	p := &platform{options: platformOptions{endpoints: []string{"shop,one," + address, "shop,two,127.0.0.1:1", "malformed", "shop,three," + address}, pageSize: 3}, client: http.DefaultClient}
	list := func(token string) listPage {
		w := httptest.NewRecorder()
		p.serveList(w, httptest.NewRequest(http.MethodGet, "/endpoints?pageToken="+token, nil))
		var page listPage
		qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &page), qt.IsNil)
		return page
	}
	first := list("")
	qt.Check(t, first.InstanceList.ColumnNames, qt.DeepEquals, columnNames)
	qt.Check(t, first.InstanceList.RowList, qt.DeepEquals, [][]any{{e.id, "shop", "one", address, "v1", 8.0, "ready", 0.0}})
	qt.Assert(t, first.NextToken, qt.IsNotNil)
	e.draining.Store(true)
	second := list(*first.NextToken)
	qt.Check(t, second.InstanceList.RowList, qt.DeepEquals, [][]any{{e.id, "shop", "three", address, "v1", 8.0, "draining", 0.0}})
	qt.Check(t, second.NextToken, qt.IsNil)
}

func TestDeprecatedBeatFlagSetsHeartbeatInterval(t *testing.T) {
	for _, c := range []struct {
		args []string
		want time.Duration
	}{{nil, time.Second}, {[]string{"--beat", "3s"}, 3 * time.Second}, {[]string{"--heartbeat", "4s"}, 4 * time.Second}} {
		var e endpointOptions
		app, _ := newApplication(&e, &platformOptions{})
		_, err := app.Parse(append([]string{"--addr", "a", "--service", "s"}, c.args...))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, e.heartbeatInterval, qt.Equals, c.want)
	}
}
