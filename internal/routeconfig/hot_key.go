package routeconfig

import (
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
)

// Locations of a hot key.
const (
	LocationPath   = "path"
	LocationQuery  = "query"
	LocationHeader = "header"
)

// maxSegment is the last path segment that may hold a key.
const maxSegment = 32

// HotKeySource tells where requests of a route name the key that they read, by
// which the reads of a frequent key are spread; nowhere if Location is empty.
type HotKeySource struct {
	Location string
	// Name is the parameter's or the header's, the latter in canonical form.
	Name string
	// Segment counts the segments of the path after the route's prefix, from 1.
	Segment int
}

// ParseHotKeySource reads "path N" (the Nth segment after the route's prefix,
// from 1), "query NAME" or "header NAME"; an empty text names no source.
func ParseHotKeySource(text string) (HotKeySource, error) {
	if text == "" {
		return HotKeySource{}, nil
	}
	location, name, _ := strings.Cut(text, " ")
	switch location {
	case LocationPath:
		if n, err := strconv.Atoi(name); err == nil && n >= 1 && n <= maxSegment {
			return HotKeySource{Location: location, Segment: n}, nil
		}
	case LocationQuery:
		if isQueryName(name) {
			return HotKeySource{Location: location, Name: name}, nil
		}
	case LocationHeader:
		if isToken(name) {
			return HotKeySource{Location: location, Name: textproto.CanonicalMIMEHeaderKey(name)}, nil
		}
	}
	return HotKeySource{}, fmt.Errorf("%q is no \"path N\", \"query NAME\" or \"header NAME\" (N from 1 to %d)", text, maxSegment)
}

// isQueryName tells whether the text may be a parameter's name without being
// escaped.
func isQueryName(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(c rune) bool {
		return c <= ' ' || c > '~' || strings.ContainsRune("&=#?%+", c)
	})
}

// Extract takes the key out of a request, escapes included; "" if it has none.
// path is the raw path, which begins with the route's prefix.
func (k HotKeySource) Extract(prefix, path, query string, header func(string) string) string {
	switch k.Location {
	case LocationPath:
		return pathSegment(strings.TrimPrefix(path, prefix), k.Segment)
	case LocationQuery:
		return queryValue(query, k.Name)
	case LocationHeader:
		return header(k.Name)
	}
	return ""
}

// pathSegment returns the nth segment, from 1.
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

// queryValue returns the first value of the name.
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
