// Command soak runs cores of real processes under faults that are drawn from seeds, and
// reports the rules that their callers saw broken. See package soak.
package main
