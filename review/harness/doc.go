// Package harness starts the project's programs as separate processes on loopback
// addresses, and has stand-ins for the endpoints and clients of a small deployment.
// The cases under review use it; nothing else does.
package harness
