package replay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/meshtest"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

const configTemplate = `{"stamp":"r%d","resourceList":[
{"variant":"bindingList","metadata":{"name":"buy"},"specification":{"hostname":"a","pathPrefix":"/buy/","bindingKind":"effectful","timeoutS":2,"targetS":0.4,"rank":1,"serviceName":"desk","maxAttempts":2,"sessionKey":"header X-Session"}},
{"variant":"bindingList","metadata":{"name":"pay"},"specification":{"hostname":"a","pathPrefix":"/pay/","bindingKind":"effectful","timeoutS":2,"targetS":0.4,"rank":1,"serviceName":"desk","maxAttempts":1}},
{"variant":"bindingList","metadata":{"name":"map"},"specification":{"hostname":"a","pathPrefix":"/map/","bindingKind":"pure","timeoutS":2,"targetS":0.4,"rank":2,"serviceName":"seats","maxAttempts":2}},
{"variant":"bindingList","metadata":{"name":"up"},"specification":{"hostname":"a","pathPrefix":"/up/","bindingKind":"upload","timeoutS":2,"targetS":0.4,"rank":2,"serviceName":"seats","maxAttempts":1}},
{"variant":"serviceList","metadata":{"name":"desk"},"specification":{"soundnessPath":"/h"}},
{"variant":"serviceList","metadata":{"name":"seats"},"specification":{"soundnessPath":"/h"}}]}`

var options = Options{MaxMismatch: 0.02, MinCoverage: 0.9}

// parseConfig returns the test configuration after replacing the first string of
// each pair in edits by the second, once per pair.
func parseConfig(t *testing.T, version int, edits ...string) routeconfig.Config {
	t.Helper()
	text := fmt.Sprintf(configTemplate, version)
	for i := 0; i < len(edits); i += 2 {
		edited := strings.Replace(text, edits[i], edits[i+1], 1)
		qt.Assert(t, edited == text, qt.IsFalse, qt.Commentf("%q is not in the configuration", edits[i]))
		text = edited
	}
	config, err := routeconfig.Parse([]byte(text))
	qt.Assert(t, err, qt.IsNil)
	return config
}

// newMesh starts a mesh of six endpoints, three for each service. breaksOff selects
// the requests that an endpoint runs but does not answer; nil selects none.
func newMesh(breaksOff func(r *http.Request) bool) *meshtest.Mesh {
	var endpoints []*meshtest.Endpoint
	for i := range 6 {
		service := "desk"
		if i >= 3 {
			service = "seats"
		}
		endpoints = append(endpoints, &meshtest.Endpoint{ID: fmt.Sprint("e", i), Service: service, Zone: "z", Slots: 4, ClosesWithoutResponse: breaksOff, ServiceTime: func(r *http.Request) time.Duration {
			return 20*time.Millisecond + time.Duration(len(r.Header.Get("X-Request-Id"))*7)*time.Millisecond
		}})
	}
	return meshtest.New(endpoints...)
}

// sendRequests sends count requests to random paths through random nodes and returns
// the responses in the order in which the requests were sent.
func sendRequests(m *meshtest.Mesh, count int, seed uint64) []meshtest.Response {
	rng := rand.New(rand.NewPCG(seed, 1))
	responses := make([]meshtest.Response, count)
	var wg sync.WaitGroup
	paths := []string{"/buy/", "/pay/", "/map/x", "/up/y", "/map/pay/z"}
	for i := range count {
		time.Sleep(time.Duration(5+rng.IntN(15)) * time.Millisecond)
		path := paths[rng.IntN(len(paths))]
		method, session := "GET", ""
		if !strings.HasPrefix(path, "/map/") {
			method = "POST"
		}
		if path == "/buy/" {
			session = fmt.Sprint("fan-", rng.IntN(12))
		}
		node := m.Nodes[rng.IntN(len(m.Nodes))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			responses[i] = m.Send(node, method, path, session, 3*time.Second)
		}()
	}
	wg.Wait()
	return responses
}

// everyTenthOf selects the requests with a path prefix whose ID ends in 7.
func everyTenthOf(prefix string) func(r *http.Request) bool {
	return func(r *http.Request) bool {
		return strings.HasPrefix(r.URL.Path, prefix) && strings.HasSuffix(r.Header.Get("X-Request-Id"), "7")
	}
}

// recordTraffic sends count requests under version 1 of the configuration. It returns
// their recording after encoding and decoding it.
func recordTraffic(t *testing.T, breaksOff func(*http.Request) bool, count int) (recording *meshpb.ReplayFile) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(breaksOff)
		m.ApplyConfig(parseConfig(t, 1))
		sendRequests(m, count, 3)
		recording = m.Recording()
		m.Close()
		time.Sleep(time.Minute)
	})
	var file bytes.Buffer
	qt.Assert(t, writeRecording(&file, recording), qt.IsNil)
	parsed, err := ReadFrom(&file)
	qt.Assert(t, err, qt.IsNil)
	return parsed
}

// simulateUsable simulates a proposed configuration and fails the test if the report
// is not usable.
func simulateUsable(t *testing.T, recording *meshpb.ReplayFile, config routeconfig.Config) *Report {
	t.Helper()
	report, err := Simulate(recording, Scenario{Config: &config, Seed: 1}, options)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, report.Usable, qt.IsTrue, qt.Commentf("control mismatch %v, coverage %v", report.ControlMismatch, report.Coverage))
	return report
}

// requestsWith returns the sorted IDs of the changed requests that have the verdict.
func requestsWith(report *Report, verdict Verdict) (ids []string) {
	for _, changed := range report.ChangedRequests {
		if slices.Contains(changed.Verdicts, verdict) {
			ids = append(ids, changed.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// recordIDs returns the sorted IDs of the selected records.
func recordIDs(recording *meshpb.ReplayFile, selects func(*meshpb.RequestRecord) bool) (ids []string) {
	for _, node := range recording.Nodes {
		for _, record := range node.Records {
			if selects(record) {
				ids = append(ids, record.Id)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// firstAttemptFailed reports whether the first attempt ended without an answer after
// the endpoint may have run the request.
func firstAttemptFailed(record *meshpb.RequestRecord) bool {
	return len(record.Attempts) > 0 && record.Attempts[0].Outcome == "unsure"
}

// writeRecording writes the recording as a complete replay file.
func writeRecording(out io.Writer, recording *meshpb.ReplayFile) error {
	w, err := NewWriter(out)
	if err != nil {
		return err
	}
	for _, node := range recording.Nodes {
		err = errors.Join(err, w.WriteNode(node))
	}
	for _, view := range recording.Views {
		err = errors.Join(err, w.WriteView(view))
	}
	for _, config := range recording.Configs {
		err = errors.Join(err, w.WriteConfig(config))
	}
	trailer := &meshpb.ReplayTrailer{CreatedUs: recording.CreatedUs, SpanUs: recording.SpanUs, Unreachable: recording.Unreachable}
	return errors.Join(err, w.Close(trailer))
}
