package main

import (
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	qt "github.com/frankban/quicktest"
)

// findFlag returns a flag of a command such as "replay run", or of the application
// if command is "".
func findFlag(t *testing.T, c *commandLine, command, name string) *kingpin.FlagModel {
	t.Helper()
	model := c.app.Model()
	flags, group := model.FlagGroupModel, model.CmdGroupModel
	for _, part := range strings.Fields(command) {
		for _, sub := range group.Commands {
			if sub.Name == part {
				flags, group = sub.FlagGroupModel, sub.CmdGroupModel
				break
			}
		}
	}
	for _, f := range flags.Flags {
		if f.Name == name {
			return f
		}
	}
	t.Fatalf("%q has no flag --%s", command, name)
	return nil
}

// A flag name of an earlier release must set the current flag, must not change its
// default, and must be hidden from the help.
func TestDeprecatedFlagNamesSetTheFlagAndAreHidden(t *testing.T) {
	for _, flag := range []struct {
		command, deprecated, name, value, set, defaultValue string
		args                                                []string
	}{
		{"", "chatty", "verbose", "", "true", "false", []string{"version"}},
		{"replay run", "options", "retry-settings", "file", "file", "", []string{"replay", "run", "f"}},
		{"replay run", "most", "limit", "7", "7", "40", []string{"replay", "run", "f"}},
		{"replay run", "off", "max-mismatch", "0.5", "0.5", "0.02", []string{"replay", "run", "f"}},
		{"replay run", "by-node", "per-node", "", "true", "false", []string{"replay", "run", "f"}},
		{"replay run", "settle", "warm-up", "3s", "3s", "0s", []string{"replay", "run", "f"}},
		{"replay compare", "miss", "false-alarm-rate", "0.2", "0.2", "0.01", []string{"replay", "compare", "f", "g"}},
		{"replay compare", "slack", "tolerance", "0.2", "0.2", "0.03", []string{"replay", "compare", "f", "g"}},
		{"replay compare", "least", "min-requests", "9", "9", "30", []string{"replay", "compare", "f", "g"}},
		{"replay compare", "settle", "warm-up", "3s", "3s", "1s", []string{"replay", "compare", "f", "g"}},
		{"replay compare", "any", "any-config", "", "true", "false", []string{"replay", "compare", "f", "g"}},
		{"replay compare", "most", "limit", "7", "7", "40", []string{"replay", "compare", "f", "g"}},
	} {
		t.Run(flag.command+" "+flag.deprecated, func(t *testing.T) {
			c := newCommandLine()
			_, err := c.app.Parse(flag.args)
			qt.Assert(t, err, qt.IsNil)
			current := findFlag(t, c, flag.command, flag.name)
			qt.Check(t, current.Value.String(), qt.Equals, flag.defaultValue)
			qt.Check(t, current.Hidden, qt.IsFalse)
			qt.Check(t, findFlag(t, c, flag.command, flag.deprecated).Hidden, qt.IsTrue)
			for _, name := range []string{flag.name, flag.deprecated} {
				c := newCommandLine()
				given := append(append([]string{}, flag.args...), "--"+name)
				if flag.value != "" {
					given = append(given, flag.value)
				}
				_, err := c.app.Parse(given)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, findFlag(t, c, flag.command, flag.name).Value.String(), qt.Equals, flag.set, qt.Commentf("--%s", name))
			}
		})
	}
}

// A command that is registered without a handler would parse and then panic.
func TestEachCommandHasAHandler(t *testing.T) {
	c := newCommandLine()
	var check func(prefix string, commands []*kingpin.CmdModel)
	check = func(prefix string, commands []*kingpin.CmdModel) {
		for _, command := range commands {
			name := strings.TrimSpace(prefix + " " + command.Name)
			if len(command.Commands) > 0 {
				check(name, command.Commands)
				continue
			}
			if name != "help" {
				qt.Check(t, c.handlers[name], qt.IsNotNil, qt.Commentf("%s", name))
			}
		}
	}
	check("", c.app.Model().Commands)
}
