// Package listen accepts connections. A Retrying listener keeps accepting after errors
// such as a lack of file descriptors.
//
// A listener's Accept is called by one goroutine. All other methods are safe for
// concurrent use.
package listen
