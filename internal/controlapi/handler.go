package controlapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"unicode/utf8"
)

const (
	contentTypeJSON = "application/json"
	// maxBodyBytes limits the body of every request except configuration changes.
	maxBodyBytes = 1 << 20
)

// responder sends the response to a request with the given body. If another member
// should answer and cannot be reached, retry runs the request on this member again.
type responder func(w http.ResponseWriter, r request, body []byte, resp response, retry func() response)

// writeResponse is a responder that sends the response unchanged.
func writeResponse(w http.ResponseWriter, _ request, _ []byte, resp response, _ func() response) {
	resp.write(w)
}

// jsonHandler returns a handler that decodes the request body as JSON into a Req,
// passes it to call, and sends the result or the error through respond. The body may
// be empty unless the method is PUT.
func jsonHandler[Req, Resp any](respond responder, call func(request, Req) (Resp, error)) handlerFunc {
	return func(w http.ResponseWriter, r request) {
		body, err := readOptionalBody(w, r)
		if err != nil {
			errorResponse(err).write(w)
			return
		}
		// JSON is UTF-8. The decoder would replace other bytes, so that two owners of a lock
		// could become one.
		if !utf8.Valid(body) {
			errorResponse(errMalformed("the body is not UTF-8")).write(w)
			return
		}
		var input Req
		if len(body) > 0 || r.Method == http.MethodPut {
			if err := json.Unmarshal(body, &input); err != nil {
				errorResponse(errMalformed(err.Error())).write(w)
				return
			}
		}
		invoke := func() response { return newResponse(call(r, input)) }
		respond(w, r, body, invoke(), invoke)
	}
}

// readOptionalBody reads the request body. It returns nil without reading if the
// method is GET or DELETE and the request declares no body.
func readOptionalBody(w http.ResponseWriter, r request) ([]byte, error) {
	bodyOptional := r.Method == http.MethodGet || r.Method == http.MethodDelete
	if bodyOptional && r.ContentLength <= 0 {
		return nil, nil
	}
	return readBody(w, r, maxBodyBytes)
}

// readBody reads the whole request body. The error is a statusError with
// statusTooLarge if the body exceeds limit bytes, and errUnavailable if it cannot be
// read to its end. In both cases the request has had no effect.
func readBody(w http.ResponseWriter, r request, limit int64) ([]byte, error) {
	var body bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= limit {
		body.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &statusError{status: statusTooLarge}
	case err != nil:
		return nil, errUnavailable
	}
	return body.Bytes(), nil
}
