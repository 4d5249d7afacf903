package main

import (
	"errors"
	"fmt"
	"os"
)

// version is the version number of this release.
var version = "0.1.0"

func main() {
	if err := newCommandLine().run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, errorOutput(err))
		os.Exit(1)
	}
}

// roleError is an error that made the process of a role exit.
type roleError struct {
	role string
	err  error
}

func (e *roleError) Error() string { return e.role + ": " + e.err.Error() }

func (e *roleError) Unwrap() error { return e.err }

// checkError holds the problems that a check found in a file, one per line.
type checkError struct{ err error }

func (e *checkError) Error() string { return e.err.Error() }

func (e *checkError) Unwrap() error { return e.err }

// errorOutput formats an error for standard error. The findings of a check are
// printed unchanged because scripts parse them; other errors are prefixed with the
// program's name.
func errorOutput(err error) string {
	var checkErr *checkError
	if errors.As(err, &checkErr) {
		return checkErr.Error()
	}
	var roleErr *roleError
	if errors.As(err, &roleErr) {
		return "corkcove " + roleErr.Error()
	}
	return "corkcove: " + err.Error()
}
