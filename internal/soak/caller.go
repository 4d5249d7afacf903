package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	minTTL = 300 * time.Millisecond
	maxTTL = 20 * time.Second
	// maxHold is the longest time between two calls of a holder that does not sleep past
	// its time to live.
	maxHold = 2 * time.Second
	// maxSleep limits how long a holder sleeps, so that it makes more calls in a run.
	maxSleep = 4 * time.Second
	// maxAttempts is the maximum number of transmissions of a call.
	maxAttempts = 4
	// maxPause is the longest pause of a caller between two calls.
	maxPause = 200 * time.Millisecond
	// crashShare, sleepShare and overtakeShare are the shares of holders that vanish,
	// that sleep past their time, and that acquire again after an unanswered release.
	crashShare    = 0.08
	sleepShare    = 0.12
	overtakeShare = 0.7
	// keepAliveShare is the share of callers that keep their connections open.
	keepAliveShare = 0.6
)

// caller is an application that competes for locks, draws numbers, and writes and
// reads keys. It makes one call
// at a time.
type caller struct {
	client  *client
	cluster *cluster
	random  *rand.Rand
	// locks, numbers and keys are the names that the caller uses.
	locks, numbers, keys []string
	// putCount numbers the values that the caller writes, so that each is unique.
	putCount int
}

func newCaller(i int, seed uint64, c *cluster, history *History, start time.Time, locks, numbers, keys []string) *caller {
	random := rand.New(rand.NewPCG(seed, uint64(i)+1))
	name := fmt.Sprint("caller-", i)
	return &caller{newClient(name, random.Float64() < keepAliveShare, history, start), c, random, locks, numbers, keys, 0}
}

// run makes calls until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		switch c.random.IntN(8) {
		case 0, 1:
			c.try(ctx, Attempt{Operation: Number, Name: pick(c.random, c.numbers)})
		case 2:
			c.putCount++
			c.try(ctx, Attempt{Operation: Put, Name: pick(c.random, c.keys), Payload: fmt.Sprint(c.client.caller, "/", c.putCount)})
		case 3, 4:
			c.try(ctx, Attempt{Operation: Get, Name: pick(c.random, c.keys)})
		default:
			c.hold(ctx, pick(c.random, c.locks))
		}
		c.pause(ctx)
	}
	c.client.http.CloseIdleConnections()
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func (c *caller) pause(ctx context.Context) {
	sleep(ctx, time.Duration(c.random.Float64()*float64(maxPause)))
}

// ttl draws a time to live, short ones more often than long ones.
func (c *caller) ttl() time.Duration {
	share := c.random.Float64()
	return (minTTL + time.Duration(share*share*float64(maxTTL-minTTL))).Round(time.Millisecond)
}

// try sends an attempt to random members until one gives a clear answer, which is any but
// a server error. It returns the last attempt.
func (c *caller) try(ctx context.Context, a Attempt) Attempt {
	var sent Attempt
	for range maxAttempts {
		sent = c.client.send(ctx, pick(c.random, c.cluster.current()), a)
		if sent.Status != 0 && sent.Status < 500 || ctx.Err() != nil {
			break
		}
		c.pause(ctx)
	}
	return sent
}

// hold acquires a lock and holds it until it is released, lost, or out of time.
func (c *caller) hold(ctx context.Context, lock string) {
	ttl := c.ttl()
	acquired := c.try(ctx, Attempt{Operation: Acquire, Name: lock, TTL: ttl})
	for acquired.Succeeded() && ctx.Err() == nil {
		sleep(ctx, time.Duration(c.random.Float64()*float64(min(ttl*4/5, maxHold))))
		switch choice := c.random.Float64(); {
		case choice < crashShare:
			return
		case choice < crashShare+sleepShare:
			sleep(ctx, min(ttl, maxSleep))
		case choice < 0.5:
			if !c.extend(ctx, lock, acquired.Token, c.ttl()) {
				return
			}
			continue
		}
		acquired = c.release(ctx, lock, acquired.Token, ttl)
	}
}

// extend renews the lock, or acquires it again, and reports whether it is still held.
func (c *caller) extend(ctx context.Context, lock string, token uint64, ttl time.Duration) bool {
	a := Attempt{Operation: Renew, Name: lock, TTL: ttl, Token: token}
	if c.random.IntN(3) == 0 {
		a = Attempt{Operation: Acquire, Name: lock, TTL: ttl}
	}
	sent := c.try(ctx, a)
	return sent.Succeeded() && sent.Token == token
}

// release releases the lock. If the release is not answered, the caller often gives it up
// and acquires the lock again at another member. It returns that acquisition, if any.
func (c *caller) release(ctx context.Context, lock string, token uint64, ttl time.Duration) Attempt {
	a := Attempt{Operation: Release, Name: lock, Token: token}
	first := c.client.send(ctx, pick(c.random, c.cluster.current()), a)
	switch {
	case first.Succeeded() || ctx.Err() != nil:
		return Attempt{}
	case c.random.Float64() < overtakeShare:
		return c.try(ctx, Attempt{Operation: Acquire, Name: lock, TTL: ttl})
	}
	c.try(ctx, a)
	return Attempt{}
}
