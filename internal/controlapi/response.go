package controlapi

import (
	"encoding/json"
	"errors"
	"net/http"

	"corkcove/internal/coordination"
	"corkcove/internal/replication"
)

// status is the outcome of a request, independent of HTTP. See httpStatuses.
type status int

const (
	statusOK status = iota
	statusMalformed
	statusNotFound
	statusLockConflict
	statusRevisionMismatch
	statusCompacted
	statusUnavailable
	statusOutcomeUnknown
	statusNotOwner
	statusTooLarge
	statusInvalid
	statusMethodNotAllowed
)

// retryAfterSeconds is the Retry-After header of responses with status 503.
const retryAfterSeconds = "0.2"

// httpStatus is the representation of a status in an HTTP response.
type httpStatus struct {
	code int
	// retryAfter is the value of the Retry-After header, if any.
	retryAfter string
	// message is the default error text in the response body.
	message string
}

// httpStatuses maps each status to its HTTP representation. Code 503 guarantees that no
// change was made; if that is not certain, the code is 500.
var httpStatuses = map[status]httpStatus{
	statusOK:               {code: http.StatusOK},
	statusMalformed:        {code: http.StatusBadRequest, message: "malformed"},
	statusNotFound:         {code: http.StatusNotFound, message: "absent"},
	statusLockConflict:     {code: http.StatusConflict, message: "held by another"},
	statusRevisionMismatch: {code: http.StatusPreconditionFailed},
	statusCompacted:        {code: http.StatusGone, message: "history is gone"},
	statusUnavailable:      {code: http.StatusServiceUnavailable, retryAfter: retryAfterSeconds, message: "no owner can serve now; nothing was done"},
	statusOutcomeUnknown:   {code: http.StatusInternalServerError, message: "it may or may not have been done"},
	statusNotOwner:         {code: http.StatusTemporaryRedirect},
	statusTooLarge:         {code: http.StatusRequestEntityTooLarge, message: "too large"},
	statusInvalid:          {code: http.StatusBadRequest, message: "invalid"},
	statusMethodNotAllowed: {code: http.StatusMethodNotAllowed, message: "no such call"},
}

// statusError is an error that determines the status of the response.
type statusError struct {
	status status
	// message replaces the default message of the status unless it is empty.
	message string
}

// Error implements the error interface.
func (e *statusError) Error() string {
	if e.message != "" {
		return e.message
	}
	return httpStatuses[e.status].message
}

var (
	// errUnavailable reports that the request could not be served and made no change.
	errUnavailable = &statusError{status: statusUnavailable}
	// errOutcomeUnknown reports that the request may or may not have made a change.
	errOutcomeUnknown = &statusError{status: statusOutcomeUnknown}
)

// errMalformed returns the error of a request that cannot be parsed or lacks a required
// value.
func errMalformed(message string) error { return &statusError{statusMalformed, message} }

// errInvalid returns the error of a configuration change whose content is not valid.
func errInvalid(message string) error { return &statusError{statusInvalid, message} }

// notOwnerError reports that another member owns the shard of a request.
type notOwnerError struct {
	// location is the URL of the request at the owner.
	location string
}

// Error implements the error interface.
func (e *notOwnerError) Error() string { return "another member owns the shard: " + e.location }

// empty is the request or response body of calls that need none. It is encoded as {}.
type empty struct{}

// rawJSON is a response body that is already encoded.
type rawJSON []byte

// errorBody is the response body of a failed request.
type errorBody struct {
	// Error is a message for people.
	Error string `json:"error"`
}

// response is the response to a request.
type response struct {
	status status
	// message replaces the default message of the status unless it is empty.
	message string
	// location is the URL at the owner, for statusNotOwner.
	location string
	// body is encoded as JSON. A failure without a body gets an errorBody.
	body any
}

// newResponse returns a response with the result, or that of the error if it is not nil.
func newResponse(result any, err error) response {
	if err != nil {
		return errorResponse(err)
	}
	return response{body: result}
}

// errorResponse returns the response to a request that failed with err. An unrecognized
// error becomes statusOutcomeUnknown, because it does not tell whether a change was made.
func errorResponse(err error) response {
	var (
		withStatus *statusError
		notOwner   *notOwnerError
		mismatch   *coordination.RevisionMismatchError
	)
	switch {
	case errors.As(err, &withStatus):
		return response{status: withStatus.status, message: withStatus.message}
	case errors.As(err, &notOwner):
		return response{status: statusNotOwner, location: notOwner.location}
	case errors.As(err, &mismatch):
		return response{status: statusRevisionMismatch, body: putCellResponse{mismatch.Current}}
	case errors.Is(err, coordination.ErrLockHeld), errors.Is(err, coordination.ErrLockLost):
		return response{status: statusLockConflict}
	case errors.Is(err, coordination.ErrNotFound):
		return response{status: statusNotFound}
	case errors.Is(err, replication.ErrInvalidChange):
		return response{status: statusMalformed}
	case errors.Is(err, coordination.ErrCompacted):
		return response{status: statusCompacted}
	}
	return response{status: statusOutcomeUnknown}
}

// write sends the response. It ignores write errors, which mean that the caller has
// disconnected.
func (r response) write(w http.ResponseWriter) {
	mapped := httpStatuses[r.status]
	header := w.Header()
	header["Date"] = nil
	if mapped.retryAfter != "" {
		header.Set("Retry-After", mapped.retryAfter)
	}
	if r.location != "" {
		header.Set("Location", r.location)
	}
	body := r.responseBody(mapped)
	if body == nil {
		header.Set("Content-Length", "0")
		w.WriteHeader(mapped.code)
		return
	}
	data, err := encodeBody(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header.Set("Content-Type", contentTypeJSON)
	w.WriteHeader(mapped.code)
	_, _ = w.Write(data)
}

// responseBody returns the body of the response, or an errorBody if the request failed
// and there is none.
func (r response) responseBody(mapped httpStatus) any {
	switch {
	case r.body != nil || mapped.code < http.StatusBadRequest:
		return r.body
	case r.message != "":
		return errorBody{r.message}
	}
	return errorBody{mapped.message}
}

// encodeBody returns body as JSON.
func encodeBody(body any) ([]byte, error) {
	if raw, ok := body.(rawJSON); ok {
		return raw, nil
	}
	return json.Marshal(body)
}
