package routeconfig

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPatchFromProducesTheNewerConfiguration(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 2))
	randomConfig := func(version int) []byte {
		b := fmt.Appendf(nil, `{"stamp":"r%d","resourceList":[{"variant":"serviceList","metadata":{"name":"s"},"specification":{"soundnessPath":"/h"}}`, version)
		if rng.IntN(2) == 0 {
			b = fmt.Appendf(b, `,{"variant":"limitSet","metadata":{},"specification":{"headerBytes":%d}}`, 1000+rng.IntN(2))
		}
		for i := range 12 {
			if rng.IntN(3) > 0 {
				b = fmt.Appendf(b, `,{"variant":"bindingList","metadata":{"name":"b%d"},"specification":{"hostname":"a","pathPrefix":"/p%d/","bindingKind":"pure","timeoutS":%d,"serviceName":"s"}}`, i, i, rng.IntN(3))
			}
		}
		return append(b, "]}"...)
	}
	contents := func(config Config) map[string]string {
		byID := map[string]string{}
		for _, r := range config.Resources {
			byID[r.Variant+" "+r.Name] = string(r.Raw)
		}
		return byID
	}
	for n := range 200 {
		a, b := randomConfig(n+1), randomConfig(n+2)
		old, err := Parse(a)
		qt.Assert(t, err, qt.IsNil)
		want, err := Parse(b)
		qt.Assert(t, err, qt.IsNil)
		patch, err := ParsePatch(want.PatchFrom(old))
		qt.Assert(t, err, qt.IsNil)
		got, err := old.Apply(patch)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Version, qt.Equals, want.Version)
		qt.Assert(t, contents(got), qt.DeepEquals, contents(want))
	}
}

func TestPatchPreservesTheBytesOfOtherResources(t *testing.T) {
	config, err := Parse([]byte(validConfig))
	qt.Assert(t, err, qt.IsNil)
	patch, err := ParsePatch([]byte(`{"stamp":"r9","upserts":{"resourceList":[{"variant":"bindingList","metadata":{"name":"b3"},"specification":{"hostname":"c.example","pathPrefix":"/","bindingKind":"upload","serviceName":"s2"}}]},"removals":{"bindingList":["b1"]}}`))
	qt.Assert(t, err, qt.IsNil)
	next, err := config.Apply(patch)
	qt.Assert(t, err, qt.IsNil)
	parsed, err := Parse(next.Marshal())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, parsed.Version, qt.Equals, uint64(9))
	qt.Check(t, len(parsed.Resources), qt.Equals, 5)
	qt.Check(t, strings.Contains(string(next.Marshal()), `"unheardOf":[1,{}]`), qt.IsTrue)
	_, err = config.Apply(Patch{Version: 9, Removals: map[string][]string{"serviceList": {"s1"}}})
	qt.Check(t, err, qt.ErrorMatches, `.*unknown service "s1"`)
}

func TestApplyPatchesYieldsTheExpectedVersionOrAnError(t *testing.T) {
	config, err := Parse([]byte(validConfig))
	qt.Assert(t, err, qt.IsNil)
	before := string(config.Marshal())
	first := []byte(`{"stamp":"r9","upserts":{"resourceList":[]},"removals":{"bindingList":["b1"]}}`)
	second := []byte(`{"stamp":"r10","upserts":{"resourceList":[]},"removals":{"bindingList":["b2"]}}`)
	next, err := config.ApplyPatches(10, [][]byte{first, second})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, next.Version, qt.Equals, uint64(10))
	qt.Check(t, len(next.Resources), qt.Equals, len(config.Resources)-2)
	for name, patches := range map[string][][]byte{
		"unexpected version": {first},
		"invalid JSON":       {first, []byte("{")},
		"invalid result":     {first, []byte(`{"stamp":"r10","upserts":{"resourceList":[]},"removals":{"serviceList":["s1"]}}`)},
	} {
		next, err := config.ApplyPatches(10, patches)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", name))
		qt.Check(t, next.Version, qt.Equals, uint64(0), qt.Commentf("%s", name))
	}
	qt.Check(t, string(config.Marshal()), qt.Equals, before)
}
