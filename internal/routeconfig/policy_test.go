package routeconfig

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPolicyIsEvaluatedOnTheRequest(t *testing.T) {
	policy, err := CompilePolicy(`method in ["GET", "HEAD"] || bodyBytes < 1000 && header("X-Desk") startsWith "box"`)
	qt.Assert(t, err, qt.IsNil)
	header := func(value string) func(string) string { return func(string) string { return value } }
	for _, row := range []struct {
		input PolicyInput
		want  bool
	}{
		{PolicyInput{Method: "GET", Header: header("")}, true},
		{PolicyInput{Method: "POST", BodyBytes: 10, Header: header("box-1")}, true},
		{PolicyInput{Method: "POST", BodyBytes: 10, Header: header("till")}, false},
		{PolicyInput{Method: "POST", BodyBytes: 2000, Header: header("box-1")}, false},
	} {
		allowed, err := policy.Allows(row.input)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, allowed, qt.Equals, row.want)
	}
	failing, err := CompilePolicy(`[1][bodyBytes] == 1`)
	qt.Assert(t, err, qt.IsNil)
	allowed, err := failing.Allows(PolicyInput{BodyBytes: 7})
	qt.Check(t, allowed, qt.IsFalse)
	qt.Check(t, err, qt.IsNotNil)
}
