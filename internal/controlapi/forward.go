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

// forwardedHeader marks a request that another member has forwarded. Such a request is
// not forwarded again.
const forwardedHeader = "X-Corkcove-Sent-On"

const (
	// forwardTimeout bounds one forwarded request, including reading the response.
	forwardTimeout = 850 * time.Millisecond
	// maxForwardHops is the number of members to which a request is forwarded, one after
	// the other, if they redirect it because the owner has changed.
	maxForwardHops = 2
	// maxForwardedResponseBytes bounds the memory for an owner's response. If the
	// response is larger, the caller is redirected and fetches it from the owner.
	maxForwardedResponseBytes = maxConfigBytes
)

// Errors of forwarded requests without a usable response.
var (
	// errNotSent reports that the headers of the request were not sent, so that the
	// owner cannot have executed it.
	errNotSent = Error.New("the request was not sent to the owner")
	// errNoResponse reports that at least the headers of the request were sent, so that
	// its outcome is unknown.
	errNoResponse = Error.New("no complete response from the owner, which may have executed the request")
	// errResponseTooLarge reports a response above maxForwardedResponseBytes.
	errResponseTooLarge = Error.New("the owner's response is too large to forward")
)

// ownerResponse is the response of another member to a forwarded request.
type ownerResponse struct {
	code   int
	header http.Header
	body   []byte
}

// redirectLocation returns the URL at the current owner if the member redirected the
// request, and an empty string if it answered the request itself.
func (r ownerResponse) redirectLocation() string {
	if r.code != http.StatusTemporaryRedirect {
		return ""
	}
	return r.header.Get("Location")
}

// write sends the owner's response to the caller, with the headers that callers use.
func (r ownerResponse) write(w http.ResponseWriter) {
	header := w.Header()
	header["Date"] = nil
	for _, key := range []string{"Content-Type", "Retry-After", acquisitionHeader} {
		if value := r.header.Get(key); value != "" {
			header.Set(key, value)
		}
	}
	w.WriteHeader(r.code)
	_, _ = w.Write(r.body)
}

// forwardToOwner is a responder that forwards the request if another member owns the
// shard, and sends the owner's response to the caller. Otherwise, or if the request
// cannot be forwarded, it sends resp. If the owner cannot be reached, it calls retry,
// which runs the request on this member again.
//
// Callers may be far from all members while the members are close to each other. A
// redirect costs the caller another connection and round trip; forwarding costs only a
// call between members.
func (s *CoreServer) forwardToOwner(w http.ResponseWriter, r request, body []byte, resp response, retry func() response) {
	if resp.status != statusNotOwner || s.PeerTransport == nil || r.Header.Get(forwardedHeader) != "" {
		resp.write(w)
		return
	}
	deadline := time.Now().Add(s.RetryTimeout)
	// A watch may additionally take the time that its caller allows it to wait.
	wait, _ := parseWatchWait(r.URL.Query())
	timeout := forwardTimeout + wait
	for hops := 0; resp.status == statusNotOwner && hops < maxForwardHops; {
		if s.Coordination.GaveUp(r.Context()) {
			errorResponse(errUnavailable).write(w)
			return
		}
		ownerResp, err := s.sendToOwner(r, resp.location, body, timeout)
		switch {
		case errors.Is(err, errNotSent):
			if time.Now().After(deadline) {
				errorResponse(errUnavailable).write(w)
				return
			}
			time.Sleep(s.RetryInterval)
			resp = retry()
			continue
		case errors.Is(err, errResponseTooLarge):
			resp.write(w)
			return
		case err != nil:
			errorResponse(errOutcomeUnknown).write(w)
			return
		}
		location := ownerResp.redirectLocation()
		if location == "" {
			ownerResp.write(w)
			return
		}
		hops++
		resp.location = location
	}
	resp.write(w)
}

// sendToOwner sends the request once. The error is errNotSent, errNoResponse or
// errResponseTooLarge.
func (s *CoreServer) sendToOwner(r request, url string, body []byte, timeout time.Duration) (ownerResponse, error) {
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	req, err := newForwardedRequest(ctx, r.Method, url, body)
	if err != nil {
		return ownerResponse{}, errNotSent
	}
	if acquired := r.Header.Get(acquisitionHeader); acquired != "" {
		req.Header.Set(acquisitionHeader, acquired)
	}
	resp, err := s.PeerTransport.RoundTrip(req)
	if err != nil {
		if !sent.Load() {
			return ownerResponse{}, errNotSent
		}
		return ownerResponse{}, errNoResponse
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxForwardedResponseBytes+1))
	if err != nil {
		return ownerResponse{}, errNoResponse
	}
	if len(respBody) > maxForwardedResponseBytes {
		return ownerResponse{}, errResponseTooLarge
	}
	return ownerResponse{resp.StatusCode, resp.Header, respBody}, nil
}

// newForwardedRequest returns a request whose body cannot be rewound, so that the
// transport does not resend a request that the owner may have executed.
func newForwardedRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = nil
	}
	req.Header.Set("Content-Type", contentTypeJSON)
	req.Header.Set(forwardedHeader, "1")
	return req, nil
}
