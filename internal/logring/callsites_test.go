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

var keyPattern = regexp.MustCompile(`^[a-z][a-zA-Z]*$`)

// isLoggerCall tells a call of Logger.Info or Logger.Warn from one of another
// type by what it is called on: a field or variable named Log or log, or a
// call of a function of that name.
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

// checkCall fails the test unless the message and the keys are constant and
// each key has a value.
func checkCall(t *testing.T, where token.Position, call *ast.CallExpr) {
	t.Helper()
	message, ok := stringLiteral(call.Args[0])
	if !ok || strings.Contains(message, "%") {
		t.Errorf("%v: the message is not a constant text", where)
	}
	if len(call.Args)%2 != 1 {
		t.Errorf("%v: a key has no value", where)
	}
	for i := 1; i < len(call.Args); i += 2 {
		if key, ok := stringLiteral(call.Args[i]); !ok || !keyPattern.MatchString(key) {
			t.Errorf("%v: argument %d is not a key", where, i)
		}
	}
}

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
	qt.Assert(t, calls >= 25, qt.IsTrue, qt.Commentf("only %d calls were found", calls))
}
