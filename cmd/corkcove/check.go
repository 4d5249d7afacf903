package main

import (
	"fmt"
	"os"

	"corkcove/internal/routeconfig"
	"corkcove/internal/settings"
)

func registerCheck(c *commandLine) {
	command := c.app.Command("check", "Validate a settings file or, with --config, a mesh configuration. Exits with code 1 if it is invalid.")
	role := command.Flag("role", "Role that the settings file is for.").Default(roleSidecar).Enum(roleSidecar, roleCore, roleEdge)
	isConfig := command.Flag("config", "Validate the file as a mesh configuration in JSON.").Bool()
	file := command.Arg("file", "File to validate.").Required().String()
	c.handle(command, func() error {
		if *isConfig {
			return printCheckResult(checkConfig(*file))
		}
		return printCheckResult(checkSettings(*file, *role))
	})
}

// printCheckResult prints "ok" if err is nil and wraps it in a checkError
// otherwise.
func printCheckResult(err error) error {
	if err != nil {
		return &checkError{err}
	}
	fmt.Println("ok")
	return nil
}

func checkSettings(file, role string) error {
	_, err := settings.Load(file, role)
	return err
}

func checkConfig(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	_, err = routeconfig.Parse(data)
	return err
}
