package main

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestErrorOutputFormats(t *testing.T) {
	cause := errors.New("it broke")
	for want, err := range map[string]error{
		"it broke":                printCheckResult(cause),
		"corkcove core: it broke": &roleError{roleCore, cause},
		"corkcove: it broke":      cause,
		"corkcove: x: it broke":   fmt.Errorf("x: %w", cause),
	} {
		qt.Check(t, errorOutput(err), qt.Equals, want)
		qt.Check(t, errors.Is(err, cause), qt.IsTrue)
	}
}
