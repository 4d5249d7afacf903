package routeconfig

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLongestPrefixOfTheRawPathMatches(t *testing.T) {
	config, err := Parse([]byte(validConfig))
	qt.Assert(t, err, qt.IsNil)
	table := Compile(config)
	for path, want := range map[string]string{"/x/": "b1", "/x/q": "b1", "/x/y": "b1", "/x/y/": "b2", "/x/y/z?a=/": "b2", "/x": "", "/": "", "/x/../x/y/": "b1"} {
		route := table.Match("A.EXAMPLE:80", path)
		if want == "" {
			qt.Check(t, route, qt.IsNil, qt.Commentf("%s", path))
			continue
		}
		qt.Check(t, route.Name, qt.Equals, want, qt.Commentf("%s", path))
	}
	qt.Check(t, table.Match("b.example", "/x/"), qt.IsNil)
	route := table.Match("a.example", "/x/")
	picked := [2]int{}
	for i := 0; i < 1000; i++ {
		service, ok := route.PickService(float64(i) / 1000)
		qt.Assert(t, ok, qt.IsTrue)
		picked[service]++
	}
	qt.Check(t, picked, qt.Equals, [2]int{900, 100})
}
