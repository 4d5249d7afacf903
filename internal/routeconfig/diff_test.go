package routeconfig

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Any two configurations: the patch between them leads from one to the other.
func TestPatchesLeadToTheSameConfiguration(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 2))
	draw := func(version int) []byte {
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
	text := func(d Config) map[string]string {
		out := map[string]string{}
		for _, it := range d.Resources {
			out[it.Variant+" "+it.Name] = string(it.Raw)
		}
		return out
	}
	for n := range 200 {
		a, b := draw(n+1), draw(n+2)
		old, err := Parse(a)
		qt.Assert(t, err, qt.IsNil)
		want, err := Parse(b)
		qt.Assert(t, err, qt.IsNil)
		pt, err := ParsePatch(want.PatchFrom(old))
		qt.Assert(t, err, qt.IsNil)
		got, err := old.Apply(pt)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Version, qt.Equals, want.Version)
		qt.Assert(t, text(got), qt.DeepEquals, text(want))
	}
}

func TestSessionKeysAreChecked(t *testing.T) {
	for s, ok := range map[string]bool{"": true, "header X-Cart": true, "cookie fan": true, "cookie": false, "header a b": false, "query x": false, "header ": false, "cookie a;b": false} {
		_, err := ParseSessionKeySource(s)
		qt.Check(t, err == nil, qt.Equals, ok, qt.Commentf("%q", s))
	}
	k, _ := ParseSessionKeySource("header x-cart")
	qt.Assert(t, k.String(), qt.Equals, "header X-Cart")
}
