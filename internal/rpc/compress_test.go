package rpc

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestUnpackRefusesWhatIsNoPack(t *testing.T) {
	s := strings.Repeat("bindingList", 1000)
	p := Pack([]byte(s))
	qt.Assert(t, len(p) < len(s)/10, qt.IsTrue)
	b, err := Unpack(p)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(b), qt.Equals, s)
	_, err = Unpack(p[:len(p)/2])
	qt.Assert(t, err, qt.IsNotNil)
}
