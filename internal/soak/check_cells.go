package soak

import (
	"cmp"
	"fmt"
	"slices"
)

// CheckCells judges the attempts to write and read the keys of one group, in the order in
// which they were sent.
func CheckCells(attempts []Attempt) []Violation {
	violations := checkRevisions(attempts)
	for _, onKey := range byName(attempts, Put, Get) {
		violations = append(violations, checkReads(onKey)...)
		violations = append(violations, checkValues(onKey)...)
	}
	return violations
}

// checkRevisions finds a put whose revision is not above that of a put that was answered
// before it was sent. A put is judged by its first transmission, as a repeated one keeps
// its revision.
func checkRevisions(attempts []Attempt) []Violation {
	firstSent := map[string]Attempt{}
	var puts []Attempt
	for _, a := range attempts {
		if a.Operation != Put {
			continue
		}
		first, found := firstSent[a.Payload]
		if !found {
			first, firstSent[a.Payload] = a, a
		}
		if a.Succeeded() {
			a.SentAt = first.SentAt
			puts = append(puts, a)
		}
	}
	var violations []Violation
	for _, pair := range outdated(puts, puts) {
		violations = append(violations, Violation{RuleOrder,
			fmt.Sprintf("a put to %s got revision %d after %d had been given", pair.later.Name, pair.later.Value, pair.earlier.Value), []Attempt{pair.earlier, pair.later}})
	}
	return violations
}

// checkReads finds a read that shows a lower revision of the key than a put or read that
// was answered before it was sent.
func checkReads(onKey []Attempt) []Violation {
	var answered, reads []Attempt
	for _, a := range onKey {
		if !a.Succeeded() {
			continue
		}
		answered = append(answered, a)
		if a.Operation == Get {
			reads = append(reads, a)
		}
	}
	var violations []Violation
	for _, pair := range outdated(answered, reads) {
		violations = append(violations, Violation{RuleStale,
			fmt.Sprintf("a read of %s shows revision %d after %d", pair.later.Name, pair.later.Value, pair.earlier.Value), []Attempt{pair.earlier, pair.later}})
	}
	return violations
}

// attemptPair is an attempt and a later one that contradicts it.
type attemptPair struct{ earlier, later Attempt }

// outdated returns each later attempt whose value is below the highest one that was
// answered before it was sent, together with that one.
func outdated(answered, later []Attempt) []attemptPair {
	byAnswer := slices.SortedFunc(slices.Values(answered), func(a, b Attempt) int { return cmp.Compare(a.AnsweredAt, b.AnsweredAt) })
	bySending := slices.SortedFunc(slices.Values(later), func(a, b Attempt) int { return cmp.Compare(a.SentAt, b.SentAt) })
	var pairs []attemptPair
	var highest Attempt
	next := 0
	for _, a := range bySending {
		for ; next < len(byAnswer) && byAnswer[next].AnsweredAt <= a.SentAt; next++ {
			if byAnswer[next].Value > highest.Value {
				highest = byAnswer[next]
			}
		}
		if a.Value < highest.Value {
			pairs = append(pairs, attemptPair{highest, a})
		}
	}
	return pairs
}

// checkValues finds a revision that was shown with two values, and a value that was shown
// under two revisions.
func checkValues(onKey []Attempt) []Violation {
	var violations []Violation
	byRevision, byPayload := map[uint64]Attempt{}, map[string]Attempt{}
	for _, a := range onKey {
		if !a.Succeeded() || a.Value == 0 {
			continue
		}
		if first, found := byRevision[a.Value]; found && first.Payload != a.Payload {
			violations = append(violations, Violation{RuleMixed, fmt.Sprintf("revision %d of %s has two values", a.Value, a.Name), []Attempt{first, a}})
		}
		if first, found := byPayload[a.Payload]; found && first.Value != a.Value {
			violations = append(violations, Violation{RuleMixed, fmt.Sprintf("value %s of %s has two revisions", a.Payload, a.Name), []Attempt{first, a}})
		}
		byRevision[a.Value], byPayload[a.Payload] = a, a
	}
	return violations
}
