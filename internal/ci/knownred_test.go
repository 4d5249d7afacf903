// Package ci tests the scripts in .ci and checks that the documentation matches the code.
package ci

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	// knownRedOne and knownRedTwo are well-formed entries of KNOWN-RED.txt for the
	// tests that the go command of runKnownRed declares.
	knownRedOne = "TestOne; go test ./internal/pkg -run TestOne -count=60; 1 of 60: got 6 patches, want 5; #20\n"
	knownRedTwo = "TestTwo; go test ./internal/pkg -run '^TestTwo$' -cpu 1,4 -seed 7; no answer, then a late one; #5\n"
	// maxEntryChars is the longest entry that .ci/known-red accepts, in characters.
	maxEntryChars = 300
	// goCallPrefix begins each line that the go command of runKnownRed prints about
	// its arguments.
	goCallPrefix = "go called: "
)

// knownRedVerbs are the subcommands of .ci/known-red.
var knownRedVerbs = []string{"check", "skip", "run"}

// writeFile writes an executable file into the directory.
func writeFile(t *testing.T, directory, name, text string) {
	t.Helper()
	qt.Assert(t, os.WriteFile(filepath.Join(directory, name), []byte(text), 0o700), qt.IsNil)
}

// runKnownRed runs .ci/known-red in the directory, with a go command that declares
// TestOne to TestFive, prints how it is called and fails unless it lists tests.
func runKnownRed(t *testing.T, directory, verb string) (stdout, stderr string, err error) {
	t.Helper()
	return runKnownRedWithGo(t, directory, verb, "printf '%s\\n' TestOne TestTwo TestThree TestFour TestFive\n"+
		"echo \""+goCallPrefix+"$*\"\n"+
		"[ \"$2\" = -list ]\n")
}

// runKnownRedWithGo runs .ci/known-red in the directory, with a go command that runs
// the shell commands of goScript. It returns the standard output and the standard error
// separately.
func runKnownRedWithGo(t *testing.T, directory, verb, goScript string) (stdout, stderr string, err error) {
	t.Helper()
	binDir := t.TempDir()
	writeFile(t, binDir, "go", "#!/bin/sh\n"+goScript)
	script, err := filepath.Abs("../../.ci/known-red")
	qt.Assert(t, err, qt.IsNil)
	command := exec.Command(script, verb)
	command.Dir = directory
	command.Env = append(os.Environ(), "PATH="+binDir+":"+os.Getenv("PATH"))
	var outText, errText strings.Builder
	command.Stdout, command.Stderr = &outText, &errText
	err = command.Run()
	return outText.String(), errText.String(), err
}

// knownRedEntry returns a well-formed entry of that many characters for TestOne.
func knownRedEntry(characters int, fill string) string {
	const start, end = "TestOne; go test -run TestOne; ", "; #4"
	return start + strings.Repeat(fill, characters-len(start)-len(end)) + end + "\n"
}

// Guards against a list that CI rejects although each of its entries is well formed,
// so that a known failure cannot be recorded.
func TestKnownRedAcceptsWellFormedEntries(t *testing.T) {
	var five strings.Builder
	for _, number := range []string{"One", "Two", "Three", "Four", "Five"} {
		fmt.Fprintf(&five, "Test%s; go test -run Test%s; late, by 2 s; #4\n", number, number)
	}
	for name, list := range map[string]string{
		"one entry":                     knownRedOne,
		"two entries":                   knownRedOne + knownRedTwo,
		"more than three entries":       five.String(),
		"no newline at the end":         knownRedOne + strings.TrimSuffix(knownRedTwo, "\n"),
		"separator without its space":   "TestOne; go test -run 'TestOne|TestTwo';true; seen;once; #4\n",
		"longest entry":                 knownRedEntry(maxEntryChars, "x"),
		"longest entry, not ASCII":      knownRedEntry(maxEntryChars, "é"),
		"longest entry, 4-byte letters": knownRedEntry(maxEntryChars, "𝛼"),
	} {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			writeFile(t, directory, "KNOWN-RED.txt", list)
			stdout, stderr, err := runKnownRed(t, directory, "check")
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", stderr))
			qt.Assert(t, stdout, qt.Equals, "")
			qt.Assert(t, stderr, qt.Equals, "")
		})
	}
}

// Guards against a malformed list that is taken for a shorter or a different one, so
// that CI skips a test without a record of how it fails. Each subcommand has to reject
// the list before it calls go, and to name the file, the line and the problem.
func TestKnownRedRejectsMalformedLists(t *testing.T) {
	tests := []struct {
		name, list string
		line       int
		problem    string
	}{
		{"empty file", "", 1, "the file is empty, want at least one entry"},
		{"empty line only", "\n", 1, "the line is empty, want an entry"},
		{"blank line only", " \t", 1, "the line is empty, want an entry"},
		{"empty line at the end", knownRedOne + "\n", 2, "the line is empty, want an entry"},
		{"empty line between entries", knownRedOne + "\n" + knownRedTwo, 2, "the line is empty, want an entry"},
		{"former form with commas", "TestOne, a lost wake-up, #4\n", 1, "the entry has 1 field, want 4"},
		{"three fields", knownRedOne + "TestTwo; go test -run TestTwo; #5\n", 2, "the entry has 3 fields, want 4"},
		{"five fields", "TestOne; go test -run TestOne; late; wrong; #4\n", 1, "the entry has 5 fields, want 4"},
		{"separators without spaces", "TestOne;go test -run TestOne;late;#4\n", 1, "the entry has 1 field, want 4"},
		{"no test", "; go test -run TestOne; late; #4\n", 1, "the test is empty"},
		{"no command", "TestOne; ; late; #4\n", 1, "the command is empty"},
		{"blank command", "TestOne;   ; late; #4\n", 1, "the command is empty"},
		{"no observation", "TestOne; go test -run TestOne; ; #4\n", 1, "the observation is empty"},
		{"blank observation", "TestOne; go test -run TestOne; \t ; #4\n", 1, "the observation is empty"},
		{"no issue", "TestOne; go test -run TestOne; late; \n", 1, "the issue is empty"},
		{"pattern of tests", "TestOne.*; go test -run TestOne.*; late; #4\n", 1, `the test is "TestOne.*", want`},
		{"subtest", "TestOne/slow; go test -run TestOne/slow; late; #4\n", 1, `the test is "TestOne/slow", want`},
		{"two tests", "TestOne|TestTwo; go test -run 'TestOne|TestTwo'; late; #4\n", 1, `the test is "TestOne|TestTwo", want`},
		{"not a test", "One; go test -run One; late; #4\n", 1, `the test is "One", want`},
		{"indented entry", " " + knownRedOne, 1, `the test is " TestOne", want`},
		{"command for another test", "TestOne; go test -run TestTwo; late; #4\n", 1, "the command does not name the test TestOne: go test -run TestTwo"},
		{"command for a test with a longer name", "TestOne; go test -run TestOneMore; late; #4\n", 1, "the command does not name the test TestOne: go test -run TestOneMore"},
		{"command for a test with a longer start", "TestOne; go test -run MyTestOne; late; #4\n", 1, "the command does not name the test TestOne: go test -run MyTestOne"},
		{"issue without #", "TestOne; go test -run TestOne; late; 4\n", 1, `the issue is "4", want # and digits`},
		{"issue without a number", "TestOne; go test -run TestOne; late; #\n", 1, `the issue is "#", want # and digits`},
		{"issue with a letter", "TestOne; go test -run TestOne; late; #4a\n", 1, `the issue is "#4a", want # and digits`},
		{"two issues", "TestOne; go test -run TestOne; late; #4 #5\n", 1, `the issue is "#4 #5", want # and digits`},
		{"carriage return", strings.Replace(knownRedOne, "\n", "\r\n", 1), 1, "the issue is \"#20\r\", want # and digits"},
		{"too long", knownRedTwo + knownRedEntry(maxEntryChars+1, "x"), 2, "the entry has 301 characters, want at most 300"},
		{"too long, not ASCII", knownRedEntry(maxEntryChars+1, "é"), 1, "the entry has 301 characters, want at most 300"},
		{"duplicate", knownRedOne + knownRedTwo + knownRedOne, 3, "the test TestOne is already listed on line 1"},
		{"duplicate with another issue", knownRedOne + "TestOne; go test -run TestOne; late; #6\n", 2, "the test TestOne is already listed on line 1"},
		{"fourth entry", knownRedOne + knownRedTwo + "TestThree; go test -run TestThree; late; #6\nTestFour, late, #7\n", 4, "the entry has 1 field, want 4"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			directory := t.TempDir()
			writeFile(t, directory, "KNOWN-RED.txt", test.list)
			for _, verb := range knownRedVerbs {
				stdout, stderr, err := runKnownRed(t, directory, verb)
				qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", verb))
				qt.Check(t, stdout, qt.Equals, "", qt.Commentf("%s", verb))
				want := fmt.Sprintf("known-red %s: KNOWN-RED.txt:%d: %s", verb, test.line, test.problem)
				qt.Check(t, strings.HasPrefix(stderr, want), qt.IsTrue, qt.Commentf("got %q, want %q", stderr, want))
				qt.Check(t, strings.Count(stderr, "\n"), qt.Equals, 1, qt.Commentf("%s: %s", verb, stderr))
			}
		})
	}
}

// Guards against an entry that outlives its test: the list would then name a failure
// that no run can show.
func TestKnownRedRejectsTestsThatDoNotExist(t *testing.T) {
	for name, missing := range map[string]string{
		"unknown":              "TestSix",
		"start of a real test": "TestTh",
		"other case":           "TestONE",
	} {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			writeFile(t, directory, "KNOWN-RED.txt", knownRedOne+missing+"; go test -run "+missing+"; late; #6\n"+knownRedTwo)
			stdout, stderr, err := runKnownRed(t, directory, "check")
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, stdout, qt.Equals, "")
			qt.Assert(t, stderr, qt.Equals, "known-red check: KNOWN-RED.txt:2: the test "+missing+" does not exist\n")
		})
	}
}

// Guards against a tree without known failures that fails in CI because it has no list.
func TestKnownRedNeedsNoList(t *testing.T) {
	for _, verb := range knownRedVerbs {
		stdout, stderr, err := runKnownRed(t, t.TempDir(), verb)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", verb))
		qt.Check(t, stdout+stderr, qt.Equals, "", qt.Commentf("%s", verb))
	}
}

// Guards against a known failure that disappears from CI's output, and against one
// that fails CI: the command "known-red run" prints each entry, runs each listed test
// and no other, and succeeds although go test fails.
func TestKnownRedRunsOnlyTheListedTests(t *testing.T) {
	directory := t.TempDir()
	list := knownRedOne + strings.TrimSuffix(knownRedTwo, "\n")
	writeFile(t, directory, "KNOWN-RED.txt", list)
	stdout, stderr, err := runKnownRed(t, directory, "run")
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", stderr))
	qt.Assert(t, strings.Contains(stdout, list+"\n"), qt.IsTrue, qt.Commentf("%s", stdout))
	qt.Assert(t, strings.Count(stdout, goCallPrefix), qt.Equals, 1, qt.Commentf("%s", stdout))
	qt.Assert(t, strings.Contains(stdout, goCallPrefix+"test -race -run ^(TestOne|TestTwo)$ ./...\n"), qt.IsTrue, qt.Commentf("%s", stdout))
}

// Guards against CI output in which the listed tests are lost among the packages that
// have none of them, and against a "known-red run" that fails because nothing else is
// left to print.
func TestKnownRedRunOmitsPackagesWithoutListedTests(t *testing.T) {
	directory := t.TempDir()
	writeFile(t, directory, "KNOWN-RED.txt", knownRedOne)
	stdout, stderr, err := runKnownRedWithGo(t, directory, "run",
		"echo '?   pkg [no test files]'\necho 'ok  pkg 0.1s [no tests to run]' >&2\n")
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", stderr))
	qt.Assert(t, stdout, qt.Equals, "Tests that are known to fail (KNOWN-RED.txt):\n"+knownRedOne)
	qt.Assert(t, stderr, qt.Equals, "")
}

// Guards against a pattern that makes go test skip more than the listed tests, which
// would hide failures that nobody recorded.
func TestKnownRedSkipsOnlyTheListedTests(t *testing.T) {
	directory := t.TempDir()
	writeFile(t, directory, "KNOWN-RED.txt", knownRedOne+knownRedTwo)
	pattern, stderr, err := runKnownRed(t, directory, "skip")
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", stderr))
	qt.Assert(t, pattern, qt.Equals, "^(TestOne|TestTwo)$")

	// The listed tests fail here, so that they cannot run unnoticed.
	writeFile(t, directory, "go.mod", "module skipped\n")
	writeFile(t, directory, "skipped_test.go", `package skipped

import "testing"

func TestOne(t *testing.T)     { t.Fail() }
func TestTwo(t *testing.T)     { t.Fail() }
func TestOneMore(t *testing.T) { t.Run("TestOne", func(*testing.T) {}) }
func TestThree(*testing.T)     {}
func Test_TestTwo(*testing.T)  {}
`)
	// The flag replaces a -skip that CI may have set in GOFLAGS.
	command := exec.Command("go", "test", "-v", "-skip="+pattern, "./...")
	command.Dir = directory
	output, err := command.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	for _, name := range []string{"TestOneMore", "TestOneMore/TestOne", "TestThree", "Test_TestTwo"} {
		qt.Check(t, strings.Contains(string(output), "--- PASS: "+name+" ("), qt.IsTrue, qt.Commentf("%s: %s", name, output))
	}
	qt.Check(t, strings.Count(string(output), "=== RUN "), qt.Equals, 4, qt.Commentf("%s", output))
}
