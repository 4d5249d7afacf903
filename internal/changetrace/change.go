package changetrace

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("changetrace")

// Kinds of changes that have a version of their own.
const (
	KindConfig = "configuration"
	KindView   = "view"
)

// SessionKind is the kind of the pins of a session, by its hashed key.
func SessionKind(key string) string { return "pin " + key }

// CellKind is the kind of the puts of a cell.
func CellKind(name string) string { return "cell " + name }

// What names a change on the command line and in requests between processes.
const (
	configPrefix  = "r"
	viewPrefix    = "view:"
	cellPrefix    = "key:"
	sessionPrefix = "pin:"
)

// Change names what an operator asks for.
type Change struct {
	Kind string
	// Version is 0 for a cell or a session: their newest change is meant.
	Version uint64
}

// ParseChange reads r12 (a configuration), view:9, key:group.name for the last
// put of a cell that is remembered, or pin:KEY for a session under its hashed
// key.
func ParseChange(s string) (Change, error) {
	if key, ok := strings.CutPrefix(s, sessionPrefix); ok && key != "" {
		return Change{Kind: SessionKind(key)}, nil
	}
	if name, ok := strings.CutPrefix(s, cellPrefix); ok && name != "" {
		return Change{Kind: CellKind(name)}, nil
	}
	kind, number, ok := cutVersionPrefix(s)
	if !ok {
		return Change{}, invalidChange(s)
	}
	version, err := strconv.ParseUint(number, 10, 64)
	if err != nil || version == 0 {
		return Change{}, invalidChange(s)
	}
	return Change{kind, version}, nil
}

func cutVersionPrefix(s string) (kind, number string, ok bool) {
	if number, ok := strings.CutPrefix(s, viewPrefix); ok {
		return KindView, number, true
	}
	number, ok = strings.CutPrefix(s, configPrefix)
	return KindConfig, number, ok
}

func invalidChange(s string) error {
	return Error.New("%q is no change: give a configuration such as r12, a view such as view:9, a key such as key:g1.a, or a session such as pin:0a1b", s)
}
