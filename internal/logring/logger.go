package logring

// Logger logs the events of one component. The zero value discards them.
type Logger struct {
	ring      *Ring
	component string
}

// Info logs an ordinary change of state. The message never changes; values are
// immutable, as they may be formatted much later.
func (l Logger) Info(message string, keysAndValues ...any) {
	if l.ring != nil {
		l.ring.add(Info, l.component, message, keysAndValues)
	}
}

// Warn logs something that an operator may have to look at; otherwise it is
// like Info.
func (l Logger) Warn(message string, keysAndValues ...any) {
	if l.ring != nil {
		l.ring.add(Warning, l.component, message, keysAndValues)
	}
}
