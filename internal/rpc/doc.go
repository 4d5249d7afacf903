// Package rpc implements the calls between corkcove processes: Twirp over
// HTTP/1.1 with protobuf bodies.
//
// Package meshpb contains the generated messages and services. This package adds
// transports whose timeouts detect dead peers, a cache of clients by address
// (Clients), the mapping from generated methods to their wire paths (paths.go),
// and the compression of large messages. It has no state other than the cached
// clients, starts no goroutines, and never retries a call: a call without a
// response may or may not have taken effect.
package rpc
