// Package names represents names that consist of any bytes as valid UTF-8.
//
// Callers put the names of keys, locks and counters into URL paths, where RFC 3986
// allows every byte as %XX. Protocol buffers and JSON carry valid UTF-8 only. Escape
// maps each name to valid UTF-8, two different names never to the same, and names that
// callers usually choose to themselves. Within the core, names are always escaped.
//
// The functions are pure.
package names

import (
	"net/url"
	"strings"
	"unicode"
	"unicode/utf8"
)

// escapeBase plus a byte is the rune that stands for that byte in an escaped name. Only
// bytes from 0x80 on can be invalid, so the runes are U+F780 to U+F7FF of the private
// use area.
const escapeBase = 0xF700

// isEscape reports whether a rune stands for a byte in an escaped name.
func isEscape(r rune) bool { return r >= escapeBase+0x80 && r <= escapeBase+0xFF }

// Escape returns the name with each byte that is not part of valid UTF-8 replaced by the
// rune that stands for it, and likewise the bytes of runes that would be taken for such.
// All other names are returned unchanged. Escape distributes over concatenation at an
// ASCII character, so the prefix of a name up to a dot can be taken before or after.
func Escape(name string) string {
	if utf8.ValidString(name) && !containsEscape(name) {
		return name
	}
	var escaped strings.Builder
	for len(name) > 0 {
		r, size := utf8.DecodeRuneInString(name)
		if r == utf8.RuneError && size == 1 || isEscape(r) {
			for _, b := range []byte(name[:size]) {
				escaped.WriteRune(escapeBase + rune(b))
			}
		} else {
			escaped.WriteString(name[:size])
		}
		name = name[size:]
	}
	return escaped.String()
}

// Unescape returns the name whose escaped form is given.
func Unescape(escaped string) string {
	if !containsEscape(escaped) {
		return escaped
	}
	var name strings.Builder
	for _, r := range escaped {
		if isEscape(r) {
			name.WriteByte(byte(r - escapeBase))
		} else {
			name.WriteRune(r)
		}
	}
	return name.String()
}

// ForJSON returns an escaped name as it is shown in JSON: unchanged if it is the name
// itself, otherwise with the percent-encoding of a URL path.
func ForJSON(escaped string) string {
	if !containsEscape(escaped) {
		return escaped
	}
	return url.PathEscape(Unescape(escaped))
}

func containsEscape(name string) bool { return strings.ContainsFunc(name, isEscape) }

// ValidHeaderValue reports whether an escaped name can be the value of an HTTP header that
// every receiver reads as it was sent: valid UTF-8 without control characters, and no
// space at its ends.
func ValidHeaderValue(escaped string) bool {
	return escaped != "" && !containsEscape(escaped) && !strings.ContainsFunc(escaped, unicode.IsControl) &&
		strings.TrimSpace(escaped) == escaped
}
