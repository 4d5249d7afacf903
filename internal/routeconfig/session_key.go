package routeconfig

import (
	"fmt"
	"net/textproto"
	"strings"
)

// Locations of a session key in a request, as the configuration writes them.
const (
	sessionLocationHeader = "header"
	sessionLocationCookie = "cookie"
)

// SessionKeySource tells where a route's requests carry their session key. An empty
// Name means that they carry none.
type SessionKeySource struct {
	// FromCookie is true if the key is in a cookie, and false if it is in a header.
	FromCookie bool
	// Name is the name of the cookie, or of the header in canonical form.
	Name string
}

// String returns the source in the form that ParseSessionKeySource reads.
func (k SessionKeySource) String() string {
	switch {
	case k.Name == "":
		return ""
	case k.FromCookie:
		return sessionLocationCookie + " " + k.Name
	}
	return sessionLocationHeader + " " + k.Name
}

// ParseSessionKeySource parses "header NAME" or "cookie NAME" and returns an error for
// any other text. An empty text gives the zero SessionKeySource.
func ParseSessionKeySource(text string) (SessionKeySource, error) {
	if text == "" {
		return SessionKeySource{}, nil
	}
	location, name, _ := strings.Cut(text, " ")
	if isToken(name) {
		switch location {
		case sessionLocationHeader:
			return SessionKeySource{Name: textproto.CanonicalMIMEHeaderKey(name)}, nil
		case sessionLocationCookie:
			return SessionKeySource{FromCookie: true, Name: name}, nil
		}
	}
	return SessionKeySource{}, fmt.Errorf("%q is not \"header NAME\" or \"cookie NAME\"", text)
}

// isToken reports whether the text can be the name of a header or a cookie.
func isToken(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(c rune) bool {
		return c <= ' ' || c > '~' || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", c)
	})
}
