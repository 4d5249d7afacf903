package proxy

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Headers of the platform's protocol, used by clients, nodes and endpoints.
const (
	// headerRequestID identifies a request. The response must repeat it.
	headerRequestID = "X-Request-Id"
	// headerDeadline is the time in milliseconds until the sender stops waiting for the
	// response.
	headerDeadline = "X-Deadline-Ms"
	// headerSeal is set by endpoints; a 2xx response without it is not accepted.
	headerSeal = "X-Server-Seal"
	// headerExpectInstance is the incarnation of the endpoint that the request is
	// addressed to.
	headerExpectInstance = "X-Expect-Instance"
	// headerNotRun marks error responses of endpoints that have not run the request.
	headerNotRun = "X-Not-Run"
	// headerCaller is the name of the calling service.
	headerCaller = "X-Caller-Service"
)

// Headers between nodes. They are removed from messages that enter or leave the mesh.
const (
	// internalPrefix is the common prefix of these headers.
	internalPrefix = "X-Corkcove-"
	// headerOutcome and headerReason report how an attempt ended without a response of
	// the endpoint that could be relayed.
	headerOutcome = "X-Corkcove-Outcome"
	headerReason  = "X-Corkcove-Reason"
	// headerLoad carries the endpoint's load. It is part of each response.
	headerLoad = "X-Corkcove-Load"
	// headerPriority is the priority of the request's route.
	headerPriority = "X-Corkcove-Rank"
	// headerQueueWait is the maximum time that the request may wait for a slot, in ms.
	headerQueueWait = "X-Corkcove-Wait"
	// headerLate marks requests that are unlikely to be answered in time.
	headerLate = "X-Corkcove-Late"
	// headerOnce marks requests that must not run more than once.
	headerOnce = "X-Corkcove-Once"
	// headerBulk marks requests with large responses. Its value is bulkShortWait or
	// bulkLongWait.
	headerBulk = "X-Corkcove-Heavy"
	// headerHotKey marks reads of a hot key.
	headerHotKey = "X-Corkcove-Hot"
)

// Values of headerBulk, which tell how long the response may wait for the link.
const (
	bulkShortWait = "short"
	bulkLongWait  = "long"
)

// headerFlagValue is the value of headers that only mark a request. Receivers accept
// any value that is not empty.
const headerFlagValue = "1"

// nodeOutcome is a value of headerOutcome.
type nodeOutcome string

const (
	// nodeRejected means that the request was not sent to the endpoint.
	nodeRejected nodeOutcome = "bounced"
	// nodeUnreachable means that the request could not be sent to the endpoint.
	nodeUnreachable nodeOutcome = "refused"
	// nodeDeclined means that the endpoint declined the request and has not run it.
	nodeDeclined nodeOutcome = "turned"
	// nodeFailed means that the attempt failed; the request may have run.
	nodeFailed nodeOutcome = "lost"
	// nodeTimedOut means that the deadline passed while the endpoint may have been
	// running the request.
	nodeTimedOut nodeOutcome = "late"
)

// Values of headerReason. Other values are those of endpointagent.RejectReason, the
// status code of a declined request and the texts of errors.
const (
	// reasonMalformed means that a header of the calling node is missing or invalid.
	reasonMalformed = "malformed"
	// reasonLinkFull means that the backlog of the node's link is too long.
	reasonLinkFull = "link"
	// reasonDeadline means that the request's context ended, normally at its deadline.
	reasonDeadline = "deadline"
	// reasonShutdown means that the node shuts down.
	reasonShutdown = "shutdown"
	// reasonDialFailed means that the connection to the endpoint failed.
	reasonDialFailed = "dial"
	// reasonNotSent means that the attempt failed before the request was written.
	reasonNotSent = "unsent"
)

// hopByHop are the headers that apply to a single connection and are not forwarded.
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

// endToEnd are headers that are forwarded even if a Connection header lists them.
// Without them a response cannot be matched to its request and endpoint.
var endToEnd = map[string]bool{headerRequestID: true, headerSeal: true}

// connectionOptions returns the canonical names of the headers that are listed in
// Connection headers.
func connectionOptions(h http.Header) map[string]bool {
	var options map[string]bool
	for _, value := range h["Connection"] {
		for _, option := range strings.Split(value, ",") {
			option = textproto.TrimString(option)
			if option == "" {
				continue
			}
			if options == nil {
				options = map[string]bool{}
			}
			options[textproto.CanonicalMIMEHeaderKey(option)] = true
		}
	}
	return options
}

// copyHeaders copies the end-to-end headers except those between nodes. The slices of
// values are shared.
func copyHeaders(to, from http.Header) {
	options := connectionOptions(from)
	for name, values := range from {
		if hopByHop[name] || options[name] && !endToEnd[name] || strings.HasPrefix(name, internalPrefix) {
			continue
		}
		to[name] = values
	}
}

// forwardedHeaders returns the headers to forward with a request, in a map with
// capacity for extra more.
func forwardedHeaders(r *http.Request, extra int) http.Header {
	h := make(http.Header, len(r.Header)+extra)
	copyHeaders(h, r.Header)
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		// The empty value keeps net/http from adding a User-Agent of its own.
		h["User-Agent"] = []string{""}
	}
	return h
}

// forwardURL returns the URL for forwarding a request to host with its request target
// unchanged, byte for byte.
func forwardURL(host, target string) *url.URL {
	// net/http would put the scheme before an Opaque target that starts with //.
	if strings.HasPrefix(target, "//") {
		if u, err := url.ParseRequestURI("http://" + host + target); err == nil {
			return u
		}
	}
	return &url.URL{Scheme: "http", Host: host, Opaque: target}
}

// maxDeadlineMillis is the largest valid value of headerDeadline.
const maxDeadlineMillis = 1e9

// parseDeadline returns how long the sender of a request waits for the response, and
// false if headerDeadline is missing or invalid.
func parseDeadline(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(h.Get(headerDeadline), 64)
	if err != nil || !(ms >= 0 && ms <= maxDeadlineMillis) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// formatMillis formats a duration in whole milliseconds. Negative durations become 0.
func formatMillis(d time.Duration) string {
	return strconv.FormatInt(int64(max(d, 0)/time.Millisecond), 10)
}
