package soak

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Operation is the kind of a call.
type Operation string

// Operations of callers.
const (
	Acquire Operation = "acquire"
	Renew   Operation = "renew"
	Release Operation = "release"
	Number  Operation = "number"
	Put     Operation = "put"
	Get     Operation = "get"
)

// Attempt is one transmission of a call to one member. Times are durations since the
// start of the run, on the monotonic clock of the callers.
type Attempt struct {
	Caller    string        `json:"caller"`
	Operation Operation     `json:"operation"`
	Name      string        `json:"name"`
	Member    string        `json:"member"`
	SentAt    time.Duration `json:"sentAt"`
	// AnsweredAt is the time at which the response was read, or 0 if there was none.
	AnsweredAt time.Duration `json:"answeredAt"`
	// Status is the HTTP status, or 0 if there was no response.
	Status int `json:"status"`
	// TTL is the requested time to live of a lock.
	TTL time.Duration `json:"ttl,omitempty"`
	// Token is the fencing token in a successful response to Acquire, and the one in the
	// request otherwise.
	Token uint64 `json:"token,omitempty"`
	// Value is the number in a successful response to Number, and the revision in one to
	// Put and Get. It is 0 for a key without a value.
	Value uint64 `json:"value,omitempty"`
	// Payload is the value that Put writes or that Get has read.
	Payload string `json:"payload,omitempty"`
}

// Succeeded reports whether the attempt was answered with success. That a key has no
// value is a successful answer to Get.
func (a Attempt) Succeeded() bool {
	return a.AnsweredAt > 0 && (a.Status == statusOK || a.Operation == Get && a.Status == statusNotFound)
}

// String describes the attempt in one line.
func (a Attempt) String() string {
	answer := "no answer"
	if a.AnsweredAt > 0 {
		answer = fmt.Sprintf("%d at %.3f s", a.Status, a.AnsweredAt.Seconds())
	}
	return fmt.Sprintf("%.3f s: %s sends %s %s to %s (token %d, time to live %.2f s, value %d %s): %s",
		a.SentAt.Seconds(), a.Caller, a.Operation, a.Name, a.Member, a.Token, a.TTL.Seconds(), a.Value, a.Payload, answer)
}

// HTTP statuses that answer a call.
const (
	statusOK       = 200
	statusNotFound = 404
)

// History collects attempts. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	attempts []Attempt
}

// Add adds an attempt.
func (h *History) Add(a Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a)
}

// Attempts returns all attempts in the order in which they were sent.
func (h *History) Attempts() []Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	sorted := slices.Clone(h.attempts)
	slices.SortStableFunc(sorted, func(a, b Attempt) int { return cmp.Compare(a.SentAt, b.SentAt) })
	return sorted
}

// byName returns the attempts of the given operations, in order, by the name of the lock,
// number or key.
func byName(attempts []Attempt, operations ...Operation) map[string][]Attempt {
	grouped := map[string][]Attempt{}
	for _, a := range attempts {
		if slices.Contains(operations, a.Operation) {
			grouped[a.Name] = append(grouped[a.Name], a)
		}
	}
	return grouped
}
