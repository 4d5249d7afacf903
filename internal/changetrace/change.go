package changetrace

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("changetrace")

// Kinds of versioned changes.
const (
	KindConfig = "configuration"
	KindView   = "view"
)

// SessionKind returns the kind of the pins of the session with the given hashed key.
func SessionKind(key string) string { return "pin " + key }

// CellKind returns the kind of the puts to the named cell (key-value pair).
func CellKind(name string) string { return "cell " + name }

// Prefixes that select the kind of a change on the command line and in requests
// between processes.
const (
	configPrefix  = "r"
	viewPrefix    = "view:"
	cellPrefix    = "key:"
	sessionPrefix = "pin:"
)

// Change identifies the change that an operator wants to trace.
type Change struct {
	// Kind is KindConfig, KindView, or the result of SessionKind or CellKind.
	Kind string
	// Version is the version of a configuration or view. It is 0 for a cell or session,
	// which selects the newest recorded version.
	Version uint64
}

// ParseChange parses the identifier of a change: r12 is version 12 of the
// configuration, view:9 is version 9 of the view, key:NAME is the newest recorded put
// to the cell NAME (such as group.name), and pin:KEY is the pin of the session with the
// hashed key KEY. NAME and KEY are not checked beyond being non-empty. ParseChange
// returns an Error for any other input, and for version 0.
func ParseChange(s string) (Change, error) {
	if key, ok := strings.CutPrefix(s, sessionPrefix); ok && key != "" {
		return Change{Kind: SessionKind(key)}, nil
	}
	if name, ok := strings.CutPrefix(s, cellPrefix); ok && name != "" {
		return Change{Kind: CellKind(name)}, nil
	}
	kind, number, ok := cutVersionPrefix(s)
	if !ok {
		return Change{}, invalidChangeError(s)
	}
	version, err := strconv.ParseUint(number, 10, 64)
	if err != nil || version == 0 {
		return Change{}, invalidChangeError(s)
	}
	return Change{kind, version}, nil
}

// cutVersionPrefix splits the identifier of a versioned change into its kind and
// the text of its version.
func cutVersionPrefix(s string) (kind, number string, ok bool) {
	if number, ok := strings.CutPrefix(s, viewPrefix); ok {
		return KindView, number, true
	}
	number, ok = strings.CutPrefix(s, configPrefix)
	return KindConfig, number, ok
}

func invalidChangeError(s string) error {
	return Error.New("invalid change %q: want a configuration such as r12, a view such as view:9, a key such as key:g1.a, or a session such as pin:0a1b", s)
}
