// Package requestlog records the requests that a node forwarded: the caller and
// target, the attempts and their endpoints, and the outcome. It does not record bodies,
// or header values that no policy or key uses.
//
// A Recorder keeps recent records in a ring buffer of fixed size. It also keeps the
// views and configurations that were in force during that time and samples of the retry
// budgets, which package replay needs to replay the requests. All data is in memory
// only. A Recorder is safe for concurrent use; its mutex is held only briefly. On a nil
// Recorder, all methods but Begin and End do nothing and return empty results.
package requestlog
