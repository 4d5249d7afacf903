package logring

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Level says how serious an entry is.
type Level uint8

const (
	// Info marks an ordinary change of state.
	Info Level = iota
	// Warning marks something that an operator may have to look at.
	Warning
)

// String returns the level as it is written out.
func (l Level) String() string {
	if l == Warning {
		return "warning"
	}
	return "info"
}

// Entry is one logged event.
type Entry struct {
	Time      time.Time
	Level     Level
	Component string
	// Message is the same text each time the event is logged.
	Message string
	// KeysAndValues has the pairs one after the other: key, value, key, value.
	KeysAndValues []any
}

// String formats the entry without its time: "component: message key=value",
// with the level in front of a warning.
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

// missingValue stands for the value of a key that was logged without one.
const missingValue = "(missing)"

// formatValue quotes text that would otherwise not be told from its neighbours.
func formatValue(value any) string {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " =\"\n\t\r") {
		return strconv.Quote(text)
	}
	return text
}

// Hex is a number that is written as 16 hexadecimal digits, such as the hash
// of a key.
type Hex uint64

// String returns the digits.
func (h Hex) String() string { return fmt.Sprintf("%016x", uint64(h)) }
