// Command fakeendpoint simulates the external systems that corkcove works with, for
// trials. It runs either an application endpoint, which sends heartbeats to its
// sidecar, takes a fixed time for each request and sets the X-Server-Seal header on
// its responses, or a platform API that lists such endpoints.
package main
