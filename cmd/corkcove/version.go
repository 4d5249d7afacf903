package main

import (
	"fmt"
	"runtime"
)

func registerVersion(c *commandLine) {
	command := c.app.Command("version", "Print the release and Go versions.")
	c.handle(command, func() error {
		fmt.Println("corkcove", version, runtime.Version())
		return nil
	})
}
