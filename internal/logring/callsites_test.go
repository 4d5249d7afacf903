package logring

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// keyPattern is the form of a key: letters only, in lower camel case.
var keyPattern = regexp.MustCompile(`^[a-z][a-zA-Z]*$`)

// isLoggerCall reports whether a call is one of Logger.Info or Logger.Warn. It goes
// by the name of the receiver, as types are not resolved: a variable, field or
// function call named Log or log, in any case.
func isLoggerCall(call *ast.CallExpr) bool {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Info" && method.Sel.Name != "Warn" {
		return false
	}
	receiver := method.X
	if c, ok := receiver.(*ast.CallExpr); ok {
		receiver = c.Fun
	}
	switch x := receiver.(type) {
	case *ast.Ident:
		return strings.EqualFold(x.Name, "log")
	case *ast.SelectorExpr:
		return strings.EqualFold(x.Sel.Name, "log")
	}
	return false
}

func stringLiteral(x ast.Expr) (string, bool) {
	literal, ok := x.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// checkCall fails the test unless the message and the keys are string literals,
// the message has no formatting verb and each key has a value.
func checkCall(t *testing.T, where token.Position, call *ast.CallExpr) {
	t.Helper()
	message, ok := stringLiteral(call.Args[0])
	if !ok || strings.Contains(message, "%") {
		t.Errorf("%v: the message is not a string literal, or it contains %%", where)
	}
	if len(call.Args)%2 != 1 {
		t.Errorf("%v: the last key has no value", where)
	}
	for i := 1; i < len(call.Args); i += 2 {
		if key, ok := stringLiteral(call.Args[i]); !ok || !keyPattern.MatchString(key) {
			t.Errorf("%v: argument %d is not a string literal in lower camel case", where, i)
		}
	}
}

// Guards against messages built at run time and keys without a value. Both
// compile, so the test parses the source of all packages.
func TestCallSitesHaveConstantMessagesAndPairs(t *testing.T) {
	calls := 0
	for _, root := range []string{"../../cmd", "../../internal"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok && isLoggerCall(call) {
					calls++
					checkCall(t, files.Position(call.Pos()), call)
				}
				return true
			})
			return nil
		})
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, calls >= 25, qt.IsTrue, qt.Commentf("found only %d log calls", calls))
}
