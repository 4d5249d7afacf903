package nodeagent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// configRecorder applies patches by remembering them.
type configRecorder struct {
	agent   *Agent
	applied []string
}

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
	r.agent.Start(&meshpb.NodeState{})
	qt.Assert(t, r.deliver(t, &meshpb.DeliverConfigRequest{Version: 10, Data: rpc.Pack([]byte("all"))}), qt.IsTrue)
	return r
}

func (r *configRecorder) deliver(t *testing.T, q *meshpb.DeliverConfigRequest) bool {
	t.Helper()
	response, err := r.agent.DeliverConfig(t.Context(), q)
	qt.Assert(t, err, qt.IsNil)
	return response.Ok
}

func (r *configRecorder) patch(t *testing.T, base, version uint64, patches ...string) bool {
	t.Helper()
	q := &meshpb.DeliverConfigRequest{BaseVersion: base, Version: version}
	for _, p := range patches {
		q.Patches = append(q.Patches, rpc.Pack([]byte(p)))
	}
	return r.deliver(t, q)
}

// A delivery is sent again, with what has changed since, while an earlier one is
// on a slow link. Both count, in the order in which they come.
func TestDeliveryCountsWhoseFirstPatchesWereApplied(t *testing.T) {
	r := newConfigRecorder(t)
	qt.Assert(t, r.patch(t, 10, 15, "a"), qt.IsTrue)
	qt.Assert(t, r.patch(t, 10, 22, "a", "b"), qt.IsTrue)
	qt.Assert(t, r.patch(t, 15, 32, "b", "c"), qt.IsTrue)
	qt.Assert(t, r.patch(t, 22, 33, "c", "d"), qt.IsTrue)
	qt.Assert(t, r.applied, qt.DeepEquals, []string{"a", "b", "c", "d"})
	qt.Assert(t, r.agent.ConfigVersion(), qt.Equals, uint64(33))
}

func TestPatchesThatDoNotContinueAreRefused(t *testing.T) {
	for name, refused := range map[string]func(t *testing.T, r *configRecorder) bool{
		"other patch":        func(t *testing.T, r *configRecorder) bool { return r.patch(t, 10, 22, "x", "b") },
		"unknown base":       func(t *testing.T, r *configRecorder) bool { return r.patch(t, 9, 22, "a", "b") },
		"base between":       func(t *testing.T, r *configRecorder) bool { return r.patch(t, 14, 22, "b") },
		"nothing to add":     func(t *testing.T, r *configRecorder) bool { return r.patch(t, 10, 22, "a") },
		"base of the future": func(t *testing.T, r *configRecorder) bool { return r.patch(t, 22, 23, "c") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newConfigRecorder(t)
			qt.Assert(t, r.patch(t, 10, 15, "a"), qt.IsTrue)
			qt.Assert(t, refused(t, r), qt.IsFalse)
			qt.Assert(t, r.applied, qt.DeepEquals, []string{"a"})
			qt.Assert(t, r.agent.ConfigVersion(), qt.Equals, uint64(15))
		})
	}
}

func TestCompleteConfigurationBeginsANewHistory(t *testing.T) {
	r := newConfigRecorder(t)
	qt.Assert(t, r.patch(t, 10, 15, "a"), qt.IsTrue)
	qt.Assert(t, r.deliver(t, &meshpb.DeliverConfigRequest{Version: 20, Data: rpc.Pack([]byte("all"))}), qt.IsTrue)
	qt.Assert(t, r.patch(t, 10, 22, "a", "b"), qt.IsFalse)
	qt.Assert(t, r.patch(t, 20, 22, "b"), qt.IsTrue)
	qt.Assert(t, r.applied, qt.DeepEquals, []string{"b"})
}

func TestPatchHistoryIsBounded(t *testing.T) {
	r := newConfigRecorder(t)
	for version := uint64(10); version < 10+2*maxPatchHistory; version++ {
		qt.Assert(t, r.patch(t, version, version+1, "p"), qt.IsTrue)
		qt.Assert(t, len(r.agent.patches.digests) <= maxPatchHistory, qt.IsTrue)
	}
	qt.Assert(t, r.patch(t, 10, 10+2*maxPatchHistory+1, "p", "p"), qt.IsFalse)
}
