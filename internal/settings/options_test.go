package settings

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const good = `
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

func TestEachWrongFieldIsNamed(t *testing.T) {
	for _, role := range []string{"core", "sidecar"} {
		o, err := Parse([]byte(good), role)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, o.InternalAddr(), qt.Equals, "127.0.0.1:7600")
		qt.Assert(t, o.Requirements.Bounds.HistorySeconds, qt.Equals, 20.0)
	}
	for _, x := range []struct{ old, new, why string }{
		{`nodeName = "n"`, ``, "self.nodeName is missing"},
		{`"127.0.0.1:2"`, `"here"`, `inboundAddr: "here"`},
		{`[7600, 7610]`, `[7610, 7600]`, "innerPortRange"},
		{`[7600, 7610]`, `7600`, "innerPortRange"},
		{`["127.0.0.1:1"]`, `[]`, "seedList"},
		{`graceS = 6`, `graceS = 0`, "graceS: 0 must be above 0"},
		{`graceS = 6`, `graceS = "six"`, "graceS"},
		{`serviceName = "shop"`, ``, "serviceName"},
		{`[network]`, `[network`, "line"},
		{`[network]`, "[hotSet]\nshare = 1.5\n[network]", "hotSet.share: 1.5 must be from 0.05 to 1"},
		{`[network]`, "[hotSet]\nmost = -1\n[network]", "hotSet.most"},
		{`[network]`, "[hotSet]\nmostWidth = 0\n[network]", "hotSet.mostWidth"},
		{`[network]`, "[hotSet]\nfallS = 0.1\n[network]", "hotSet.fallS"},
		{`[network]`, "[hotSet]\nslowStartS = -1\n[network]", "hotSet.slowStartS"},
	} {
		_, err := Parse([]byte(strings.Replace(good, x.old, x.new, 1)), "sidecar")
		qt.Check(t, err, qt.ErrorMatches, "(?s).*"+x.why+".*")
	}
}
