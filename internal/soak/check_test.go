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

func cellAttempt(operation Operation, payload string, revision uint64, sent, answered int) Attempt {
	a := Attempt{Operation: operation, Name: "g.k", Payload: payload, Value: revision, SentAt: at(sent), AnsweredAt: at(answered)}
	if answered > 0 {
		a.Status = statusOK
	}
	return a
}

func TestCellHistoriesAreJudgedByWhatCallersSaw(t *testing.T) {
	missing := Attempt{Operation: Get, Name: "g.k", SentAt: at(5), AnsweredAt: at(6), Status: statusNotFound}
	for name, row := range map[string]struct {
		attempts []Attempt
		broken   Rule
	}{
		"read after a put":              {[]Attempt{cellAttempt(Put, "v", 1, 1, 2), cellAttempt(Get, "v", 1, 3, 4)}, ""},
		"read beside a put":             {[]Attempt{cellAttempt(Put, "v", 1, 1, 2), cellAttempt(Put, "w", 2, 3, 8), cellAttempt(Get, "v", 1, 4, 9)}, ""},
		"put without an answer shows":   {[]Attempt{cellAttempt(Put, "v", 0, 1, 0), cellAttempt(Get, "v", 1, 3, 4)}, ""},
		"repeated put keeps its place":  {[]Attempt{cellAttempt(Put, "v", 0, 1, 0), cellAttempt(Put, "w", 2, 2, 3), cellAttempt(Put, "v", 1, 4, 5)}, ""},
		"missing before any put":        {[]Attempt{missing}, ""},
		"stale read":                    {[]Attempt{cellAttempt(Put, "v", 1, 1, 2), cellAttempt(Put, "w", 2, 3, 4), cellAttempt(Get, "v", 1, 5, 6)}, RuleStale},
		"missing after a put":           {[]Attempt{cellAttempt(Put, "v", 1, 1, 2), missing}, RuleStale},
		"read that goes back":           {[]Attempt{cellAttempt(Get, "w", 2, 1, 2), cellAttempt(Get, "v", 1, 3, 4)}, RuleStale},
		"revision that is not above":    {[]Attempt{cellAttempt(Put, "v", 2, 1, 2), cellAttempt(Put, "w", 1, 3, 4)}, RuleOrder},
		"one revision with two values":  {[]Attempt{cellAttempt(Put, "v", 1, 1, 4), cellAttempt(Put, "w", 1, 2, 3)}, RuleMixed},
		"one value under two revisions": {[]Attempt{cellAttempt(Get, "v", 1, 1, 2), cellAttempt(Get, "v", 2, 3, 4)}, RuleMixed},
		"refused reads tell nothing":    {[]Attempt{cellAttempt(Put, "v", 1, 1, 2), {Operation: Get, Name: "g.k", SentAt: at(5), AnsweredAt: at(6), Status: 503}}, ""},
	} {
		violations := CheckCells(row.attempts)
		if row.broken == "" {
			qt.Check(t, violations, qt.HasLen, 0, qt.Commentf("%s", name))
			continue
		}
		qt.Check(t, len(violations) > 0 && violations[0].Rule == row.broken, qt.IsTrue, qt.Commentf("%s: %v", name, violations))
	}
}
