package proxy

import (
	"math"
	"sync"
	"time"
)

// sentDecayTime is the time constant of sentRate: bytes that were sent this long
// ago count 1/e.
const sentDecayTime = 600 * time.Millisecond

// sentRate is an exponentially decaying average of the rate at which this node
// sends. It is safe for concurrent use; the zero value is ready to use.
type sentRate struct {
	mu sync.Mutex
	// bytes is the decayed sum of the bytes sent, as of updated.
	bytes   float64
	updated time.Time
}

// add records bytes sent at the given time.
func (r *sentRate) add(bytes int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes = r.decayedBytes(now) + float64(bytes)
	r.updated = now
}

// decayedBytes returns the sum decayed until now. The caller must hold r.mu.
func (r *sentRate) decayedBytes(now time.Time) float64 {
	return r.bytes * math.Exp(-float64(now.Sub(r.updated))/float64(sentDecayTime))
}

// bytesPerSecond returns the average rate as of now.
func (r *sentRate) bytesPerSecond(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decayedBytes(now) / sentDecayTime.Seconds()
}

const (
	// fullRatePercent is the load that is reported if sentRate equals the link's
	// rate. It is less than fullPercent because bursts last longer than
	// sentDecayTime.
	fullRatePercent = 60
	// backlogPerPercent is the pacer's backlog that counts as a load of one percent:
	// with a backlog of half a second the link is full.
	backlogPerPercent = 5 * time.Millisecond
	// fullPercent is the load of a full link, and the highest that is reported.
	fullPercent = 100
)

// linkPercent returns the load of this machine's network link in percent, from 0
// to fullPercent. It is the higher of two estimates, from the rate sent and from
// the pacer's backlog, and 0 if the link's rate is not known.
func (n *Inbound) linkPercent() int {
	rate := n.options.LinkMbps
	if rate <= 0 {
		return 0
	}
	now := time.Now()
	sent := int(fullRatePercent * n.sent.bytesPerSecond(now) * 8 / (rate * 1e6))
	backlog := int(n.options.Pacer.backlog(now) / backlogPerPercent)
	return min(max(sent, backlog), fullPercent)
}
