package proxy

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Headers of the platform's protocol.
const (
	headerRequestID      = "X-Request-Id"
	headerDeadline       = "X-Deadline-Ms"
	headerSeal           = "X-Server-Seal"
	headerExpectInstance = "X-Expect-Instance"
	headerNotRun         = "X-Not-Run"
	headerCaller         = "X-Caller-Service"
)

// Headers between nodes. They are taken off where a message enters or leaves the
// mesh.
const (
	internalPrefix = "X-Corkcove-"
	// headerOutcome and headerReason say, in a response without an endpoint's
	// answer, what became of the attempt.
	headerOutcome = "X-Corkcove-Outcome"
	headerReason  = "X-Corkcove-Reason"
	// headerLoad has the endpoint's load in each response.
	headerLoad = "X-Corkcove-Load"
	// headerPriority is the priority of the request's route.
	headerPriority = "X-Corkcove-Rank"
	// headerQueueWait is how long the request may wait for a slot, in ms.
	headerQueueWait = "X-Corkcove-Wait"
	// headerLate marks requests that can hardly be answered in time.
	headerLate = "X-Corkcove-Late"
	// headerOnce marks requests that must not run twice.
	headerOnce = "X-Corkcove-Once"
	// headerBulk marks requests with large responses: bulkShortWait or
	// bulkLongWait.
	headerBulk = "X-Corkcove-Heavy"
	// headerHotKey marks reads of a hot key.
	headerHotKey = "X-Corkcove-Hot"
)

// Values of headerBulk: how long such a request should wait for the link.
const (
	bulkShortWait = "short"
	bulkLongWait  = "long"
)

// headerSet is the value of headers that only mark a request.
const headerSet = "1"

// nodeOutcome is what an inbound node says in headerOutcome of an attempt that
// brought no answer of the endpoint.
type nodeOutcome string

const (
	// nodeRejected attempts were not sent to the endpoint.
	nodeRejected nodeOutcome = "bounced"
	// nodeUnreachable attempts found no connection to the endpoint.
	nodeUnreachable nodeOutcome = "refused"
	// nodeDeclined attempts were declined by the endpoint, which has not run them.
	nodeDeclined nodeOutcome = "turned"
	// nodeFailed attempts broke off; the request may have run.
	nodeFailed nodeOutcome = "lost"
	// nodeTimedOut attempts were under way when their deadline passed.
	nodeTimedOut nodeOutcome = "late"
)

// Values of headerReason, beside those of endpointagent.RejectReason and the
// texts of transport errors.
const (
	reasonMalformed  = "malformed"
	reasonLinkFull   = "link"
	reasonDeadline   = "deadline"
	reasonShutdown   = "shutdown"
	reasonDialFailed = "dial"
	reasonNotSent    = "unsent"
)

// hopByHop are headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// endToEnd are headers that are forwarded even if a Connection header names
// them: without them a response can't be matched to its request and endpoint.
var endToEnd = map[string]bool{headerRequestID: true, headerSeal: true}

// connectionTokens returns the headers that a Connection header names.
func connectionTokens(h http.Header) map[string]bool {
	var tokens map[string]bool
	for _, value := range h["Connection"] {
		for _, token := range strings.Split(value, ",") {
			token = textproto.TrimString(token)
			if token == "" {
				continue
			}
			if tokens == nil {
				tokens = map[string]bool{}
			}
			tokens[textproto.CanonicalMIMEHeaderKey(token)] = true
		}
	}
	return tokens
}

// copyHeaders copies the headers that concern more than one connection, without
// those between nodes.
func copyHeaders(to, from http.Header) {
	tokens := connectionTokens(from)
	for name, values := range from {
		if hopByHop[name] || tokens[name] && !endToEnd[name] || strings.HasPrefix(name, internalPrefix) {
			continue
		}
		to[name] = values
	}
}

// forwardedHeaders returns the headers of a request as they go on, with room for
// a few more.
func forwardedHeaders(r *http.Request, room int) http.Header {
	h := make(http.Header, len(r.Header)+room)
	copyHeaders(h, r.Header)
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		// Without this, net/http would add its own.
		h["User-Agent"] = []string{""}
	}
	return h
}

// forwardURL returns the URL of a forwarded request, which keeps the request's
// target byte for byte.
func forwardURL(host, target string) *url.URL {
	if strings.HasPrefix(target, "//") {
		if u, err := url.ParseRequestURI("http://" + host + target); err == nil {
			return u
		}
	}
	return &url.URL{Scheme: "http", Host: host, Opaque: target}
}

// maxDeadline is the longest deadline that counts as valid, in ms.
const maxDeadline = 1e9

// parseDeadline returns how long the sender of a request waits for its answer.
func parseDeadline(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(h.Get(headerDeadline), 64)
	if err != nil || !(ms >= 0 && ms <= maxDeadline) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// formatMillis returns a duration in whole milliseconds, at least 0.
func formatMillis(d time.Duration) string {
	return strconv.FormatInt(int64(max(d, 0)/time.Millisecond), 10)
}
