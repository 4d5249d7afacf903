// Package listen accepts connections. A Retrying listener keeps accepting after errors
// such as a lack of file descriptors. A Limiter keeps the connections of clients from
// using up the descriptors of the process.
//
// A listener's Accept is called by one goroutine. All other methods are safe for
// concurrent use. A Limiter's lock is held briefly, at the start and at the end of a
// request and of a connection, and never across a blocking operation.
package listen
