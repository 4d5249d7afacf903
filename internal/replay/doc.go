// Package replay forecasts what a configuration change would do to traffic, by
// sending recorded requests through the code that decides for live ones.
//
// # Model
//
// A recording (meshpb.ReplayFile) holds what nodes remember of the requests that
// they forwarded in a span of time: each request's deadline, headers, session
// and attempts with their outcomes, and the views and configurations that were in
// force. Simulate plays the recording twice in virtual time, once under the
// recorded configurations (the control run) and once under a proposal, and
// reports what differs request by request, route by route and flow by flow. How
// well the control run reproduces the recording tells whether the report may be
// relied on.
//
// In a simulation the route table, the load balancer, the retry budget, the
// attempt plan and the session affinity are those of package proxy and its
// neighbours. Only the endpoints are models: an attempt that the recording has
// ends as it did, any other gets a latency and an outcome drawn from what the
// recording has of that endpoint and route.
//
// A Forecast keeps the expected distribution of each flow in a file. Once the
// change is live, Forecast.Compare holds it against a second recording and names
// the shares that lie outside what chance explains.
//
// # State
//
// A simulation owns all its state and runs on the goroutine that calls Simulate;
// callbacks run one at a time, in order of virtual time. The same seed gives the
// same sequence of events. The package never opens a connection, never reads the
// clock, and writes only the file that Forecast.Save or a Writer is given.
package replay
