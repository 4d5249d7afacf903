// Package replay forecasts the effect of a configuration change on traffic by
// replaying recorded requests through the code that handles live ones.
//
// # Model
//
// A recording (meshpb.ReplayFile) holds the nodes' records of the requests that
// they forwarded within a time span: each request's deadline, headers, session
// and attempts with their outcomes, together with the views and configurations
// that were in effect. Simulate replays the recording twice in virtual time, once
// under the recorded configurations (the control run) and once under a proposal,
// and reports the differences per request, per route and per flow. How well the
// control run reproduces the recording determines whether the report is reliable.
//
// A simulation uses the same route table, load balancer, retry budget, attempt
// plan and session affinity as live traffic. Only the endpoints are modeled: an
// attempt that is in the recording ends as recorded; any other attempt gets a
// latency and an outcome that are estimated from the recorded attempts at that
// endpoint and on that route.
//
// A Forecast stores the expected distribution of each flow in a file. Once the
// change is live, Forecast.Compare compares it with a second recording and lists
// the shares whose difference cannot be explained by chance.
//
// # State
//
// A simulation owns all its state and runs on the goroutine that calls Simulate;
// callbacks run one at a time, in order of virtual time. The same seed produces
// the same sequence of events. The package never opens a connection, never reads
// the system clock, and writes only to the file passed to Forecast.Save or to the
// io.Writer passed to NewWriter.
package replay
