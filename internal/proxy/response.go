package proxy

import (
	"net/http"
	"strconv"
	"time"

	"corkcove/internal/proxy/localreply"
)

// Reasons why a response is not accepted as the endpoint's own and complete. Inbound
// nodes send these texts in headerReason.
const (
	// invalidRequestID means that the response does not repeat the request's ID.
	invalidRequestID = "another request's answer"
	// invalidStatus means that the status is not a final one from 200 to 599.
	invalidStatus = "no final status"
	// invalidNoSeal means that a 2xx response lacks headerSeal.
	invalidNoSeal = "no seal"
	// invalidEncoding means that the body has a Content-Encoding.
	invalidEncoding = "an encoded body"
	// invalidUndelimited means that the body of a 2xx response ends with the
	// connection, so that a truncated body looks like a complete one.
	invalidUndelimited = "a body whose end can't be told from a break"
	// invalidNotRunStatus means that the status would guarantee to the client that the
	// request has not run (see localreply.GuaranteesNotRun), but the endpoint, which
	// did not send headerNotRun, may have run it.
	invalidNotRunStatus = "a promise by an endpoint that may have run it"
)

// invalidReason returns why a response is not accepted as the endpoint's own and
// complete response to the request, or an empty string if it is accepted.
func invalidReason(response *http.Response, requestID string, idempotent bool) string {
	success := response.StatusCode/100 == 2
	switch {
	case response.Header.Get(headerRequestID) != requestID:
		return invalidRequestID
	case response.StatusCode < 200 || response.StatusCode > 599:
		return invalidStatus
	case success && response.Header.Get(headerSeal) == "":
		return invalidNoSeal
	case response.Header.Get("Content-Encoding") != "":
		return invalidEncoding
	case success && isCloseDelimited(response):
		return invalidUndelimited
	case !idempotent && localreply.GuaranteesNotRun(response.StatusCode):
		return invalidNotRunStatus
	}
	return ""
}

// isCloseDelimited reports whether the body ends only with the connection.
func isCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && response.Body != http.NoBody && len(response.TransferEncoding) == 0
}

// hasNoBody reports whether a response with the given status to a request with the
// given method never has a body.
func hasNoBody(method string, code int) bool {
	return method == http.MethodHead || code/100 == 1 || code == http.StatusNoContent || code == http.StatusNotModified
}

// writeResponseHead writes the status and the headers of an endpoint's response. The
// prefix is the part of its body that was read already; complete tells whether that is
// the whole body.
func writeResponseHead(w http.ResponseWriter, method string, response *http.Response, prefix []byte, complete bool) {
	h := w.Header()
	copyHeaders(h, response.Header)
	h["Date"] = response.Header["Date"]
	if _, ok := response.Header["Content-Type"]; !ok {
		// The nil value keeps net/http from adding a type of its own.
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

// writeResponseBody writes the prefix and then the rest of the body, unless the prefix
// is complete. If the body cannot be read or written to its end, writeResponseBody
// panics with http.ErrAbortHandler, which closes the client's connection: the client
// must not take the truncated body for a complete one.
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
