package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule names a promise of the control API.
type Rule string

// Rules that the checkers judge.
const (
	// RuleOneHolder: at any moment at most one caller counts itself holder of a lock, and
	// fencing tokens rise from holder to holder.
	RuleOneHolder Rule = "ONE"
	// RuleOrder: numbers and revisions are given once, and rise.
	RuleOrder Rule = "ORDER"
	// RuleStale: a read shows no revision below that of a put answered before it was sent.
	RuleStale Rule = "STALE"
	// RuleMixed: a revision of a key has one value, and a value one revision.
	RuleMixed Rule = "MIXED"
	// RuleRecover: calls succeed again once the faults have ended.
	RuleRecover Rule = "RECOVER"
)

// Violation is a case in which callers saw that a rule was broken.
type Violation struct {
	Rule        Rule   `json:"rule"`
	Description string `json:"description"`
	// Attempts are those that show the violation.
	Attempts []Attempt `json:"attempts"`
}

// CheckLocks judges the attempts on locks, in the order in which they were sent.
func CheckLocks(attempts []Attempt) []Violation {
	var violations []Violation
	for _, onLock := range byName(attempts, Acquire, Renew, Release) {
		violations = append(violations, checkOverlaps(holdings(onLock))...)
		violations = append(violations, checkTokens(onLock)...)
	}
	return violations
}

// holding is a period in which a caller counts itself holder of a lock.
type holding struct {
	caller      string
	from, until time.Duration
	// granted is the attempt that began the period.
	granted Attempt
}

// holdings returns the periods of all callers. A caller counts itself holder from the
// answer to its acquisition until the time to live has passed since it sent its last
// successful call, or until it sends a release. A renewal that is answered later than that
// counts for nothing.
func holdings(onLock []Attempt) []holding {
	byCaller := map[string][]Attempt{}
	for _, a := range onLock {
		byCaller[a.Caller] = append(byCaller[a.Caller], a)
	}
	var all []holding
	for _, attempts := range byCaller {
		all = append(all, holdingsOfCaller(attempts)...)
	}
	slices.SortFunc(all, func(a, b holding) int { return cmp.Compare(a.from, b.from) })
	return all
}

// holdingsOfCaller returns the periods of one caller, whose calls on a lock never overlap.
func holdingsOfCaller(attempts []Attempt) []holding {
	var all []holding
	var current *holding
	end := func() {
		if current != nil && current.from < current.until {
			all = append(all, *current)
		}
		current = nil
	}
	for _, a := range attempts {
		if current != nil && a.SentAt >= current.until {
			end()
		}
		switch {
		case a.Operation == Release && current != nil:
			current.until = min(current.until, a.SentAt)
			end()
		case a.Operation == Release || !a.Succeeded():
		case current != nil && a.AnsweredAt < current.until:
			current.until = a.SentAt + a.TTL
		case a.Operation == Acquire:
			end()
			current = &holding{a.Caller, a.AnsweredAt, a.SentAt + a.TTL, a}
		}
	}
	end()
	return all
}

// checkOverlaps finds two callers that held the lock at the same moment. The holdings are
// sorted by their beginnings.
func checkOverlaps(sorted []holding) []Violation {
	var violations []Violation
	for i, later := range sorted {
		for _, earlier := range sorted[:i] {
			if earlier.caller != later.caller && later.from < earlier.until {
				violations = append(violations, Violation{
					Rule: RuleOneHolder,
					Description: fmt.Sprintf("%s and %s both hold %s from %.3f s until %.3f s", earlier.caller, later.caller, later.granted.Name,
						later.from.Seconds(), min(earlier.until, later.until).Seconds()),
					Attempts: []Attempt{earlier.granted, later.granted},
				})
			}
		}
	}
	return violations
}

// checkTokens finds a fencing token that is not above one that another caller got before
// the call was sent.
func checkTokens(onLock []Attempt) []Violation {
	var granted []Attempt
	for _, a := range onLock {
		if a.Operation == Acquire && a.Succeeded() {
			granted = append(granted, a)
		}
	}
	var violations []Violation
	for _, later := range granted {
		for _, earlier := range granted {
			if earlier.Caller == later.Caller {
				continue
			}
			outdated := earlier.AnsweredAt <= later.SentAt && later.Token <= earlier.Token
			shared := earlier.SentAt < later.SentAt && later.Token == earlier.Token
			if outdated || shared {
				violations = append(violations, Violation{RuleOneHolder,
					fmt.Sprintf("%s got token %d of %s after %s had got %d", later.Caller, later.Token, later.Name, earlier.Caller, earlier.Token),
					[]Attempt{earlier, later}})
			}
		}
	}
	return violations
}

// CheckNumbers judges the attempts to draw numbers, in the order in which they were sent.
func CheckNumbers(attempts []Attempt) []Violation {
	var violations []Violation
	for name, drawn := range byName(attempts, Number) {
		violations = append(violations, checkNumber(name, drawn)...)
	}
	return violations
}

// checkNumber finds a number that was given twice, or that is not above one that was
// given before its call was sent.
func checkNumber(name string, drawn []Attempt) []Violation {
	var violations []Violation
	drawn = slices.DeleteFunc(slices.Clone(drawn), func(a Attempt) bool { return !a.Succeeded() })
	byAnswer := slices.Clone(drawn)
	slices.SortFunc(byAnswer, func(a, b Attempt) int { return cmp.Compare(a.AnsweredAt, b.AnsweredAt) })
	givenBy := map[uint64]Attempt{}
	var highest Attempt
	answered := 0
	for _, a := range drawn {
		for ; answered < len(byAnswer) && byAnswer[answered].AnsweredAt <= a.SentAt; answered++ {
			if byAnswer[answered].Value > highest.Value {
				highest = byAnswer[answered]
			}
		}
		if a.Value <= highest.Value {
			violations = append(violations, Violation{RuleOrder, fmt.Sprintf("%s gave %d after %d", name, a.Value, highest.Value), []Attempt{highest, a}})
		}
		if first, given := givenBy[a.Value]; given {
			violations = append(violations, Violation{RuleOrder, fmt.Sprintf("%s gave %d twice", name, a.Value), []Attempt{first, a}})
		}
		givenBy[a.Value] = a
	}
	return violations
}

// CheckRecovery judges whether calls succeeded after deadline, which is the time by which
// the core must serve again after the last fault.
func CheckRecovery(attempts []Attempt, deadline time.Duration) []Violation {
	var late []Attempt
	for _, a := range attempts {
		if a.SentAt < deadline {
			continue
		}
		if a.Succeeded() {
			return nil
		}
		late = append(late, a)
	}
	return []Violation{{RuleRecover, fmt.Sprintf("no call sent after %.3f s succeeded", deadline.Seconds()), late}}
}
