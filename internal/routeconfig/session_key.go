package routeconfig

import (
	"fmt"
	"net/textproto"
	"strings"
)

// Places that a request may name its session in.
const (
	sessionInHeader = "header"
	sessionInCookie = "cookie"
)

// SessionKeySource tells where requests of a route name their session; nowhere
// if Name is empty.
type SessionKeySource struct {
	// FromCookie chooses a cookie; otherwise it is a header.
	FromCookie bool
	// Name is the cookie's, or the header's in canonical form.
	Name string
}

// String returns the source as ParseSessionKeySource reads it.
func (k SessionKeySource) String() string {
	switch {
	case k.Name == "":
		return ""
	case k.FromCookie:
		return sessionInCookie + " " + k.Name
	}
	return sessionInHeader + " " + k.Name
}

// ParseSessionKeySource reads "header NAME" or "cookie NAME"; an empty text
// names no source.
func ParseSessionKeySource(text string) (SessionKeySource, error) {
	if text == "" {
		return SessionKeySource{}, nil
	}
	location, name, _ := strings.Cut(text, " ")
	if isToken(name) {
		switch location {
		case sessionInHeader:
			return SessionKeySource{Name: textproto.CanonicalMIMEHeaderKey(name)}, nil
		case sessionInCookie:
			return SessionKeySource{FromCookie: true, Name: name}, nil
		}
	}
	return SessionKeySource{}, fmt.Errorf("%q is no \"header NAME\" or \"cookie NAME\"", text)
}

// isToken tells whether the text may be the name of a header or a cookie.
func isToken(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(c rune) bool {
		return c <= ' ' || c > '~' || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", c)
	})
}
