package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// copyBuffer is the size of the buffers that bodies are copied through.
	copyBuffer = 32 << 10
	// firstBuffer is the most that is allocated at once for a body of unknown
	// length.
	firstBuffer = 8 << 10
	// maxDrained is how much of a discarded response is read so that its
	// connection can be used again.
	maxDrained = 64 << 10
	// transferOverrun is how much longer than the request may take its body is
	// read, or its response written.
	transferOverrun = 20 * time.Millisecond
)

// singleUseBody is a body that net/http can't send a second time by itself.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

// readToLength returns a reader of a server's request body of that length
// (negative if it is not known) that leaves the body alone after its last byte.
// A transport reads once more behind such a body. By then the response may have
// begun, with which the server closes the body; the failed read would end the
// endpoint's connection amid its response. A body of unknown length has ended
// before the endpoint has all of the request.
func readToLength(body io.Reader, length int64) io.Reader {
	if length < 0 {
		return body
	}
	return io.LimitReader(body, length)
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

func copyBody(w io.Writer, r io.Reader) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
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

// closeBody closes a response's body. An error says nothing that the reads have
// not said.
func closeBody(response *http.Response) { _ = response.Body.Close() }

// discard reads what is left of a short response, so that its connection can be
// used again, and closes it.
func discard(response *http.Response, limit int64) {
	// After an error the connection is just not used again.
	_ = copyBody(io.Discard, io.LimitReader(response.Body, limit))
	closeBody(response)
}

// readPrefix reads the start of a body of that length (negative if it is not
// known), up to limit bytes. Complete tells that it was all of it.
func readPrefix(r io.Reader, length int64, limit int) (prefix []byte, complete bool, err error) {
	if length == 0 {
		return nil, true, nil
	}
	if length > 0 && length <= int64(limit) {
		prefix = make([]byte, length)
		_, err = io.ReadFull(r, prefix)
		return prefix, err == nil, err
	}
	prefix = make([]byte, 0, min(limit, firstBuffer))
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

// setReadDeadline bounds how long a request's body is waited for. The server
// lifts the bound once the body is in.
func setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	// Writers that know no deadlines, such as a test's, go without.
	_ = http.NewResponseController(w).SetReadDeadline(deadline.Add(transferOverrun))
}

// setWriteDeadline bounds how long a response may take to be written. The server
// lifts the bound with the response's end.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(transferOverrun))
}

// errBodyTaken ends an attempt that reads a body which another attempt has.
var errBodyTaken = Error.New("another attempt has this body")

// remainingBody is the part of a body that can't be read again. The attempt
// under way may send it; once that has begun, or is over, no other can. A nil
// remainingBody is that of a body without such a part.
type remainingBody struct {
	reader io.Reader

	mu      sync.Mutex
	attempt int
	started bool
}

// attemptBody is the remaining body as one attempt reads it.
type attemptBody struct {
	*remainingBody
	attempt int
}

// forAttempt returns the body for the attempt that begins now.
func (b *remainingBody) forAttempt() attemptBody {
	b.mu.Lock()
	defer b.mu.Unlock()
	return attemptBody{b, b.attempt}
}

// Read reads for the attempt under way; others get an error.
func (b attemptBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	current := b.attempt == b.remainingBody.attempt
	b.started = b.started || current
	b.mu.Unlock()
	if !current {
		return 0, errBodyTaken
	}
	return b.reader.Read(p)
}

// endAttempt ends the attempt under way and tells whether any began to read.
func (b *remainingBody) endAttempt() (started bool) {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	return b.started
}
