// Package soak runs a core of real processes under faults and judges what its callers
// saw.
//
// A run starts the members of a core on loopback addresses, with a TCP relay in front of
// each. A schedule, drawn from a seed, suspends, kills, stops and replaces members, takes
// their disks, and cuts or delays the links between them; faults come in series and
// overlap. Callers acquire, renew and release locks and draw numbers meanwhile and record
// each attempt in a history. They reach all members directly: their links are never cut.
//
// The checkers read only the histories. A violation is a case in which callers saw that a
// rule was broken; what the processes log is kept beside it, but decides nothing.
//
// A seed determines the schedule and the choices of the callers, but not when the
// operating system runs the processes, so a run with the same seed is similar, not equal.
package soak
