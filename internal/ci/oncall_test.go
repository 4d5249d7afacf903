package ci

import (
	"go/ast"
	"go/token"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// logLevels are the methods of logring.Logger and logring.Ring that take a
// message, and the subsection of the operators' page that explains it.
var logLevels = map[string]string{"Warn": warnings, "Flush": warnings, "Info": otherMessages}

const (
	warnings      = "### Warnings"
	otherMessages = "### Other messages"
)

// addMessages adds the texts of a file's log calls, each with its subsection.
func addMessages(messages map[string]string, file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || logLevels[method.Sel.Name] == "" {
			return true
		}
		// Package logring itself writes out through klog.
		if pkg, ok := method.X.(*ast.Ident); ok && pkg.Name == "klog" {
			return true
		}
		if text, ok := flatten(call.Args[0]); ok {
			messages[text] = logLevels[method.Sel.Name]
		}
		return true
	})
}

// flatten joins the literals of a concatenation, with `…` for what is no literal.
func flatten(e ast.Expr) (text string, literal bool) {
	switch x := e.(type) {
	case *ast.BasicLit:
		if x.Kind != token.STRING {
			return "", false
		}
		text, err := strconv.Unquote(x.Value)
		return text, err == nil
	case *ast.BinaryExpr:
		left, leftLiteral := flatten(x.X)
		right, rightLiteral := flatten(x.Y)
		if !leftLiteral {
			left = "…"
		}
		if !rightLiteral {
			right = "…"
		}
		return left + right, leftLiteral || rightLiteral
	}
	return "", false
}

// loggedMessages are the texts of log calls outside of tests, each with the
// subsection of the operators' page that explains it.
func loggedMessages(t *testing.T) map[string]string {
	t.Helper()
	messages := map[string]string{}
	eachFile(t, func(path string, file *ast.File) {
		if !strings.HasSuffix(path, "_test.go") {
			addMessages(messages, file)
		}
	})
	return messages
}

// onCall gives the messages in the tables of the operators' page, each with its
// subsection.
func onCall(t *testing.T) map[string]string {
	t.Helper()
	_, section, found := strings.Cut(pages(t)["docs/operators.md"], "\n## On call\n")
	qt.Assert(t, found, qt.IsTrue)
	section, _, _ = strings.Cut(section, "\n## ")
	out := map[string]string{}
	subsection := ""
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "### ") {
			subsection = strings.TrimSpace(line)
		}
		rest, found := strings.CutPrefix(line, "| `")
		if !found {
			continue
		}
		text, _, found := strings.Cut(rest, "` |")
		qt.Assert(t, found, qt.IsTrue, qt.Commentf("%s", line))
		qt.Check(t, out[text], qt.Equals, "", qt.Commentf("%q stands twice", text))
		out[text] = subsection
		cells := strings.Split(strings.Trim(line, "| \n"), " | ")
		qt.Check(t, cells, qt.HasLen, onCallColumns, qt.Commentf("%s", line))
	}
	return out
}

// onCallColumns: the message, what it means, what to look at, what to do.
const onCallColumns = 4

func TestOnCallPageExplainsEachLogMessage(t *testing.T) {
	messages := loggedMessages(t)
	listed := onCall(t)
	for text, subsection := range messages {
		qt.Check(t, listed[text], qt.Equals, subsection, qt.Commentf("the code logs %q; the operators' page has it elsewhere or not at all", text))
	}
	for text := range listed {
		qt.Check(t, messages[text], qt.Not(qt.Equals), "", qt.Commentf("the operators' page explains %q; no code logs it", text))
	}
	qt.Check(t, len(messages) > 20, qt.IsTrue, qt.Commentf("only %d messages found", len(messages)))
}
