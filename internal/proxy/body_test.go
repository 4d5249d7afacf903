package proxy

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRemainingBodyIsSentByOneAttemptOnly(t *testing.T) {
	body := &remainingBody{reader: strings.NewReader("abcdef")}
	buffer := make([]byte, 3)
	first := body.forAttempt()
	qt.Assert(t, body.endAttempt(), qt.IsFalse)
	_, err := first.Read(buffer)
	qt.Assert(t, err, qt.Equals, errAttemptEnded, qt.Commentf("the attempt ended before it read"))
	second := body.forAttempt()
	n, err := second.Read(buffer)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(buffer[:n]), qt.Equals, "abc")
	qt.Assert(t, body.endAttempt(), qt.IsTrue)
	_, err = second.Read(buffer)
	qt.Assert(t, err, qt.Equals, errAttemptEnded)
	var bufferedWhole *remainingBody
	qt.Assert(t, bufferedWhole.endAttempt(), qt.IsFalse)
}
