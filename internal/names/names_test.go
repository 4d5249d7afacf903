package names

import (
	"strings"
	"testing"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
)

// Guards against two names that share a key, and against names that no message can carry.
func FuzzEscapeIsReversibleAndValid(f *testing.F) {
	for _, name := range []string{"", "g1.2d", "café", "g1.caf\xe9", "\xff\xfe", "\x00", "\uf7e9", "\uf700", "\xf0\x9f\x98", "\ufffd", "a.\xc3.\xa9"} {
		f.Add(name, "\xe9")
	}
	f.Fuzz(func(t *testing.T, name, other string) {
		escaped := Escape(name)
		qt.Assert(t, utf8.ValidString(escaped), qt.IsTrue)
		qt.Assert(t, Unescape(escaped), qt.Equals, name)
		qt.Assert(t, utf8.ValidString(ForJSON(escaped)), qt.IsTrue)
		qt.Assert(t, Escape(other) == escaped, qt.Equals, other == name)
		qt.Assert(t, Escape(name+"."+other), qt.Equals, escaped+"."+Escape(other))
		if utf8.ValidString(name) && !strings.ContainsFunc(name, isEscape) {
			qt.Assert(t, escaped, qt.Equals, name)
			qt.Assert(t, ForJSON(escaped), qt.Equals, name)
		}
	})
}
