package mailbox_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/mailbox"
)

// newRunning starts a mailbox without ticks; the test's end closes it.
func newRunning(t *testing.T) *mailbox.Mailbox {
	t.Helper()
	m := mailbox.New()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.Run(time.Hour, func() {})
	}()
	t.Cleanup(func() {
		m.Close()
		<-ended
	})
	return m
}

func TestFunctionsRunInTheOrderOfTheirPosts(t *testing.T) {
	m := newRunning(t)
	var order []int
	for i := range 100 {
		m.Post(func() { order = append(order, i) })
	}
	got, ok := mailbox.Call(m, func() []int { return order })
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got, qt.HasLen, 100)
	for i, x := range got {
		qt.Assert(t, x, qt.Equals, i)
	}
}

func TestTicksRunWithoutPosts(t *testing.T) {
	m := mailbox.New()
	ticks := 0
	m.Run(time.Millisecond, func() {
		if ticks++; ticks == 3 {
			m.Close()
		}
	})
	qt.Assert(t, ticks >= 3, qt.IsTrue)
}

func TestCallEndsWhenTheMailboxIsClosed(t *testing.T) {
	m := mailbox.New()
	m.Close()
	_, ok := mailbox.Call(m, func() int { return 1 })
	qt.Assert(t, ok, qt.IsFalse)
}

func TestCallAsyncWaitsForTheReplyOrTheContext(t *testing.T) {
	m := newRunning(t)
	result, ok := mailbox.CallAsync(t.Context(), m, func(reply func(int)) {
		m.Post(func() { reply(7) })
	})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, result, qt.Equals, 7)

	ctx, cancel := context.WithCancel(t.Context())
	_, ok = mailbox.CallAsync(ctx, m, func(func(int)) { cancel() })
	qt.Assert(t, ok, qt.IsFalse)
}
