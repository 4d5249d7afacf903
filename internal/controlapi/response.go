package controlapi

import (
	"encoding/json"
	"errors"
	"net/http"

	"corkcove/internal/coordination"
)

// status is how a request ended.
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

// retryAfterSeconds is what callers are asked to wait after status 503.
const retryAfterSeconds = "0.2"

// httpStatus is a status as callers see it.
type httpStatus struct {
	code       int
	retryAfter string
	message    string
}

// A 503 promises that nothing was done; where that is not certain it is 500.
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

// statusError ends a request with a status other than statusOK.
type statusError struct {
	status status
	// message replaces the status's own, unless it is empty.
	message string
}

func (e *statusError) Error() string {
	if e.message != "" {
		return e.message
	}
	return httpStatuses[e.status].message
}

var (
	errUnavailable    = &statusError{status: statusUnavailable}
	errOutcomeUnknown = &statusError{status: statusOutcomeUnknown}
)

func errMalformed(message string) error { return &statusError{statusMalformed, message} }

func errInvalid(message string) error { return &statusError{statusInvalid, message} }

// notOwnerError says that another member owns the request's shard.
type notOwnerError struct {
	// location is the request's URL at the owner.
	location string
}

func (e *notOwnerError) Error() string { return "the owner is at " + e.location }

// empty is the result of calls that return nothing, and the body of those that
// expect nothing.
type empty struct{}

// rawJSON is a body that is written as it is.
type rawJSON []byte

// errorBody tells a caller why the request failed.
type errorBody struct {
	Error string `json:"error"`
}

// response is what a caller gets.
type response struct {
	status   status
	message  string
	location string
	body     any
}

// newResponse answers with the result, or with what the error says.
func newResponse(result any, err error) response {
	if err != nil {
		return errorResponse(err)
	}
	return response{body: result}
}

// errorResponse maps errors to statuses. One that is not known here promises
// nothing.
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
		return response{status: statusRevisionMismatch, body: putResponse{mismatch.Current}}
	case errors.Is(err, coordination.ErrLockHeld), errors.Is(err, coordination.ErrLockLost):
		return response{status: statusLockConflict}
	case errors.Is(err, coordination.ErrNotFound):
		return response{status: statusNotFound}
	case errors.Is(err, coordination.ErrCompacted):
		return response{status: statusCompacted}
	}
	return response{status: statusOutcomeUnknown}
}

// write sends the response. That a caller went away meanwhile is not an error.
func (p response) write(w http.ResponseWriter) {
	shown := httpStatuses[p.status]
	header := w.Header()
	header["Date"] = nil
	if shown.retryAfter != "" {
		header.Set("Retry-After", shown.retryAfter)
	}
	if p.location != "" {
		header.Set("Location", p.location)
	}
	body := p.content(shown)
	if body == nil {
		header.Set("Content-Length", "0")
		w.WriteHeader(shown.code)
		return
	}
	data, err := encode(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header.Set("Content-Type", contentTypeJSON)
	w.WriteHeader(shown.code)
	_, _ = w.Write(data)
}

// content is the response's body; for a failure without one, its message.
func (p response) content(shown httpStatus) any {
	switch {
	case p.body != nil || shown.code < http.StatusBadRequest:
		return p.body
	case p.message != "":
		return errorBody{p.message}
	}
	return errorBody{shown.message}
}

func encode(body any) ([]byte, error) {
	if raw, ok := body.(rawJSON); ok {
		return raw, nil
	}
	return json.Marshal(body)
}
