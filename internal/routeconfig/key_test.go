package routeconfig

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestKeysAreReadWhereTheRouteSays(t *testing.T) {
	header := func(n string) string { return map[string]string{"X-Coop": "c7"}[n] }
	for in, want := range map[string]string{"path 1": "final", "path 2": "seats", "path 3": "", "query co-op": "a%20b", "query nope": "", "header x-coop": "c7", "header X-No": ""} {
		k, err := ParseHotKeySource(in)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, k.Extract("/map/", "/map/final/seats", "x=1&co-op=a%20b&co-op=c", header), qt.Equals, want, qt.Commentf("%s", in))
	}
	for _, in := range []string{"path", "path 0", "path 33", "path x", "query", "query a=b", "header", "header a b", "cookie x", "body 1"} {
		_, err := ParseHotKeySource(in)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", in))
	}
	d := `{"stamp":"r1","resourceList":[{"variant":"bindingList","metadata":{"name":"b"},"specification":{"hostname":"a","pathPrefix":"/","bindingKind":"pure","serviceName":"s","hotKey":"path 1"}},
{"variant":"serviceList","metadata":{"name":"s"},"specification":{"soundnessPath":"/h"}}]}`
	c, err := Parse([]byte(d))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Resources[0].Route.HotKey.String(), qt.Equals, "path 1")
	_, err = Parse([]byte(strings.Replace(d, "path 1", "path one", 1)))
	qt.Assert(t, err, qt.ErrorMatches, ".*hotKey.*path one.*")
	o, _ := Parse([]byte(strings.Replace(d, `"r1"`, `"r9"`, 1)))
	qt.Assert(t, o.ContentDigest(), qt.Equals, c.ContentDigest())
	o, _ = Parse([]byte(strings.Replace(d, "path 1", "path 2", 1)))
	qt.Assert(t, o.ContentDigest() == c.ContentDigest(), qt.IsFalse)
}
