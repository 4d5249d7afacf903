package routeconfig

import (
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
)

// Locations of a hot key in a request, as the configuration writes them.
const (
	HotKeyLocationPath   = "path"
	HotKeyLocationQuery  = "query"
	HotKeyLocationHeader = "header"
)

// maxPathSegment is the highest path segment that may be configured as the key.
const maxPathSegment = 32

// HotKeySource tells where a route's requests carry the key that they read. Reads of
// a hot key are spread over several endpoints. An empty Location means that the
// requests carry no key.
type HotKeySource struct {
	// Location is one of the HotKeyLocation constants, or empty.
	Location string
	// Name is the name of the query parameter, or of the header in canonical form.
	Name string
	// Segment is the position of the path segment after the route's prefix, from 1.
	Segment int
}

// ParseHotKeySource parses "path N" (the Nth segment after the route's prefix, from
// 1), "query NAME" or "header NAME" and returns an error for any other text. An empty
// text gives the zero HotKeySource.
func ParseHotKeySource(text string) (HotKeySource, error) {
	if text == "" {
		return HotKeySource{}, nil
	}
	location, name, _ := strings.Cut(text, " ")
	switch location {
	case HotKeyLocationPath:
		if n, err := strconv.Atoi(name); err == nil && n >= 1 && n <= maxPathSegment {
			return HotKeySource{Location: location, Segment: n}, nil
		}
	case HotKeyLocationQuery:
		if isQueryName(name) {
			return HotKeySource{Location: location, Name: name}, nil
		}
	case HotKeyLocationHeader:
		if isToken(name) {
			return HotKeySource{Location: location, Name: textproto.CanonicalMIMEHeaderKey(name)}, nil
		}
	}
	return HotKeySource{}, fmt.Errorf("%q is not \"path N\", \"query NAME\" or \"header NAME\" (N from 1 to %d)", text, maxPathSegment)
}

// isQueryName reports whether the text can be the name of a query parameter without
// percent-encoding.
func isQueryName(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(c rune) bool {
		return c <= ' ' || c > '~' || strings.ContainsRune("&=#?%+", c)
	})
}

// Extract returns the key of a request, or "" if it has none. Percent-encoding is not
// decoded. path is the raw path, which begins with the route's prefix.
func (k HotKeySource) Extract(prefix, path, query string, header func(string) string) string {
	switch k.Location {
	case HotKeyLocationPath:
		return pathSegment(strings.TrimPrefix(path, prefix), k.Segment)
	case HotKeyLocationQuery:
		return queryValue(query, k.Name)
	case HotKeyLocationHeader:
		return header(k.Name)
	}
	return ""
}

// pathSegment returns the nth segment of the path, from 1, or "" if there are fewer.
func pathSegment(path string, n int) string {
	for i := 1; ; i++ {
		segment, after, more := strings.Cut(path, "/")
		if i == n {
			return segment
		}
		if !more {
			return ""
		}
		path = after
	}
}

// queryValue returns the first value of the parameter, without decoding it.
func queryValue(query, name string) string {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		if key, value, _ := strings.Cut(pair, "="); key == name {
			return value
		}
	}
	return ""
}
