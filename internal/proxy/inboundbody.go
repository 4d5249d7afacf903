package proxy

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// ContinueTimeout is the http.Transport.ExpectContinueTimeout for requests to sidecars. It
// exceeds all deadlines, so that a sidecar receives the part of a body that its peer has not
// buffered only when the endpoint has a slot for the request. In the socket, that part would
// hide the close of the connection.
const ContinueTimeout = time.Hour

// maxQueuedBody is the size in bytes of the bodies that are read whole while their
// requests wait for a slot. Other nodes send no larger ones without an Expect header.
const maxQueuedBody = 256 << 10

// inboundBody is what was read of the body of a request that had to wait for a slot.
//
// net/http notices that the calling node has closed the connection only once the body
// has been read to its end. A request that waits with its body unread would be forwarded
// although its client has disconnected.
type inboundBody struct {
	// queued is set if the request had to wait for a slot.
	queued bool
	// prefix is the start of the body, or all of it if complete is set.
	prefix   []byte
	complete bool
	// err is the error of reading the prefix.
	err error
}

// reader returns a reader of the whole body.
func (b *inboundBody) reader(request *http.Request) io.Reader {
	if b.complete {
		return bytes.NewReader(b.prefix)
	}
	rest := io.Reader(request.Body)
	if len(b.prefix) == 0 {
		return limitToLength(rest, request.ContentLength)
	}
	if request.ContentLength < 0 {
		return io.MultiReader(bytes.NewReader(b.prefix), rest)
	}
	return io.MultiReader(bytes.NewReader(b.prefix), limitToLength(rest, request.ContentLength-int64(len(b.prefix))))
}

// readsWholeBodyInQueue reports whether the body is read to its end if the request has to
// wait for a slot: it is not large, and the calling node does not wait for a 100 Continue
// response.
func (r *inboundRequest) readsWholeBodyInQueue() bool {
	return r.request.ContentLength <= maxQueuedBody && r.request.Header.Get("Expect") == ""
}

// Queued implements endpointagent.QueueObserver. It reads the body, except one that
// readsWholeBodyInQueue excludes.
func (r *inboundRequest) Queued() {
	r.body.queued = true
	if r.readsWholeBodyInQueue() {
		r.readPrefix(maxQueuedBody)
	}
}

// readFirstPart reads the start of a body that has not been read yet, before the request
// is forwarded. It returns false if that fails, most likely because the calling node has
// closed the connection.
func (r *inboundRequest) readFirstPart() bool {
	if r.body.err == nil && len(r.body.prefix) == 0 {
		r.readPrefix(copyBufferSize)
	}
	return r.body.err == nil
}

// readPrefix reads up to limit bytes of the body.
func (r *inboundRequest) readPrefix(limit int) {
	setReadDeadline(r.writer, r.deadline)
	r.body.prefix, r.body.complete, r.body.err = readPrefix(r.request.Body, r.request.ContentLength, limit)
}
