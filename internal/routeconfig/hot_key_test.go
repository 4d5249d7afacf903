package routeconfig

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestHotKeyIsExtractedFromItsSource(t *testing.T) {
	header := func(name string) string { return map[string]string{"X-Coop": "c7"}[name] }
	for text, want := range map[string]string{"path 1": "final", "path 2": "seats", "path 3": "", "query co-op": "a%20b", "query nope": "", "header x-coop": "c7", "header X-No": ""} {
		source, err := ParseHotKeySource(text)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, source.Extract("/map/", "/map/final/seats", "x=1&co-op=a%20b&co-op=c", header), qt.Equals, want, qt.Commentf("%s", text))
	}
	for _, text := range []string{"path", "path 0", "path 33", "path x", "query", "query a=b", "header", "header a b", "cookie x", "body 1"} {
		_, err := ParseHotKeySource(text)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", text))
	}
	data := `{"stamp":"r1","resourceList":[{"variant":"bindingList","metadata":{"name":"b"},"specification":{"hostname":"a","pathPrefix":"/","bindingKind":"pure","serviceName":"s","hotKey":"path 1"}},
{"variant":"serviceList","metadata":{"name":"s"},"specification":{"soundnessPath":"/h"}}]}`
	config, err := Parse([]byte(data))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, config.Resources[0].Route.HotKey, qt.Equals, HotKeySource{Location: HotKeyLocationPath, Segment: 1})
	_, err = Parse([]byte(strings.Replace(data, "path 1", "path one", 1)))
	qt.Assert(t, err, qt.ErrorMatches, ".*hotKey.*path one.*")
	other, _ := Parse([]byte(strings.Replace(data, `"r1"`, `"r9"`, 1)))
	qt.Assert(t, other.ContentDigest(), qt.Equals, config.ContentDigest())
	other, _ = Parse([]byte(strings.Replace(data, "path 1", "path 2", 1)))
	qt.Assert(t, other.ContentDigest() == config.ContentDigest(), qt.IsFalse)
}
