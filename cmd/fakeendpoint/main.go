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

// newApplication returns the command-line parser, whose flags set e and p, and the
// platform command.
func newApplication(e *endpointOptions, p *platformOptions) (app *kingpin.Application, platform *kingpin.CmdClause) {
	app = kingpin.New("fakeendpoint", "Simulates the external systems that corkcove works with.")
	endpoint := app.Command("endpoint", "Runs an application endpoint.").Default()
	endpoint.Flag("addr", "Listen address: the sidecar's appAddr.").Required().StringVar(&e.address)
	endpoint.Flag("control", "The sidecar's controlAddr; omit it if there is no sidecar, as behind a gateway.").StringVar(&e.controlAddress)
	endpoint.Flag("service", "Service name.").Required().StringVar(&e.service)
	endpoint.Flag("site", "Site name.").Default("one").StringVar(&e.zone)
	endpoint.Flag("slots", "Maximum number of requests processed at once.").Default("8").IntVar(&e.slots)
	endpoint.Flag("work", "Processing time of a request.").Default("20ms").DurationVar(&e.processingTime)
	endpoint.Flag("heartbeat", "Time between heartbeats.").Default("1s").DurationVar(&e.heartbeatInterval)
	// --beat is the former name of --heartbeat and still accepted.
	endpoint.Flag("beat", "").Hidden().DurationVar(&e.heartbeatInterval)
	platform = app.Command("platform", "Runs a platform API that lists endpoints.")
	platform.Flag("addr", "Listen address: cloudApi.address in the settings.").Required().StringVar(&p.address)
	platform.Flag("endpoint", "Endpoint to list, as service,site,address; may be repeated.").Required().StringsVar(&p.endpoints)
	platform.Flag("page", "Maximum number of endpoints on a page.").Default("50").IntVar(&p.pageSize)
	return app, platform
}

// run parses the command line and runs the selected command.
func run(args []string) error {
	var e endpointOptions
	var p platformOptions
	app, platform := newApplication(&e, &p)
	if kingpin.MustParse(app.Parse(args)) == platform.FullCommand() {
		return runPlatform(p)
	}
	return runEndpoint(e)
}
