package logring

// Logger logs the events of one component. The zero value discards them.
type Logger struct {
	ring      *Ring
	component string
}

// Info logs an ordinary change of state. The message must be constant and the
// values immutable, as they may be formatted much later.
func (l Logger) Info(message string, keysAndValues ...any) {
	if l.ring != nil {
		l.ring.add(Info, l.component, message, keysAndValues)
	}
}

// Warn logs an event that an operator may have to look at. The message and the
// values are subject to the same rules as for Info.
func (l Logger) Warn(message string, keysAndValues ...any) {
	if l.ring != nil {
		l.ring.add(Warning, l.component, message, keysAndValues)
	}
}
