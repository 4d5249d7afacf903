package mailbox_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/mailbox"
)

// startMailbox runs a mailbox whose ticks do nothing, until the end of the test.
func startMailbox(t *testing.T) *mailbox.Mailbox {
	t.Helper()
	m := mailbox.New()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		m.Run(time.Hour, func() {})
	}()
	t.Cleanup(func() {
		m.Close()
		<-stopped
	})
	return m
}

func TestFunctionsRunInPostOrder(t *testing.T) {
	m := startMailbox(t)
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

func TestRunCallsOnTickWithoutPosts(t *testing.T) {
	m := mailbox.New()
	ticks := 0
	m.Run(time.Millisecond, func() {
		if ticks++; ticks == 3 {
			m.Close()
		}
	})
	qt.Assert(t, ticks >= 3, qt.IsTrue)
}

func TestCallReturnsFalseAfterClose(t *testing.T) {
	m := mailbox.New()
	m.Close()
	_, ok := mailbox.Call(m, func() int { return 1 })
	qt.Assert(t, ok, qt.IsFalse)
}

func TestCallAsyncReturnsOnReplyOrContextEnd(t *testing.T) {
	m := startMailbox(t)
	result, ok := mailbox.CallAsync(t.Context(), m, func(reply func(int)) {
		m.Post(func() { reply(7) })
	})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, result, qt.Equals, 7)

	ctx, cancel := context.WithCancel(t.Context())
	_, ok = mailbox.CallAsync(ctx, m, func(func(int)) { cancel() })
	qt.Assert(t, ok, qt.IsFalse)
}
