package loadbalancer

import (
	"fmt"
	"testing"
	"time"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// benchView returns a view of one service whose endpoints are spread over three
// zones. Endpoints that are not direct have a sidecar.
func benchView(endpoints int, direct bool) *meshpb.View {
	v := &meshpb.View{Version: 1, Nodes: 1}
	for i := range endpoints {
		e := &meshpb.Endpoint{Id: fmt.Sprint("e", i), Service: "s", Addr: fmt.Sprint("app", i), Zone: fmt.Sprint("z", i%3), Slots: 4, State: string(lifecycle.Up)}
		if !direct {
			e.Inbound, e.Node = fmt.Sprint("in", i), fmt.Sprint("n", i)
		}
		v.Endpoints = append(v.Endpoints, e)
	}
	return v
}

// benchPick measures Pick on a view with that many endpoints, from a node in the
// first zone.
func benchPick(b *testing.B, endpoints int, direct bool, c Criteria) {
	balancer := New("z0", 2.2, 5)
	balancer.ApplyView(benchView(endpoints, direct))
	c.Service, c.LatencyTarget = "s", 500*time.Millisecond
	b.ReportAllocs()
	for b.Loop() {
		if balancer.Pick(c) == nil {
			b.Fatal("no endpoint")
		}
	}
}

func BenchmarkPickOfFew(b *testing.B) { benchPick(b, 9, false, Criteria{}) }

func BenchmarkPickOfMany(b *testing.B) { benchPick(b, 120, false, Criteria{Idempotent: true}) }

func BenchmarkPickBulk(b *testing.B) { benchPick(b, 120, false, Criteria{Bulk: true}) }

func BenchmarkPickDirect(b *testing.B) { benchPick(b, 120, true, Criteria{}) }

func BenchmarkPickByKey(b *testing.B) {
	benchPick(b, 120, false, Criteria{Idempotent: true, Key: 7})
}
