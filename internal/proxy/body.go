package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// copyBufferSize is the size in bytes of the buffers for copying bodies.
	copyBufferSize = 32 << 10
	// initialBufferSize limits the first allocation, in bytes, for the prefix of a body
	// whose length is unknown or over the limit of readPrefix.
	initialBufferSize = 8 << 10
	// maxDrainedBytes is the maximum number of bytes that are read of a discarded
	// response's body. If that is the whole body, its connection can be reused.
	maxDrainedBytes = 64 << 10
	// transferGrace is added to a request's deadline to get the deadlines for reading
	// its body and for writing its response.
	transferGrace = 20 * time.Millisecond
)

// singleUseBody is a request body that net/http does not send a second time by itself:
// the transport only resends requests that have no body or a GetBody function.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

// limitToLength returns a reader for a server's request body of the given length
// (negative if unknown) that does not read from the body after its last byte.
// http.Transport reads once more after a body of known length. By then the response
// may have started, at which point the server closes the body, and the failed read
// would make the transport close the connection to the endpoint in the middle of its
// response. A body of unknown length needs no limit: its end is read before the
// endpoint has received the whole request.
func limitToLength(body io.Reader, length int64) io.Reader {
	if length < 0 {
		return body
	}
	return io.LimitReader(body, length)
}

var copyBufferPool = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// copyBody copies r to w until EOF, through a pooled buffer.
func copyBody(w io.Writer, r io.Reader) error {
	buffer := copyBufferPool.Get().(*[]byte)
	defer copyBufferPool.Put(buffer)
	for {
		n, err := r.Read(*buffer)
		if n > 0 {
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// closeBody closes a response's body. It ignores the error, which says nothing that
// reading the body has not reported.
func closeBody(response *http.Response) { _ = response.Body.Close() }

// discard reads up to limit bytes of a response's body, so that the connection can be
// reused if that is all of it, and closes the body.
func discard(response *http.Response, limit int64) {
	// After a read error the transport does not reuse the connection.
	_ = copyBody(io.Discard, io.LimitReader(response.Body, limit))
	closeBody(response)
}

// readPrefix reads the start of a body of the given length (negative if unknown), up
// to limit bytes. Complete is true if the prefix is known to be the whole body.
func readPrefix(r io.Reader, length int64, limit int) (prefix []byte, complete bool, err error) {
	if length == 0 {
		return nil, true, nil
	}
	if length > 0 && length <= int64(limit) {
		prefix = make([]byte, length)
		_, err = io.ReadFull(r, prefix)
		return prefix, err == nil, err
	}
	prefix = make([]byte, 0, min(limit, initialBufferSize))
	for {
		if len(prefix) == cap(prefix) {
			if cap(prefix) >= limit {
				return prefix, false, nil
			}
			prefix = append(prefix, 0)[:len(prefix)]
		}
		n, err := r.Read(prefix[len(prefix):cap(prefix)])
		prefix = prefix[:len(prefix)+n]
		if errors.Is(err, io.EOF) {
			return prefix, true, nil
		}
		if err != nil {
			return prefix, false, err
		}
	}
}

// setReadDeadline limits reading the request's body to deadline plus transferGrace.
// net/http removes the limit once the whole body has been read.
func setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	// Response writers without support for deadlines, as in tests, have no limit.
	_ = http.NewResponseController(w).SetReadDeadline(deadline.Add(transferGrace))
}

// setWriteDeadline limits writing the response to deadline plus transferGrace.
// net/http removes the limit at the end of the response.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(transferGrace))
}

// errAttemptEnded is returned when an attempt that has ended reads the remaining body,
// which may be in use by a later attempt.
var errAttemptEnded = Error.New("request body read by an attempt that has ended")

// remainingBody is the part of a request body that is not buffered and can be read
// only once. Only the current attempt may read it, and no attempt may follow one that
// has read from it. A nil *remainingBody stands for a body that is buffered whole.
type remainingBody struct {
	reader io.Reader

	mu sync.Mutex
	// currentAttempt is the number of the attempt that may read.
	currentAttempt int
	// readStarted is true once an attempt has read from the body.
	readStarted bool
	// ahead was read by readAhead, aheadErr is the error that followed. They do not
	// change any more once readStarted is set, except by the attempt that reads.
	ahead    []byte
	aheadErr error
}

// attemptBody lets one attempt read the remaining body.
type attemptBody struct {
	*remainingBody
	attempt int
}

// forAttempt returns the remaining body for use by the current attempt.
func (b *remainingBody) forAttempt() attemptBody {
	b.mu.Lock()
	defer b.mu.Unlock()
	return attemptBody{b, b.currentAttempt}
}

// Read reads from the body, or returns errAttemptEnded if the attempt is no longer the
// current one.
func (b attemptBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	current := b.attempt == b.remainingBody.currentAttempt
	b.readStarted = b.readStarted || current
	b.mu.Unlock()
	switch {
	case !current:
		return 0, errAttemptEnded
	case len(b.ahead) > 0:
		n := copy(p, b.ahead)
		b.remainingBody.ahead = b.ahead[n:]
		return n, nil
	case b.aheadErr != nil:
		return 0, b.aheadErr
	}
	return b.reader.Read(p)
}

// readAhead buffers up to limit bytes of the body, unless an attempt has started to read
// it, and returns how many it has buffered. The limit must not exceed what was received, or
// the next attempt would wait for the client.
func (b *remainingBody) readAhead(limit int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readStarted || b.aheadErr != nil {
		return 0
	}
	buffer := copyBufferPool.Get().(*[]byte)
	defer copyBufferPool.Put(buffer)
	n, err := b.reader.Read((*buffer)[:min(limit, copyBufferSize)])
	b.ahead, b.aheadErr = append(b.ahead, (*buffer)[:n]...), err
	return n
}

// checkedBody is a request body that consists of a buffered part and the rest. It reads
// from the rest before it returns the buffered part: if the client has disconnected, that
// fails, and nothing of the body is sent.
type checkedBody struct {
	buffered []byte
	rest     io.Reader
	// watch reports whether the client has disconnected while the rest can still be read.
	watch *closeWatch
	// whole reads the body; it is nil before the first read.
	whole io.Reader
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	if b.whole == nil {
		next := make([]byte, copyBufferSize)
		n, err := b.rest.Read(next)
		if n == 0 && err != nil && !errors.Is(err, io.EOF) {
			return 0, err
		}
		if b.watch.detectClose() {
			return 0, errPeerClosed
		}
		b.whole = io.MultiReader(bytes.NewReader(b.buffered), bytes.NewReader(next[:n]), b.rest)
	}
	return b.whole.Read(p)
}

// endAttempt ends the current attempt and reports whether any attempt has started to
// read.
func (b *remainingBody) endAttempt() (started bool) {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentAttempt++
	return b.readStarted
}
