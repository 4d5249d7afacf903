package controlapi

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/endpointagent"
	"corkcove/internal/rpc/meshpb"
)

// Guards against input of an endpoint that ends the sidecar, or makes a status that cannot
// be reported to the master.
func FuzzEndpointServer(f *testing.F) {
	heartbeat := `{"serviceName":"s","address":"a:1","siteName":"z","stamp":"v1","slotCount":6,"state":"ready","coldLeftS":0,"callSeq":4}`
	for _, name := range []string{"i-1", "caf%E9", "%00", "%0D%0A", "%20i", "é"} {
		f.Add("PUT", "/-/endpoints/"+name, heartbeat)
		f.Add("DELETE", "/-/endpoints/"+name, "")
	}
	f.Add("PUT", "/-/endpoints/i", `{"slotCount":99999999999999,"state":"draining","coldLeftS":-1e300}`)
	f.Add("PUT", "/-/endpoints/i", "{\"slotCount\":1,\"state\":\"ready\",\"stamp\":\"\xe9\"}")
	f.Fuzz(func(t *testing.T, method, target, body string) {
		r := fuzzRequest(method, target, "", body)
		if r == nil {
			return
		}
		agent := endpointagent.New(endpointagent.Options{Service: "s", HeartbeatInterval: time.Second, MissedHeartbeats: 3, QueuePerSlot: 1,
			OnChange: func(status endpointagent.Status) {
				_, err := proto.Marshal(&meshpb.Endpoint{Id: status.ID, State: string(status.State), SoftwareVersion: status.SoftwareVersion})
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, status.Slots >= 0 && status.Slots <= maxSlots && status.Warmup >= 0, qt.IsTrue)
			}})
		checkResponse(t, NewEndpointServer(agent), r)
		agent.Tick()
	})
}
