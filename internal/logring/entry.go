package logring

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Level is the severity of an entry.
type Level uint8

const (
	// Info is the level of an ordinary change of state.
	Info Level = iota
	// Warning is the level of an event that an operator may have to look at.
	Warning
)

// String returns the level as it appears in the output.
func (l Level) String() string {
	if l == Warning {
		return "warning"
	}
	return "info"
}

// Entry is one logged event.
type Entry struct {
	// Time is the time at which the event was logged.
	Time time.Time
	// Level is the severity.
	Level Level
	// Component names the part of the process that logged the event.
	Component string
	// Message is the same text each time the event is logged.
	Message string
	// KeysAndValues has the pairs in sequence: key, value, key, value.
	KeysAndValues []any
}

// String formats the entry without its time, as "component: message key=value".
// A warning has its level in front.
func (e Entry) String() string {
	var b strings.Builder
	e.format(&b)
	return b.String()
}

func (e Entry) format(b *strings.Builder) {
	if e.Level != Info {
		b.WriteString(e.Level.String())
		b.WriteByte(' ')
	}
	b.WriteString(e.Component)
	b.WriteString(": ")
	b.WriteString(e.Message)
	for i := 0; i < len(e.KeysAndValues); i += 2 {
		b.WriteByte(' ')
		fmt.Fprint(b, e.KeysAndValues[i])
		b.WriteByte('=')
		if i+1 == len(e.KeysAndValues) {
			b.WriteString(missingValue)
			return
		}
		b.WriteString(formatValue(e.KeysAndValues[i+1]))
	}
}

// missingValue is written in place of the value of a key that was logged without
// one.
const missingValue = "(missing)"

// formatValue formats a value and quotes it if it is empty or contains characters
// that would make the pairs ambiguous.
func formatValue(value any) string {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " =\"\n\t\r") {
		return strconv.Quote(text)
	}
	return text
}

// Hex is a number, such as the hash of a key, that is formatted as 16 hexadecimal
// digits.
type Hex uint64

// String returns the 16 digits, in lower case.
func (h Hex) String() string { return fmt.Sprintf("%016x", uint64(h)) }
