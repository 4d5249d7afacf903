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

func TestEachFaultOnEachHopForEachKindOfRequest(t *testing.T) {
	for _, hop := range hops {
		for name, f := range faults {
			for kind, k := range requestKinds {
				inVirtualTime(t, hop+", "+name+", "+kind, func(t *testing.T) {
					f.breaksClient = f.breaksClient && !(f.buffered && hop == inboundToEndpoint)
					s := newFaultRig(t, hop, 2, 2, f)
					defer s.close()
					c := qt.Commentf("%s, %s, %s", hop, name, kind)
					if f.reusedOnly {
						// A stream to each peer has been used before.
						met := map[string]bool{}
						for i := 0; len(met) < 2; i++ {
							id := fmt.Sprint("w", i)
							qt.Assert(t, s.send("effectful", id, 2*time.Second).code, qt.Equals, 200, c)
							met[s.runs.at(id)[0]] = true
						}
					}
					s.armed.Store(true)
					got := s.send(kind, "r", 10*time.Second)
					qt.Assert(t, s.armed.Load(), qt.IsFalse, c)
					ran := s.runs.at("r")
					qt.Check(t, got.err != nil, qt.Equals, f.breaksClient, c)
					qt.Check(t, got.took <= maxResponseTime, qt.IsTrue, qt.Commentf("%v: took %v", c, got.took))
					switch {
					case f.breaksClient:
						qt.Check(t, len(ran), qt.Equals, 1, c)
					case f.relayed == 200:
						qt.Check(t, got.code == 200 && got.body == "good" && len(ran) == 1, qt.IsTrue, qt.Commentf("%v: %+v, ran %v", c, got, ran))
					case k.idempotent && f.relayed/100 == 4:
						qt.Check(t, got.code, qt.Equals, f.relayed, c)
					case k.idempotent && (k.path == "/d/" && strings.Contains(name, "silence")):
						// An answer of that size isn't asked for twice at once.
						qt.Check(t, got.code, qt.Equals, 504, c)
						qt.Check(t, got.headers.Get(headerSeal), qt.Equals, "", c)
					case k.idempotent:
						qt.Check(t, got.code == 200 && got.body == "good" && got.headers.Get(headerSeal) == "seal", qt.IsTrue, qt.Commentf("%v: %+v, ran %v", c, got, ran))
						qt.Check(t, len(ran) <= 2, qt.IsTrue, c)
					case f.relayed == 500:
						qt.Check(t, got.code == 500 && got.body == "what" && got.headers.Get(headerSeal) == "s", qt.IsTrue, qt.Commentf("%v: %+v", c, got))
						qt.Check(t, len(ran), qt.Equals, 1, c)
					case f.notRun && got.code == 200:
						// Its head was not out, so that it could go to the other.
						qt.Check(t, len(ran), qt.Equals, 1, c)
					default:
						qt.Check(t, got.code == 502 || got.code == 504, qt.IsTrue, qt.Commentf("%v: %+v", c, got))
						qt.Check(t, got.headers.Get(headerSeal), qt.Equals, "", c)
						qt.Check(t, len(ran) == 1 || f.notRun && len(ran) == 0, qt.IsTrue, qt.Commentf("%v: ran %v", c, ran))
					}
					for _, b := range s.runs.bodies {
						qt.Check(t, b, qt.Equals, strings.Repeat("x", len(b)), c)
					}
					// What was left on the wires reaches no other request.
					for i := range 4 {
						n := s.send("pure", fmt.Sprint("n", i), 2500*time.Millisecond)
						qt.Check(t, n.code == 200 && n.body == "good" && n.headers.Get(headerRequestID) == fmt.Sprint("n", i), qt.IsTrue, qt.Commentf("%v: then %+v", c, n))
					}
				})
			}
		}
	}
}

func TestRequestRunsAtNoMoreEndpointsThanItsRouteAllows(t *testing.T) {
	for _, hop := range hops {
		for _, name := range []string{"silence", "reset after the write", "a failure", "half a body", "half a body, then silence", "another request's answer", "reset of a rested stream"} {
			for maxAttempts := 1; maxAttempts <= 3; maxAttempts++ {
				for _, kind := range []string{"pure", "pure, a body", "download"} {
					inVirtualTime(t, fmt.Sprint(hop, ", ", name, ", ", kind, ", ", maxAttempts), func(t *testing.T) {
						f := faults[name]
						f.always = true
						s := newFaultRig(t, hop, 6, maxAttempts, f)
						defer s.close()
						s.armed.Store(true)
						if s.agents != nil {
							s.agents[0].RecordHeartbeat(endpointagent.Heartbeat{ID: "e0", Slots: 4, State: "draining", Seq: 2})
						}
						for i := range 4 {
							id := fmt.Sprint("r", i)
							got := s.send(kind, id, 10*time.Second)
							ran := s.runs.at(id)
							qt.Check(t, len(ran) <= maxAttempts, qt.IsTrue, qt.Commentf("%v", ran))
							qt.Check(t, got.took <= maxResponseTime, qt.IsTrue, qt.Commentf("%v", got.took))
							if !f.reusedOnly {
								qt.Check(t, got.code/100, qt.Equals, 5)
								qt.Check(t, len(ran) == maxAttempts || strings.Contains(name, "silence"), qt.IsTrue, qt.Commentf("%v", ran))
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
				late := make(chan bool)
				s := newFaultRig(t, hop, 2, 2, fault{afterRequest: func(c *faultyPeer, r *http.Request) bool {
					<-late
					respondOK(c, r.Header.Get(headerRequestID))
					return true
				}})
				defer s.close()
				s.armed.Store(true)
				ctx, stop := context.WithCancel(context.Background())
				time.AfterFunc(150*time.Millisecond, stop)
				got := s.sendWithContext(ctx, kind, "r", 2*time.Second)
				qt.Assert(t, got.err, qt.ErrorIs, context.Canceled)
				close(late)
				synctest.Wait()
				qt.Check(t, s.runs.at("r"), qt.HasLen, 1)
				for i := range 6 {
					n := s.send("effectful", fmt.Sprint("n", i), 2*time.Second)
					qt.Check(t, n.code == 200 && n.headers.Get(headerRequestID) == fmt.Sprint("n", i), qt.IsTrue, qt.Commentf("%+v", n))
				}
			})
		}
	}
}

func TestNoPromiseOnceARequestMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFaultRig(t, inboundToEndpoint, 3, 3, fault{always: true, afterRequest: faults["reset after the write"].afterRequest})
		defer s.close()
		s.armed.Store(true)
		for i, d := range s.agents[1:] {
			d.RecordHeartbeat(endpointagent.Heartbeat{ID: fmt.Sprint("e", i+1), Slots: 4, State: "draining", Seq: 2})
		}
		ran := 0
		for i := range 8 {
			id := fmt.Sprint("r", i)
			got := s.send("pure", id, 2*time.Second)
			n := len(s.runs.at(id))
			qt.Check(t, n == 0 && got.code == 503 || n == 1 && got.code == 502, qt.IsTrue, qt.Commentf("%+v, ran %d", got, n))
			ran += n
		}
		qt.Assert(t, ran > 0, qt.IsTrue)
	})
}

func TestNoRequestIsPendingPastItsRoutesTimeout(t *testing.T) {
	for _, hop := range hops {
		for n, what := range []string{"no endpoint", "one silent endpoint and a queue"} {
			inVirtualTime(t, hop+", "+what, func(t *testing.T) {
				s := newFaultRig(t, hop, n, 2, fault{always: true, afterRequest: hang})
				defer s.close()
				s.armed.Store(true)
				var wg sync.WaitGroup
				for kind := range requestKinds {
					for i := range 3 {
						wg.Go(func() {
							id := fmt.Sprint(kind, i)
							got := s.send(kind, id, 10*time.Second)
							ran := s.runs.at(id)
							c := qt.Commentf("%s: %+v, ran %v", id, got, ran)
							qt.Check(t, got.took <= maxResponseTime, qt.IsTrue, c)
							qt.Check(t, got.err, qt.IsNil, c)
							qt.Check(t, len(ran) == 0 && got.code == 503 || got.code == 504, qt.IsTrue, c)
							qt.Check(t, len(ran) <= 1, qt.IsTrue, c)
						})
					}
				}
				wg.Wait()
			})
		}
	}
}
