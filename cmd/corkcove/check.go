package main

import (
	"fmt"
	"os"

	"corkcove/internal/routeconfig"
	"corkcove/internal/settings"
)

func registerCheck(c *commandLine) {
	command := c.app.Command("check", "Check a settings file, or with --config a configuration; exit code 1 if it is wrong.")
	role := command.Flag("role", "Role whose settings are checked.").Default(roleSidecar).Enum(roleSidecar, roleCore, roleEdge)
	isConfig := command.Flag("config", "The file is an operator's configuration.").Bool()
	file := command.Arg("file", "The file.").Required().String()
	c.handle(command, func() error {
		if *isConfig {
			return checked(checkConfig(*file))
		}
		return checked(checkSettings(*file, *role))
	})
}

func checked(err error) error {
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
