package settings

import (
	"reflect"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const validSettings = `
[self]
nodeName = "n"
ip = "127.0.0.1"
siteName = "s"
appAddr = "127.0.0.1:4"
serviceName = "shop"
dataDir = "/data"
unheardOf = { a = 1 }
[network]
innerPortRange = [7600, 7610]
seedList = ["127.0.0.1:1"]
[network.listenAddrs]
controlAddr = "127.0.0.1:1"
inboundAddr = "127.0.0.1:2"
outboundAddr = "127.0.0.1:3"
readyAddr = "127.0.0.1:5"
[termTable.boundSet]
graceS = 6
`

func TestInvalidFieldsAreReported(t *testing.T) {
	for _, role := range []string{"core", "sidecar"} {
		options, err := Parse([]byte(validSettings), role)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, options.InternalAddr(), qt.Equals, "127.0.0.1:7600")
		qt.Assert(t, options.Requirements.Bounds.HistorySeconds, qt.Equals, 20.0)
	}
	for _, row := range []struct{ old, new, want string }{
		{`nodeName = "n"`, ``, "self.nodeName is missing"},
		{`"127.0.0.1:2"`, `"here"`, `inboundAddr: "here"`},
		{`[7600, 7610]`, `[7610, 7600]`, "innerPortRange"},
		{`[7600, 7610]`, `7600`, "innerPortRange"},
		{`["127.0.0.1:1"]`, `[]`, "seedList"},
		{`graceS = 6`, `graceS = 0`, "graceS: 0 must be greater than 0"},
		{`graceS = 6`, `graceS = "six"`, "graceS"},
		{`serviceName = "shop"`, ``, "serviceName"},
		{`[network]`, `[network`, "line"},
		{`[network]`, "[hotSet]\nshare = 1.5\n[network]", "hotSet.share: 1.5 must be between 0.05 and 1"},
		{`[network]`, "[hotSet]\nmost = -1\n[network]", "hotSet.most"},
		{`[network]`, "[hotSet]\nmostWidth = 0\n[network]", "hotSet.mostWidth"},
		{`[network]`, "[hotSet]\nfallS = 0.1\n[network]", "hotSet.fallS"},
		{`[network]`, "[hotSet]\nslowStartS = -1\n[network]", "hotSet.slowStartS"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, row.old, row.new, 1)), "sidecar")
		qt.Check(t, err, qt.ErrorMatches, "(?s).*"+row.want+".*")
	}
}

// TestReportedFieldsExist guards against validation messages that name a field
// which no struct tag defines: the paths in the messages are written by hand.
func TestReportedFieldsExist(t *testing.T) {
	known := map[string]bool{}
	collectPaths(reflect.TypeFor[Options](), "", known)
	reported := 0
	for _, role := range []string{RoleCore, RoleEdge, RoleSidecar} {
		options := Options{Network: Network{Seeds: []string{""}}, Platform: Platform{Discovery: SourceCloud, Cloud: CloudAPI{MaxLagSeconds: -1}}}
		options.Self.Limits.MemoryMB, options.RequestLog.MaxRequests, options.Requirements.Bounds.RetryRatio = 1, -1, -1
		text := strings.TrimPrefix(options.Validate(role).Error(), "settings: ")
		for _, line := range strings.Split(text, "\n  ") {
			path := regexp.MustCompile(`^[A-Za-z.]+`).FindString(line)
			qt.Check(t, known[path], qt.IsTrue, qt.Commentf("%s: %s", role, line))
			reported++
		}
	}
	qt.Check(t, reported > 60, qt.IsTrue, qt.Commentf("%d fields reported", reported))
}

// collectPaths adds the dotted path of each field of section to paths.
func collectPaths(section reflect.Type, prefix string, paths map[string]bool) {
	for i := range section.NumField() {
		field := section.Field(i)
		path := prefix + field.Tag.Get("toml")
		paths[path] = true
		if field.Type.Kind() == reflect.Struct {
			collectPaths(field.Type, path+".", paths)
		}
	}
}

// Guards against a process that listens on an address of something in front of it, or that
// moves an address which is not its own.
func TestBindIPReplacesOwnAddressOnly(t *testing.T) {
	options, err := Parse([]byte(strings.Replace(validSettings, "[self]", "[self]\nbindIp = \"127.0.0.9\"", 1)), "core")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, options.BindAddrs(options.InternalAddr(), "127.0.0.1:1", "127.0.0.2:1", ""), qt.DeepEquals,
		[]string{"127.0.0.9:7600", "127.0.0.9:1", "127.0.0.2:1", ""})
	qt.Assert(t, Options{Self: Self{IP: "127.0.0.1"}}.BindAddr("127.0.0.1:1"), qt.Equals, "127.0.0.1:1")
	_, err = Parse([]byte(strings.Replace(validSettings, "[self]", "[self]\nbindIp = \"x\"", 1)), "core")
	qt.Assert(t, err, qt.ErrorMatches, "(?s).*self.bindIp.*")
}
