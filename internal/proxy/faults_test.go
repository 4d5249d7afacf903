package proxy

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/endpointagent"
)

// Each fault is injected once. The client must get a valid response of an endpoint,
// from a retry if the route is idempotent, or an error that does not claim that the
// request has not run. It must never get an invalid response.
func TestEachFaultOnEachHopForEachKindOfRequest(t *testing.T) {
	for _, hop := range hops {
		for name, f := range faults {
			for kind, request := range requestKinds {
				inVirtualTime(t, hop+", "+name+", "+kind, func(t *testing.T) {
					f.abortsClient = f.abortsClient && !(f.buffered && hop == inboundToEndpoint)
					rig := newFaultRig(t, hop, 2, 2, f)
					defer rig.close()
					comment := qt.Commentf("%s, %s, %s", hop, name, kind)
					if f.reusedOnly {
						// Use a connection to each peer once.
						reached := map[string]bool{}
						for i := 0; len(reached) < 2; i++ {
							id := fmt.Sprint("w", i)
							qt.Assert(t, rig.send("effectful", id, 2*time.Second).code, qt.Equals, 200, comment)
							reached[rig.runs.at(id)[0]] = true
						}
					}
					rig.armed.Store(true)
					got := rig.send(kind, "r", 10*time.Second)
					qt.Assert(t, rig.armed.Load(), qt.IsFalse, comment)
					runs := rig.runs.at("r")
					qt.Check(t, got.err != nil, qt.Equals, f.abortsClient, comment)
					qt.Check(t, got.took <= maxResponseTime, qt.IsTrue, qt.Commentf("%v: took %v", comment, got.took))
					switch {
					case f.abortsClient:
						qt.Check(t, len(runs), qt.Equals, 1, comment)
					case f.relayed == 200:
						qt.Check(t, got.code == 200 && got.body == "good" && len(runs) == 1, qt.IsTrue, qt.Commentf("%v: %+v, ran at %v", comment, got, runs))
					case request.idempotent && f.relayed/100 == 4:
						qt.Check(t, got.code, qt.Equals, f.relayed, comment)
					case request.idempotent && (request.path == "/d/" && strings.Contains(name, "hang")):
						// There are no hedged attempts for large responses.
						qt.Check(t, got.code, qt.Equals, 504, comment)
						qt.Check(t, got.headers.Get(headerSeal), qt.Equals, "", comment)
					case request.idempotent:
						qt.Check(t, got.code == 200 && got.body == "good" && got.headers.Get(headerSeal) == "seal", qt.IsTrue, qt.Commentf("%v: %+v, ran at %v", comment, got, runs))
						qt.Check(t, len(runs) <= 2, qt.IsTrue, comment)
					case f.relayed == 500:
						qt.Check(t, got.code == 500 && got.body == "what" && got.headers.Get(headerSeal) == "s", qt.IsTrue, qt.Commentf("%v: %+v", comment, got))
						qt.Check(t, len(runs), qt.Equals, 1, comment)
					case f.notRun && got.code == 200:
						// The headers had not been sent, so the other endpoint got the request.
						qt.Check(t, len(runs), qt.Equals, 1, comment)
					default:
						qt.Check(t, got.code == 502 || got.code == 504, qt.IsTrue, qt.Commentf("%v: %+v", comment, got))
						qt.Check(t, got.headers.Get(headerSeal), qt.Equals, "", comment)
						qt.Check(t, len(runs) == 1 || f.notRun && len(runs) == 0, qt.IsTrue, qt.Commentf("%v: ran at %v", comment, runs))
					}
					for _, body := range rig.runs.bodies {
						qt.Check(t, body, qt.Equals, strings.Repeat("x", len(body)), comment)
					}
					// Bytes left over on the connections must not reach later requests.
					for i := range 4 {
						id := fmt.Sprint("n", i)
						next := rig.send("pure", id, 2500*time.Millisecond)
						qt.Check(t, next.code == 200 && next.body == "good" && next.headers.Get(headerRequestID) == id, qt.IsTrue, qt.Commentf("%v: next request: %+v", comment, next))
					}
				})
			}
		}
	}
}

func TestRequestRunsAtNoMoreEndpointsThanItsRouteAllows(t *testing.T) {
	for _, hop := range hops {
		for _, name := range []string{"hang", "reset after the request", "500", "truncated body", "truncated body, then hang", "response to another request", "reset of a reused connection"} {
			for maxAttempts := 1; maxAttempts <= 3; maxAttempts++ {
				for _, kind := range []string{"pure", "pure with body", "download"} {
					inVirtualTime(t, fmt.Sprint(hop, ", ", name, ", ", kind, ", ", maxAttempts), func(t *testing.T) {
						f := faults[name]
						f.always = true
						rig := newFaultRig(t, hop, 6, maxAttempts, f)
						defer rig.close()
						rig.armed.Store(true)
						if rig.agents != nil {
							rig.agents[0].RecordHeartbeat(endpointagent.Heartbeat{ID: "e0", Slots: 4, State: "draining", Seq: 2})
						}
						for i := range 4 {
							id := fmt.Sprint("r", i)
							got := rig.send(kind, id, 10*time.Second)
							runs := rig.runs.at(id)
							qt.Check(t, len(runs) <= maxAttempts, qt.IsTrue, qt.Commentf("ran at %v", runs))
							qt.Check(t, got.took <= maxResponseTime, qt.IsTrue, qt.Commentf("took %v", got.took))
							if !f.reusedOnly {
								qt.Check(t, got.code/100, qt.Equals, 5)
								qt.Check(t, len(runs) == maxAttempts || strings.Contains(name, "hang"), qt.IsTrue, qt.Commentf("ran at %v", runs))
							}
						}
					})
				}
			}
		}
	}
}

func TestResponseToACanceledRequestReachesNoOtherClient(t *testing.T) {
	for _, hop := range hops {
		for kind := range requestKinds {
			inVirtualTime(t, hop+", "+kind, func(t *testing.T) {
				canceled := make(chan bool)
				rig := newFaultRig(t, hop, 2, 2, fault{afterRequest: func(c *faultyPeer, r *http.Request) bool {
					<-canceled
					respondOK(c, r.Header.Get(headerRequestID))
					return true
				}})
				defer rig.close()
				rig.armed.Store(true)
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(150*time.Millisecond, cancel)
				got := rig.sendWithContext(ctx, kind, "r", 2*time.Second)
				qt.Assert(t, got.err, qt.ErrorIs, context.Canceled)
				close(canceled)
				synctest.Wait()
				qt.Check(t, rig.runs.at("r"), qt.HasLen, 1)
				for i := range 6 {
					id := fmt.Sprint("n", i)
					next := rig.send("effectful", id, 2*time.Second)
					qt.Check(t, next.code == 200 && next.headers.Get(headerRequestID) == id, qt.IsTrue, qt.Commentf("%+v", next))
				}
			})
		}
	}
}

// Status 503 guarantees that a request has not run. It must not be sent if one endpoint
// may have run the request and the others then rejected it.
func TestStatus503IsNotSentOnceARequestMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newFaultRig(t, inboundToEndpoint, 3, 3, fault{always: true, afterRequest: faults["reset after the request"].afterRequest})
		defer rig.close()
		rig.armed.Store(true)
		for i, agent := range rig.agents[1:] {
			agent.RecordHeartbeat(endpointagent.Heartbeat{ID: fmt.Sprint("e", i+1), Slots: 4, State: "draining", Seq: 2})
		}
		total := 0
		for i := range 8 {
			id := fmt.Sprint("r", i)
			got := rig.send("pure", id, 2*time.Second)
			runs := len(rig.runs.at(id))
			qt.Check(t, runs == 0 && got.code == 503 || runs == 1 && got.code == 502, qt.IsTrue, qt.Commentf("%+v, ran %d times", got, runs))
			total += runs
		}
		qt.Assert(t, total > 0, qt.IsTrue)
	})
}

func TestNoRequestIsPendingPastItsRoutesTimeout(t *testing.T) {
	for _, hop := range hops {
		for endpoints, name := range []string{"no endpoint", "one unresponsive endpoint and a queue"} {
			inVirtualTime(t, hop+", "+name, func(t *testing.T) {
				rig := newFaultRig(t, hop, endpoints, 2, fault{always: true, afterRequest: hang})
				defer rig.close()
				rig.armed.Store(true)
				var wg sync.WaitGroup
				for kind := range requestKinds {
					for i := range 3 {
						wg.Go(func() {
							id := fmt.Sprint(kind, i)
							got := rig.send(kind, id, 10*time.Second)
							runs := rig.runs.at(id)
							comment := qt.Commentf("%s: %+v, ran at %v", id, got, runs)
							qt.Check(t, got.took <= maxResponseTime, qt.IsTrue, comment)
							qt.Check(t, got.err, qt.IsNil, comment)
							qt.Check(t, len(runs) == 0 && got.code == 503 || got.code == 504, qt.IsTrue, comment)
							qt.Check(t, len(runs) <= 1, qt.IsTrue, comment)
						})
					}
				}
				wg.Wait()
			})
		}
	}
}
