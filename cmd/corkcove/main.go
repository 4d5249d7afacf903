package main

import (
	"errors"
	"fmt"
	"os"
)

// version is the release.
var version = "0.1.0"

func main() {
	if err := newCommandLine().run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, errorOutput(err))
		os.Exit(1)
	}
}

// roleError is the error that ends a process of a role.
type roleError struct {
	role string
	err  error
}

func (e *roleError) Error() string { return e.role + ": " + e.err.Error() }

func (e *roleError) Unwrap() error { return e.err }

// checkError has what is wrong with a checked file, one line for each finding.
type checkError struct{ err error }

func (e *checkError) Error() string { return e.err.Error() }

func (e *checkError) Unwrap() error { return e.err }

// errorOutput is what is written to standard error: findings of a check as they
// are, for scripts that read them, and other errors after the program's name.
func errorOutput(err error) string {
	var finding *checkError
	if errors.As(err, &finding) {
		return finding.Error()
	}
	var ended *roleError
	if errors.As(err, &ended) {
		return "corkcove " + ended.Error()
	}
	return "corkcove: " + err.Error()
}
