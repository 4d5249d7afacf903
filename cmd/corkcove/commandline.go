package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"corkcove/internal/settings"
)

// globalOptions holds the flags shared by all commands.
type globalOptions struct {
	// settingsFile is the path of the settings file; if empty, the environment
	// variable settings.PathVariable gives the path.
	settingsFile string
	// verbose writes each log entry immediately.
	verbose bool
	// coreAddresses are the internal addresses of the core nodes that the tools
	// query.
	coreAddresses []string
	// json makes the tools print JSON instead of text.
	json bool
}

// commandLine registers all commands and runs the selected one.
type commandLine struct {
	app    *kingpin.Application
	global globalOptions
	// handlers maps the full name of a command to its handler.
	handlers map[string]func() error
}

func newCommandLine() *commandLine {
	c := &commandLine{
		app:      kingpin.New("corkcove", "A service mesh and API gateway: sidecars and edges proxy the traffic, core nodes store the control state."),
		handlers: map[string]func() error{},
	}
	c.app.HelpFlag.Short('h')
	c.app.Flag("settings", "Path of the settings file. Default: the value of "+settings.PathVariable+".").StringVar(&c.global.settingsFile)
	c.app.Flag("verbose", "Write each log entry immediately, not only when a problem occurs.").BoolVar(&c.global.verbose)
	deprecatedFlag(c.app, "chatty").BoolVar(&c.global.verbose)
	c.app.Flag("core", "Internal address of a core node that the tools query; may be repeated. Default: the seeds in the settings file.").StringsVar(&c.global.coreAddresses)
	c.app.Flag("json", "Print the output of tools as JSON.").BoolVar(&c.global.json)
	c.registerAll()
	return c
}

// registerAll registers the commands in the order in which the help lists them.
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

// handle sets the handler of a command.
func (c *commandLine) handle(command *kingpin.CmdClause, run func() error) {
	c.handlers[command.FullCommand()] = run
}

// handleTool sets the handler of a command that queries the core.
func (c *commandLine) handleTool(command *kingpin.CmdClause, run func(*coreClient) error) {
	c.handle(command, func() error {
		client, err := newCoreClient(&c.global)
		if err != nil {
			return err
		}
		return run(client)
	})
}

// run parses the arguments and runs the selected command. It exits the process
// if the arguments are invalid.
func (c *commandLine) run(args []string) error {
	selected := kingpin.MustParse(c.app.Parse(args))
	return c.handlers[selected]()
}

// printResult prints the result of a tool as JSON if --json was given, and as
// text otherwise.
func (g *globalOptions) printResult(result any, text string) error {
	if !g.json {
		_, err := fmt.Print(text)
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

// flagParent is what flags are registered on: a command or the application.
type flagParent interface {
	Flag(name, help string) *kingpin.FlagClause
}

// deprecatedFlag registers the name that a flag had in earlier releases. The old
// name still works but is hidden from the help. The caller binds it to the
// variable of the current flag, which also supplies the default.
func deprecatedFlag(parent flagParent, name string) *kingpin.FlagClause {
	return parent.Flag(name, "").Hidden()
}
