package controlapi

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// forwardedHeader marks a request that another member has sent on: it is not
// sent on again.
const forwardedHeader = "X-Corkcove-Sent-On"

const (
	// forwardTimeout bounds a forwarded request, until its answer has come whole.
	forwardTimeout = 850 * time.Millisecond
	// maxForwardHops is how many members a request is sent to, one after the other,
	// as the owner changes.
	maxForwardHops = 2
	// maxForwardedAnswer bounds an owner's answer in memory; a larger one the
	// caller fetches itself.
	maxForwardedAnswer = maxConfigBytes
)

// What became of a forwarded request that brought no answer.
var (
	errNotSent        = Error.New("the request did not reach the owner")
	errNoAnswer       = Error.New("the owner may have carried out the request")
	errAnswerTooLarge = Error.New("the owner's answer is too large to be sent on")
)

// ownerAnswer is a response of another member.
type ownerAnswer struct {
	code   int
	header http.Header
	body   []byte
}

// redirect is the URL that the member names as the owner's; empty if it
// answered itself.
func (a ownerAnswer) redirect() string {
	if a.code != http.StatusTemporaryRedirect {
		return ""
	}
	return a.header.Get("Location")
}

func (a ownerAnswer) write(w http.ResponseWriter) {
	header := w.Header()
	header["Date"] = nil
	for _, key := range []string{"Content-Type", "Retry-After"} {
		if value := a.header.Get(key); value != "" {
			header.Set(key, value)
		}
	}
	w.WriteHeader(a.code)
	_, _ = w.Write(a.body)
}

// forwardToOwner sends a response, or, if another member owns the shard, the
// owner's answer to the same request. Callers may be far from all members, and
// these near each other: a redirect costs the caller a connection and a round
// trip more, this costs the members a call. retry repeats the call here, after
// an owner could not be reached.
func (s *CoreServer) forwardToOwner(w http.ResponseWriter, r request, body []byte, answer response, retry func() response) {
	if answer.status != statusNotOwner || s.PeerTransport == nil || r.Header.Get(forwardedHeader) != "" {
		answer.write(w)
		return
	}
	deadline := time.Now().Add(s.RetryTimeout)
	// A watch may take the time that its caller lets it wait in addition.
	wait, _ := parseWatchWait(r.URL.Query())
	timeout := forwardTimeout + wait
	for hops := 0; answer.status == statusNotOwner && hops < maxForwardHops; {
		forwarded, err := s.sendToOwner(r, answer.location, body, timeout)
		switch {
		case errors.Is(err, errNotSent):
			if time.Now().After(deadline) || r.Context().Err() != nil {
				errorResponse(errUnavailable).write(w)
				return
			}
			time.Sleep(s.RetryInterval)
			answer = retry()
			continue
		case errors.Is(err, errAnswerTooLarge):
			answer.write(w)
			return
		case err != nil:
			errorResponse(errOutcomeUnknown).write(w)
			return
		}
		location := forwarded.redirect()
		if location == "" {
			forwarded.write(w)
			return
		}
		hops++
		answer.location = location
	}
	answer.write(w)
}

// sendToOwner sends the request once. The error says whether it was not sent,
// or may have been carried out.
func (s *CoreServer) sendToOwner(r request, url string, body []byte, timeout time.Duration) (ownerAnswer, error) {
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	forwarded, err := newForwardedRequest(ctx, r.Method, url, body)
	if err != nil {
		return ownerAnswer{}, errNotSent
	}
	answer, err := s.PeerTransport.RoundTrip(forwarded)
	if err != nil {
		if !sent.Load() {
			return ownerAnswer{}, errNotSent
		}
		return ownerAnswer{}, errNoAnswer
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxForwardedAnswer+1))
	if err != nil {
		return ownerAnswer{}, errNoAnswer
	}
	if len(content) > maxForwardedAnswer {
		return ownerAnswer{}, errAnswerTooLarge
	}
	return ownerAnswer{answer.StatusCode, answer.Header, content}, nil
}

// newForwardedRequest makes a request whose body cannot be read again, so that
// the transport repeats none that may have been carried out.
func newForwardedRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	forwarded, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	forwarded.ContentLength = int64(len(body))
	if len(body) == 0 {
		forwarded.Body = nil
	}
	forwarded.Header.Set("Content-Type", contentTypeJSON)
	forwarded.Header.Set(forwardedHeader, "1")
	return forwarded, nil
}
