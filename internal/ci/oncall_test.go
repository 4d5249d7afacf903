package ci

import (
	"go/ast"
	"go/token"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// sectionByLogMethod maps each method of logring.Logger and logring.Ring that takes a
// message to the subsection of the operators' page that explains the message.
var sectionByLogMethod = map[string]string{"Warn": warningsHeading, "Flush": warningsHeading, "Info": otherMessagesHeading}

const (
	warningsHeading      = "### Warnings"
	otherMessagesHeading = "### Other messages"
)

// addLogMessages adds the messages that a file logs, each with its subsection.
func addLogMessages(messages map[string]string, file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || sectionByLogMethod[method.Sel.Name] == "" {
			return true
		}
		// Package logring itself writes its output through klog.
		if pkg, ok := method.X.(*ast.Ident); ok && pkg.Name == "klog" {
			return true
		}
		if text, ok := messageText(call.Args[0]); ok {
			messages[text] = sectionByLogMethod[method.Sel.Name]
		}
		return true
	})
}

// messageText returns the text of a string expression, with `…` in place of each operand
// that is not a literal, and reports whether it contains a literal at all.
func messageText(e ast.Expr) (text string, literal bool) {
	switch x := e.(type) {
	case *ast.BasicLit:
		if x.Kind != token.STRING {
			return "", false
		}
		text, err := strconv.Unquote(x.Value)
		return text, err == nil
	case *ast.BinaryExpr:
		left, leftLiteral := messageText(x.X)
		right, rightLiteral := messageText(x.Y)
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

// loggedMessages returns the messages that code other than tests logs, each with the
// subsection of the operators' page that explains it.
func loggedMessages(t *testing.T) map[string]string {
	t.Helper()
	messages := map[string]string{}
	forEachGoFile(t, func(path string, file *ast.File) {
		if !strings.HasSuffix(path, "_test.go") {
			addLogMessages(messages, file)
		}
	})
	return messages
}

// documentedMessages returns the messages in the tables of the operators' page, each with
// its subsection.
func documentedMessages(t *testing.T) map[string]string {
	t.Helper()
	_, section, found := strings.Cut(readPages(t)["docs/operators.md"], "\n## On call\n")
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
		qt.Check(t, out[text], qt.Equals, "", qt.Commentf("the operators' page lists %q twice", text))
		out[text] = subsection
		cells := strings.Split(strings.Trim(line, "| \n"), " | ")
		qt.Check(t, cells, qt.HasLen, onCallColumns, qt.Commentf("%s", line))
	}
	return out
}

// onCallColumns is the number of columns of a table: the message, what it means, what to
// look at, what to do.
const onCallColumns = 4

// Guards against a log message that operators find no explanation for, and against an
// explanation of a message that the code no longer logs.
func TestOnCallPageExplainsEachLogMessage(t *testing.T) {
	messages := loggedMessages(t)
	listed := documentedMessages(t)
	for text, subsection := range messages {
		qt.Check(t, listed[text], qt.Equals, subsection, qt.Commentf("the code logs %q, but the operators' page lists it in another subsection or not at all", text))
	}
	for text := range listed {
		qt.Check(t, messages[text], qt.Not(qt.Equals), "", qt.Commentf("the operators' page explains %q, but no code logs it", text))
	}
	qt.Check(t, len(messages) > 20, qt.IsTrue, qt.Commentf("the code logs only %d messages, want more than 20", len(messages)))
}
