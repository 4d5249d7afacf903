package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"corkcove/internal/settings"
)

// globalOptions are the flags that all commands know.
type globalOptions struct {
	// settingsFile is empty if the environment names the file.
	settingsFile string
	// verbose writes log entries as they are logged.
	verbose bool
	// coreAddresses are the internal addresses of core nodes that tools ask.
	coreAddresses []string
	// json makes tools print JSON.
	json bool
}

// commandLine has the commands, and runs the one that was given.
type commandLine struct {
	app    *kingpin.Application
	global globalOptions
	// runs has for each full name of a command what runs it.
	runs map[string]func() error
}

func newCommandLine() *commandLine {
	c := &commandLine{
		app:  kingpin.New("corkcove", "A service mesh and API gateway: sidecars or edges carry the traffic, core nodes keep the control state."),
		runs: map[string]func() error{},
	}
	c.app.HelpFlag.Short('h')
	c.app.Flag("settings", "Settings file; default: the file named in "+settings.PathVariable+".").StringVar(&c.global.settingsFile)
	c.app.Flag("verbose", "Write each log entry out as it comes, not only on trouble.").BoolVar(&c.global.verbose)
	formerName(c.app, "chatty").BoolVar(&c.global.verbose)
	c.app.Flag("core", "Internal address of a core node, for the tools; may be repeated. Default: the seeds in the settings file.").StringsVar(&c.global.coreAddresses)
	c.app.Flag("json", "Tools print JSON.").BoolVar(&c.global.json)
	c.registerAll()
	return c
}

// registerAll registers the commands in the order of the help.
func (c *commandLine) registerAll() {
	registerSidecar(c)
	registerCore(c)
	registerEdge(c)
	registerCheck(c)
	registerVersion(c)
	registerStatus(c)
	registerTrace(c)
	registerState(c)
	registerSessions(c)
	registerHotKeys(c)
	registerReplay(c)
	registerEstimate(c)
}

// handle makes run run the command.
func (c *commandLine) handle(command *kingpin.CmdClause, run func() error) {
	c.runs[command.FullCommand()] = run
}

// handleTool makes run run a command that asks the core.
func (c *commandLine) handleTool(command *kingpin.CmdClause, run func(*coreClient) error) {
	c.handle(command, func() error {
		client, err := newCoreClient(&c.global)
		if err != nil {
			return err
		}
		return run(client)
	})
}

// run ends the process if the arguments can't be parsed.
func (c *commandLine) run(args []string) error {
	selected := kingpin.MustParse(c.app.Parse(args))
	return c.runs[selected]()
}

// printResult prints what a tool found: as JSON if that was asked for, else the
// text.
func (g *globalOptions) printResult(result any, text string) error {
	if !g.json {
		_, err := fmt.Print(text)
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

// flagParent is a command or the application.
type flagParent interface {
	Flag(name, help string) *kingpin.FlagClause
}

// formerName registers the name that a flag had in earlier releases. It goes on
// working and isn't shown in the help. Its variable is that of the flag, from
// which it has its default as well.
func formerName(parent flagParent, name string) *kingpin.FlagClause {
	return parent.Flag(name, "").Hidden()
}
