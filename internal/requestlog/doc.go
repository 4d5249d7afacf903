// Package requestlog keeps a record of the requests that a node carried: who
// asked what, at which endpoints it was tried, and how it ended. Bodies are not
// kept, nor header values that no policy or key asked for.
//
// A Recorder holds the records of a bounded time in a ring of bounded size, and
// beside them the views and configurations that were in force meanwhile and
// samples of the retry budget, so that package replay can play the requests
// again. It keeps everything in memory only. One short lock guards it; any
// goroutine may call it, and a nil Recorder keeps nothing.
package requestlog
