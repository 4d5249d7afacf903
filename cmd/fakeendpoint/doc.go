// Command fakeendpoint is what corkcove meets outside, to try it with: an
// application endpoint, which sends heartbeats to the sidecar beside it, works on
// each request for a while and seals its answers; or a platform that lists such
// endpoints.
package main
