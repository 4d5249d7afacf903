package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// at returns a time in tenths of a second.
func at(tenths int) time.Duration { return time.Duration(tenths) * 100 * time.Millisecond }

func lockAttempt(caller string, operation Operation, token uint64, ttl, sent, answered int) Attempt {
	a := Attempt{Caller: caller, Operation: operation, Name: "l", Token: token, TTL: at(ttl), SentAt: at(sent), AnsweredAt: at(answered)}
	if answered > 0 {
		a.Status = statusOK
	}
	return a
}

func numberAttempt(value uint64, sent, answered int) Attempt {
	return Attempt{Caller: "a", Operation: Number, Name: "n", Value: value, SentAt: at(sent), AnsweredAt: at(answered), Status: statusOK}
}

// Each history has one reason why the rule is kept or broken.
func TestLockHistoriesAreJudgedByWhatCallersSaw(t *testing.T) {
	for name, row := range map[string]struct {
		attempts []Attempt
		broken   bool
	}{
		"next holder after the release":      {[]Attempt{lockAttempt("a", Acquire, 1, 50, 1, 2), lockAttempt("a", Release, 1, 0, 10, 11), lockAttempt("b", Acquire, 2, 50, 12, 13)}, false},
		"next holder after the expiry":       {[]Attempt{lockAttempt("a", Acquire, 1, 10, 1, 2), lockAttempt("b", Acquire, 2, 50, 10, 11)}, false},
		"two holders":                        {[]Attempt{lockAttempt("a", Acquire, 1, 50, 1, 2), lockAttempt("b", Acquire, 2, 50, 12, 13)}, true},
		"two holders after a renewal":        {[]Attempt{lockAttempt("a", Acquire, 1, 10, 1, 2), lockAttempt("a", Renew, 1, 50, 5, 6), lockAttempt("b", Acquire, 2, 50, 12, 13)}, true},
		"renewal without an answer":          {[]Attempt{lockAttempt("a", Acquire, 1, 10, 1, 2), lockAttempt("a", Renew, 1, 50, 5, 0), lockAttempt("b", Acquire, 2, 50, 12, 13)}, false},
		"renewal that is answered too late":  {[]Attempt{lockAttempt("a", Acquire, 1, 10, 1, 2), lockAttempt("a", Renew, 1, 50, 5, 12), lockAttempt("b", Acquire, 2, 50, 12, 13)}, false},
		"unanswered release ends the hold":   {[]Attempt{lockAttempt("a", Acquire, 1, 50, 1, 2), lockAttempt("a", Release, 1, 0, 5, 0), lockAttempt("b", Acquire, 2, 50, 12, 13)}, false},
		"acquired again after a release":     {[]Attempt{lockAttempt("a", Acquire, 1, 50, 1, 2), lockAttempt("a", Release, 1, 0, 5, 0), lockAttempt("a", Acquire, 1, 50, 15, 16), lockAttempt("b", Acquire, 2, 50, 22, 23)}, true},
		"token that is not above":            {[]Attempt{lockAttempt("a", Acquire, 2, 10, 1, 2), lockAttempt("b", Acquire, 1, 10, 30, 31)}, true},
		"token of another caller":            {[]Attempt{lockAttempt("a", Acquire, 2, 10, 1, 30), lockAttempt("b", Acquire, 2, 10, 25, 31)}, true},
		"same token for the same caller":     {[]Attempt{lockAttempt("a", Acquire, 2, 10, 1, 2), lockAttempt("a", Acquire, 2, 10, 5, 6)}, false},
		"refused acquisition holds nothing":  {[]Attempt{lockAttempt("a", Acquire, 1, 50, 1, 2), {Caller: "b", Operation: Acquire, Name: "l", TTL: at(50), SentAt: at(3), AnsweredAt: at(4), Status: 409}}, false},
		"shorter last call ends the holding": {[]Attempt{lockAttempt("a", Acquire, 1, 90, 1, 2), lockAttempt("a", Renew, 1, 10, 5, 6), lockAttempt("b", Acquire, 2, 50, 20, 21)}, false},
	} {
		qt.Check(t, len(CheckLocks(row.attempts)) > 0, qt.Equals, row.broken, qt.Commentf("%s", name))
	}
}

func TestNumbersMustRiseAndBeUnique(t *testing.T) {
	for name, row := range map[string]struct {
		attempts []Attempt
		broken   bool
	}{
		"rising":                    {[]Attempt{numberAttempt(1, 1, 2), numberAttempt(5, 3, 4)}, false},
		"concurrent, in any order":  {[]Attempt{numberAttempt(5, 1, 4), numberAttempt(1, 2, 3)}, false},
		"twice":                     {[]Attempt{numberAttempt(5, 1, 4), numberAttempt(5, 2, 3)}, true},
		"lower after an answer":     {[]Attempt{numberAttempt(5, 1, 2), numberAttempt(4, 3, 4)}, true},
		"unanswered counts nothing": {[]Attempt{{Operation: Number, Name: "n", SentAt: at(1)}, numberAttempt(1, 2, 3)}, false},
	} {
		qt.Check(t, len(CheckNumbers(row.attempts)) > 0, qt.Equals, row.broken, qt.Commentf("%s", name))
	}
}

func TestRecoveryNeedsASuccessAfterTheDeadline(t *testing.T) {
	attempts := []Attempt{numberAttempt(1, 1, 2), {Operation: Number, Name: "n", SentAt: at(30)}}
	qt.Assert(t, CheckRecovery(attempts, at(20)), qt.HasLen, 1)
	qt.Assert(t, CheckRecovery(attempts, at(1)), qt.HasLen, 0)
}
