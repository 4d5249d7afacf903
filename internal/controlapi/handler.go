package controlapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
)

const (
	contentTypeJSON = "application/json"
	// maxBodyBytes bounds the body of all calls but those on the configuration.
	maxBodyBytes = 1 << 20
)

// finish sends a response. retry repeats the call, for a response that another
// member should give and that could not be had from there.
type finish func(w http.ResponseWriter, r request, body []byte, answer response, retry func() response)

// finishLocally sends the response as it is.
func finishLocally(w http.ResponseWriter, _ request, _ []byte, answer response, _ func() response) {
	answer.write(w)
}

// jsonHandler reads the body as a Q, calls, and answers with the result or the
// error.
func jsonHandler[Q, R any](send finish, call func(request, Q) (R, error)) handlerFunc {
	return func(w http.ResponseWriter, r request) {
		body, err := readOptionalBody(w, r)
		if err != nil {
			errorResponse(err).write(w)
			return
		}
		var query Q
		if len(body) > 0 || r.Method == http.MethodPut {
			if err := json.Unmarshal(body, &query); err != nil {
				errorResponse(errMalformed(err.Error())).write(w)
				return
			}
		}
		answer := func() response { return newResponse(call(r, query)) }
		send(w, r, body, answer(), answer)
	}
}

// readOptionalBody reads nothing of a GET or DELETE that announces no body.
func readOptionalBody(w http.ResponseWriter, r request) ([]byte, error) {
	bodyless := r.Method == http.MethodGet || r.Method == http.MethodDelete
	if bodyless && r.ContentLength <= 0 {
		return nil, nil
	}
	return readBody(w, r, maxBodyBytes)
}

// readBody reads the body whole. Its errors say whether the body was too large
// or ended early; in both cases nothing was done.
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
