// Package rpc carries the calls between corkcove processes: twirp over HTTP/1.1
// with protobuf bodies.
//
// Package meshpb has the generated messages and services. This package has what
// stands around them: transports with the timeouts that find dead peers, one
// client for each address (Clients), the table from generated methods to their
// paths on the wire (paths.go), and the compression of large messages. It keeps
// no state but the clients, starts no goroutine, and never repeats a call: a call
// without an answer may or may not have taken effect.
package rpc
