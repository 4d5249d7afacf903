package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// newApplication registers the commands, whose flags set the options.
func newApplication(e *endpointOptions, p *platformOptions) (app *kingpin.Application, platform *kingpin.CmdClause) {
	app = kingpin.New("fakeendpoint", "Stand-ins for what corkcove meets outside.")
	endpoint := app.Command("endpoint", "An application endpoint.").Default()
	endpoint.Flag("addr", "Where to listen: the sidecar's appAddr.").Required().StringVar(&e.address)
	endpoint.Flag("control", "The sidecar's controlAddr; none in a gateway.").StringVar(&e.controlAddress)
	endpoint.Flag("service", "Service name.").Required().StringVar(&e.service)
	endpoint.Flag("site", "Site name.").Default("one").StringVar(&e.zone)
	endpoint.Flag("slots", "Requests worked on at once.").Default("8").IntVar(&e.slots)
	endpoint.Flag("work", "Time a request takes.").Default("20ms").DurationVar(&e.workTime)
	endpoint.Flag("heartbeat", "Time between heartbeats.").Default("1s").DurationVar(&e.heartbeatInterval)
	// The name that --heartbeat had before.
	endpoint.Flag("beat", "").Hidden().DurationVar(&e.heartbeatInterval)
	platform = app.Command("platform", "A platform that lists endpoints.")
	platform.Flag("addr", "Where to listen: cloudApi.address.").Required().StringVar(&p.address)
	platform.Flag("endpoint", "service,site,address of an endpoint; may be repeated.").Required().StringsVar(&p.endpoints)
	platform.Flag("page", "Rows on a page.").Default("50").IntVar(&p.pageRows)
	return app, platform
}

func run(args []string) error {
	var e endpointOptions
	var p platformOptions
	app, platform := newApplication(&e, &p)
	if kingpin.MustParse(app.Parse(args)) == platform.FullCommand() {
		return runPlatform(p)
	}
	return runEndpoint(e)
}
