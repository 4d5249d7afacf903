package routeconfig

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSessionKeySourcesAreValidated(t *testing.T) {
	for text, valid := range map[string]bool{"": true, "header X-Cart": true, "cookie fan": true, "cookie": false, "header a b": false, "query x": false, "header ": false, "cookie a;b": false} {
		_, err := ParseSessionKeySource(text)
		qt.Check(t, err == nil, qt.Equals, valid, qt.Commentf("%q", text))
	}
	source, _ := ParseSessionKeySource("header x-cart")
	qt.Assert(t, source.String(), qt.Equals, "header X-Cart")
}
