package replay

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/meshtest"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

func TestSimulateFindsExactlyTheRequestsHarmedByAChange(t *testing.T) {
	recording := recordTraffic(t, everyTenthOf("/pay/"), 400)
	failedFirst := recordIDs(recording, func(record *meshpb.RequestRecord) bool { return record.Route == "pay" && firstAttemptFailed(record) })
	qt.Assert(t, len(failedFirst) > 3, qt.IsTrue)

	pure := []string{`"pathPrefix":"/pay/","bindingKind":"effectful"`, `"pathPrefix":"/pay/","bindingKind":"pure"`}
	report := simulateUsable(t, recording, parseConfig(t, 2, pure...))
	qt.Assert(t, len(requestsWith(report, VerdictDuplicated)), qt.Equals, 0, qt.Commentf("a route with one attempt cannot duplicate requests"))
	withRetries := append(pure, `"bindingKind":"pure","timeoutS":2,"targetS":0.4,"rank":1,"serviceName":"desk","maxAttempts":1`,
		`"bindingKind":"pure","timeoutS":2,"targetS":0.4,"rank":1,"serviceName":"desk","maxAttempts":3`)
	report = simulateUsable(t, recording, parseConfig(t, 2, withRetries...))
	qt.Assert(t, requestsWith(report, VerdictDuplicated), qt.DeepEquals, failedFirst)
	qt.Assert(t, report.SevereCount() >= len(failedFirst), qt.IsTrue)
	for _, changed := range report.ChangedRequests {
		if slices.Contains(changed.Verdicts, VerdictDuplicated) {
			qt.Assert(t, changed.Old.Kind, qt.Equals, "effectful")
			qt.Assert(t, changed.Basis, qt.Equals, BasisModel)
		}
	}

	report = simulateUsable(t, recording, parseConfig(t, 2, `"pathPrefix":"/buy/","bindingKind":"effectful","timeoutS":2`, `"pathPrefix":"/buy/","bindingKind":"effectful","timeoutS":0.01`))
	qt.Assert(t, requestsWith(report, VerdictLost), qt.DeepEquals, recordIDs(recording, func(record *meshpb.RequestRecord) bool { return record.Route == "buy" }))
	qt.Assert(t, requestsWith(report, VerdictLate), qt.DeepEquals, requestsWith(report, VerdictLost))

	report = simulateUsable(t, recording, parseConfig(t, 2, `"pathPrefix":"/pay/","bindingKind":"effectful"`, `"pathPrefix":"/map/pay/","bindingKind":"effectful"`))
	rerouted := recordIDs(recording, func(record *meshpb.RequestRecord) bool { return strings.HasPrefix(record.Target, "/map/pay/") })
	qt.Assert(t, requestsWith(report, VerdictRerouted), qt.DeepEquals, rerouted)
	var rejected []string
	for _, changed := range report.ChangedRequests {
		if slices.Contains(changed.Verdicts, VerdictRejected) {
			qt.Assert(t, changed.New.Code, qt.Equals, 404)
			rejected = append(rejected, changed.ID)
		}
	}
	slices.Sort(rejected)
	qt.Assert(t, rejected, qt.DeepEquals, recordIDs(recording, func(record *meshpb.RequestRecord) bool { return record.Route == "pay" && record.Code == 200 }))

	report = simulateUsable(t, recording, parseConfig(t, 2, `"bindingKind":"upload","timeoutS":2,"targetS":0.4,"rank":2,"serviceName":"seats"`,
		`"bindingKind":"upload","timeoutS":2,"targetS":0.4,"rank":2,"weightedSplit":[{"serviceName":"seats","share":0},{"serviceName":"desk","share":1}]`))
	qt.Assert(t, requestsWith(report, VerdictRerouted), qt.DeepEquals, recordIDs(recording, func(record *meshpb.RequestRecord) bool { return record.Route == "up" }))
}

func TestHarmlessChangeReportsNoChangedRequest(t *testing.T) {
	recording := recordTraffic(t, everyTenthOf("/pay/"), 300)
	report := simulateUsable(t, recording, parseConfig(t, 2, `"timeoutS":2,"targetS":0.4,"rank":1,"serviceName":"desk","maxAttempts":2`, `"timeoutS":1.9,"targetS":0.4,"rank":1,"serviceName":"desk","maxAttempts":2`,
		`{"variant":"serviceList","metadata":{"name":"desk"}`, `{"variant":"bindingList","metadata":{"name":"new"},"specification":{"hostname":"b","pathPrefix":"/","bindingKind":"pure","serviceName":"desk"}},
{"variant":"serviceList","metadata":{"name":"desk"}`, `"metadata":{"name":"buy"}`, `"metadata":{"name":"purchase"}`))
	qt.Assert(t, report.ChangedRequests, qt.HasLen, 0, qt.Commentf("%s", report.Text(Filter{}, 10)))
	qt.Assert(t, report.SevereCount(), qt.Equals, 0)
	qt.Assert(t, report.ControlMismatch, qt.Equals, 0.0)
	qt.Assert(t, len(report.SessionMoves), qt.Equals, 0)
	qt.Assert(t, report.Sessions > 0, qt.IsTrue)
}

func TestEqualSeedsGiveEqualReports(t *testing.T) {
	recording := recordTraffic(t, everyTenthOf("/"), 200)
	config := parseConfig(t, 2, `"pathPrefix":"/pay/","bindingKind":"effectful"`, `"pathPrefix":"/pay/","bindingKind":"pure"`)
	a, b := simulateUsable(t, recording, config), simulateUsable(t, recording, config)
	qt.Assert(t, a.Text(Filter{}, 1000), qt.Equals, b.Text(Filter{}, 1000))
}

func TestSmallerRetryBudgetIsForecastToMissTargets(t *testing.T) {
	recording := recordTraffic(t, everyTenthOf("/map/"), 300)
	retried := recordIDs(recording, func(record *meshpb.RequestRecord) bool {
		return record.Route == "map" && firstAttemptFailed(record) && record.Code == 200
	})
	report, err := Simulate(recording, Scenario{Retries: &RetrySettings{Window: time.Second}, Seed: 1}, options)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, requestsWith(report, VerdictMissedTarget), qt.DeepEquals, retried)
}

// Compares the forecast for a change with the results of the same traffic after the
// change is applied.
func TestForecastMatchesTheSameTrafficUnderTheChange(t *testing.T) {
	change := []string{`"pathPrefix":"/map/","bindingKind":"pure","timeoutS":2,"targetS":0.4,"rank":2,"serviceName":"seats"`,
		`"pathPrefix":"/map/","bindingKind":"pure","timeoutS":2,"targetS":0.4,"rank":2,"weightedSplit":[{"serviceName":"seats","share":50},{"serviceName":"desk","share":50}]`,
		`"pathPrefix":"/up/","bindingKind":"upload","timeoutS":2`, `"pathPrefix":"/up/","bindingKind":"upload","timeoutS":0.03`}
	var recording *meshpb.ReplayFile
	var responses []meshtest.Response
	var timedOut, uploads int
	changed := routeconfig.Compile(parseConfig(t, 2, change...))
	reroutedByDraw := func(record *meshpb.RequestRecord) bool {
		return record.Route == "map" && pickedService(t, changed, record) == "desk"
	}
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(nil)
		m.ApplyConfig(parseConfig(t, 1))
		sendRequests(m, 400, 9)
		recording = m.Recording()
		m.ApplyConfig(parseConfig(t, 2, change...))
		responses = sendRequests(m, 400, 9)
		for _, node := range m.Recording().Nodes {
			for _, record := range node.Records {
				if record.Config != 2 {
					continue
				}
				switch record.Route {
				case "up":
					uploads++
					if record.Code == 504 {
						timedOut++
					}
				case "map":
					qt.Check(t, record.Service, qt.Equals, pickedService(t, changed, record), qt.Commentf("%s", record.Id))
				}
			}
		}
		for id, executions := range m.Executions() {
			qt.Check(t, len(executions), qt.Equals, 1, qt.Commentf("%s", id))
		}
		m.Close()
		time.Sleep(time.Minute)
	})
	report := simulateUsable(t, recording, parseConfig(t, 2, change...))
	qt.Assert(t, uploads > 40, qt.IsTrue)
	qt.Assert(t, timedOut, qt.Equals, uploads)
	qt.Assert(t, report.Verdicts[VerdictLost], qt.Equals, timedOut)
	// Which requests a split reroutes is drawn anew for each sending, so the two runs are
	// compared by the draws in their records: the same draw gives the same service.
	rerouted := requestsWith(report, VerdictRerouted)
	qt.Assert(t, rerouted, qt.DeepEquals, recordIDs(recording, reroutedByDraw))
	qt.Assert(t, report.Verdicts[VerdictRerouted], qt.Equals, len(rerouted))
	qt.Assert(t, len(rerouted) > 40, qt.IsTrue, qt.Commentf("%d rerouted", len(rerouted)))
	qt.Assert(t, len(responses), qt.Equals, 400)
}

// pickedService returns the service to which the configuration leads a recorded request.
func pickedService(t *testing.T, table *routeconfig.Table, record *meshpb.RequestRecord) string {
	t.Helper()
	route := table.Match(record.Host, record.Target)
	qt.Assert(t, route, qt.IsNotNil)
	index, ok := route.PickService(record.Draw)
	qt.Assert(t, ok, qt.IsTrue)
	return table.Services[index].Name
}
