package proxy

import (
	"net/http"
	"strconv"
	"time"

	"corkcove/internal/proxy/localreply"
)

// Reasons why a response is not accepted as the endpoint's own and complete.
const (
	invalidOtherRequest = "another request's answer"
	invalidStatus       = "no final status"
	invalidNoSeal       = "no seal"
	invalidEncoding     = "an encoded body"
	invalidOpenEnd      = "a body whose end can't be told from a break"
	invalidPromise      = "a promise by an endpoint that may have run it"
)

// invalidReason tells why a response is not accepted as the endpoint's own and
// complete answer to the request; it is empty if it is accepted.
func invalidReason(response *http.Response, requestID string, idempotent bool) string {
	success := response.StatusCode/100 == 2
	switch {
	case response.Header.Get(headerRequestID) != requestID:
		return invalidOtherRequest
	case response.StatusCode < 200 || response.StatusCode > 599:
		return invalidStatus
	case success && response.Header.Get(headerSeal) == "":
		return invalidNoSeal
	case response.Header.Get("Content-Encoding") != "":
		return invalidEncoding
	case success && endsWithConnection(response):
		return invalidOpenEnd
	case !idempotent && localreply.GuaranteesNotRun(response.StatusCode):
		return invalidPromise
	}
	return ""
}

// endsWithConnection tells that only the end of the connection ends the body.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && response.Body != http.NoBody && len(response.TransferEncoding) == 0
}

// hasNoBody tells that a response to the method with the status has no body.
func hasNoBody(method string, code int) bool {
	return method == http.MethodHead || code/100 == 1 || code == http.StatusNoContent || code == http.StatusNotModified
}

// writeResponseHead writes the head of an endpoint's response, of whose body
// prefix has been read, all of it if complete.
func writeResponseHead(w http.ResponseWriter, method string, response *http.Response, prefix []byte, complete bool) {
	h := w.Header()
	copyHeaders(h, response.Header)
	h["Date"] = response.Header["Date"]
	if _, ok := response.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	bodiless := hasNoBody(method, response.StatusCode)
	switch {
	case response.ContentLength >= 0 && (method == http.MethodHead || !bodiless):
		h.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	case complete && !bodiless:
		h.Set("Content-Length", strconv.Itoa(len(prefix)))
	default:
		h.Del("Content-Length")
	}
	w.WriteHeader(response.StatusCode)
}

// writeResponseBody writes the body; one that breaks off breaks off the client's
// connection too, which is why this may panic with http.ErrAbortHandler.
func writeResponseBody(w http.ResponseWriter, response *http.Response, prefix []byte, complete bool, pacer *Pacer, deadline time.Time) {
	if len(prefix) > 0 {
		if err := pacer.write(w, prefix, deadline); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if complete {
		return
	}
	if err := copyBody(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
