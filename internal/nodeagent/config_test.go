package nodeagent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// configRecorder is an agent whose callbacks record the patches applied since the
// last complete configuration.
type configRecorder struct {
	agent   *Agent
	applied []string
}

// newConfigRecorder returns a recorder whose agent has a complete configuration of
// version 10.
func newConfigRecorder(t *testing.T) *configRecorder {
	t.Helper()
	r := &configRecorder{}
	r.agent = &Agent{
		OnConfig: func(uint64, []byte) error { r.applied = nil; return nil },
		OnPatch: func(_ uint64, patches [][]byte) error {
			for _, p := range patches {
				r.applied = append(r.applied, string(p))
			}
			return nil
		},
	}
	r.agent.Init(&meshpb.NodeState{})
	qt.Assert(t, r.deliver(t, &meshpb.DeliverConfigRequest{Version: 10, Data: rpc.Compress([]byte("all"))}), qt.IsTrue)
	return r
}

// deliver sends a request to the agent and returns Ok of the response.
func (r *configRecorder) deliver(t *testing.T, request *meshpb.DeliverConfigRequest) bool {
	t.Helper()
	response, err := r.agent.DeliverConfig(t.Context(), request)
	qt.Assert(t, err, qt.IsNil)
	return response.Ok
}

// patch delivers patches that lead from version base to version.
func (r *configRecorder) patch(t *testing.T, base, version uint64, patches ...string) bool {
	t.Helper()
	request := &meshpb.DeliverConfigRequest{BaseVersion: base, Version: version}
	for _, p := range patches {
		request.Patches = append(request.Patches, rpc.Compress([]byte(p)))
	}
	return r.deliver(t, request)
}

// On a slow link a delivery arrives after its call has timed out at the sender, which
// then sends the same patches again, followed by newer ones. The node must skip the
// patches that it has applied and apply the rest; rejecting the whole delivery would
// keep a node behind a slow link on an old configuration.
func TestDeliveryMayBeginWithAppliedPatches(t *testing.T) {
	r := newConfigRecorder(t)
	qt.Assert(t, r.patch(t, 10, 15, "a"), qt.IsTrue)
	qt.Assert(t, r.patch(t, 10, 22, "a", "b"), qt.IsTrue)
	qt.Assert(t, r.patch(t, 15, 32, "b", "c"), qt.IsTrue)
	qt.Assert(t, r.patch(t, 22, 33, "c", "d"), qt.IsTrue)
	qt.Assert(t, r.applied, qt.DeepEquals, []string{"a", "b", "c", "d"})
	qt.Assert(t, r.agent.ConfigVersion(), qt.Equals, uint64(33))
}

func TestPatchesNotContinuingHistoryAreRejected(t *testing.T) {
	for name, deliver := range map[string]func(t *testing.T, r *configRecorder) bool{
		"different patch":                     func(t *testing.T, r *configRecorder) bool { return r.patch(t, 10, 22, "x", "b") },
		"unknown base":                        func(t *testing.T, r *configRecorder) bool { return r.patch(t, 9, 22, "a", "b") },
		"base between two versions":           func(t *testing.T, r *configRecorder) bool { return r.patch(t, 14, 22, "b") },
		"no new patch":                        func(t *testing.T, r *configRecorder) bool { return r.patch(t, 10, 22, "a") },
		"base newer than the current version": func(t *testing.T, r *configRecorder) bool { return r.patch(t, 22, 23, "c") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newConfigRecorder(t)
			qt.Assert(t, r.patch(t, 10, 15, "a"), qt.IsTrue)
			qt.Assert(t, deliver(t, r), qt.IsFalse)
			qt.Assert(t, r.applied, qt.DeepEquals, []string{"a"})
			qt.Assert(t, r.agent.ConfigVersion(), qt.Equals, uint64(15))
		})
	}
}

func TestFullConfigResetsPatchHistory(t *testing.T) {
	r := newConfigRecorder(t)
	qt.Assert(t, r.patch(t, 10, 15, "a"), qt.IsTrue)
	qt.Assert(t, r.deliver(t, &meshpb.DeliverConfigRequest{Version: 20, Data: rpc.Compress([]byte("all"))}), qt.IsTrue)
	qt.Assert(t, r.patch(t, 10, 22, "a", "b"), qt.IsFalse)
	qt.Assert(t, r.patch(t, 20, 22, "b"), qt.IsTrue)
	qt.Assert(t, r.applied, qt.DeepEquals, []string{"b"})
}

func TestPatchHistoryIsBounded(t *testing.T) {
	r := newConfigRecorder(t)
	for version := uint64(10); version < 10+2*maxPatchHistory; version++ {
		qt.Assert(t, r.patch(t, version, version+1, "p"), qt.IsTrue)
		qt.Assert(t, len(r.agent.patchHistory.digests) <= maxPatchHistory, qt.IsTrue)
	}
	qt.Assert(t, r.patch(t, 10, 10+2*maxPatchHistory+1, "p", "p"), qt.IsFalse)
}
