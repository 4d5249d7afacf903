package main

import (
	"fmt"
	"os"
)

// version is the release.
var version = "0.1.0"

func main() {
	if err := newCommandLine().run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "corkcove: "+err.Error())
		os.Exit(1)
	}
}
