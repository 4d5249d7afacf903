package logring

import (
	"errors"
	"testing"
	"time"
)

// loggingComponent holds its logger in a field, as the production components do.
type loggingComponent struct{ Log Logger }

func newLoggingComponent() *loggingComponent {
	return &loggingComponent{New(256, time.Second, nil).Logger("replication")}
}

func BenchmarkLogFourValues(b *testing.B) {
	c := newLoggingComponent()
	b.ReportAllocs()
	for i := range b.N {
		epoch := 70000 + uint64(i)
		c.Log.Info("stepped down as shard owner", "shard", int(epoch%13), "epoch", epoch, "reason", "another owner", "promisedEpoch", epoch+1)
	}
}

func BenchmarkLogTwoStrings(b *testing.B) {
	c := newLoggingComponent()
	id, err := string([]byte("payment-17")), errors.New("connection reset by peer")
	b.ReportAllocs()
	for range b.N {
		c.Log.Warn("endpoint closed its connection early", "endpoint", id, "error", err)
	}
}
