package proxy

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRemainingBodyIsSentByOneAttemptOnly(t *testing.T) {
	o := &remainingBody{reader: strings.NewReader("abcdef")}
	b := make([]byte, 3)
	early := o.forAttempt()
	qt.Assert(t, o.endAttempt(), qt.IsFalse)
	_, err := early.Read(b)
	qt.Assert(t, err, qt.Equals, errAttemptEnded, qt.Commentf("its dispatch was over before it read"))
	now := o.forAttempt()
	n, err := now.Read(b)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(b[:n]), qt.Equals, "abc")
	qt.Assert(t, o.endAttempt(), qt.IsTrue)
	_, err = now.Read(b)
	qt.Assert(t, err, qt.Equals, errAttemptEnded)
	var none *remainingBody
	qt.Assert(t, none.endAttempt(), qt.IsFalse)
}
