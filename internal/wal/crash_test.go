package wal

import (
	"fmt"
	"math/rand"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// choiceSequence makes choices, one after the other. All of them are gone through while they
// are few; of more, some are drawn.
type choiceSequence struct {
	path, limits []int
	position     int
	rng          *rand.Rand
}

func (c *choiceSequence) pick(n int) int {
	if c.rng != nil {
		return c.rng.Intn(n)
	}
	if c.position == len(c.path) {
		c.path, c.limits = append(c.path, 0), append(c.limits, n)
	}
	c.position++
	return c.path[c.position-1]
}

func (c *choiceSequence) next() bool {
	c.position = 0
	for i := len(c.path) - 1; i >= 0; i-- {
		if c.path[i]++; c.path[i] < c.limits[i] {
			c.path, c.limits = c.path[:i+1], c.limits[:i+1]
			return true
		}
	}
	return false
}

// forEachChoice calls f for all choices, or for some drawn where there are more
// than maxChoices.
func forEachChoice(seed int64, maxChoices int, f func(pick func(n int) int)) {
	choices := &choiceSequence{}
	for i := 0; i < maxChoices; i++ {
		f(choices.pick)
		if !choices.next() {
			return
		}
	}
	rng := rand.New(rand.NewSource(seed))
	for i := 0; i < maxChoices; i++ {
		f((&choiceSequence{rng: rng}).pick)
	}
}

// logUser is what a user of the log holds in memory, and what of that it was told
// is on disk. Records are numbers, each above the one before.
type logUser struct {
	records, acknowledged []int
	last                  int
}

func (u *logUser) clone() *logUser {
	return &logUser{append([]int(nil), u.records...), append([]int(nil), u.acknowledged...), u.last}
}

func (u *logUser) appendRecords(log *Log, n int) error {
	errs := make(chan error, n)
	var jobs []job
	for range n {
		u.last++
		u.records = append(u.records, u.last)
		jobs = append(jobs, job{record: []byte(strconv.Itoa(u.last)), done: func(err error) { errs <- err }})
	}
	log.enqueue(jobs...)
	for i := range n {
		if err := <-errs; err != nil {
			return err
		}
		u.acknowledged = append(u.acknowledged, u.records[len(u.records)-n+i])
	}
	return nil
}

func (u *logUser) checkpoint(log *Log) error {
	var records []string
	for _, x := range u.records {
		records = append(records, strconv.Itoa(x))
	}
	err := checkpointAndWait(log, records)
	if err == nil {
		u.acknowledged = append([]int(nil), u.records...)
	}
	return err
}

// open starts on what the directory holds and says what is wrong with it.
func (u *logUser) open(directory *faultyDirectory) (*Log, string) {
	log, records, err := Open(directory)
	if err != nil {
		return nil, err.Error()
	}
	u.records = nil
	last, found := 0, map[int]bool{}
	for _, r := range records {
		x, err := strconv.Atoi(string(r))
		if err != nil || x <= last || x > u.last {
			return log, fmt.Sprintf("%q behind %d, of %d", r, last, u.last)
		}
		last, found[x] = x, true
		u.records = append(u.records, x)
	}
	for _, x := range u.acknowledged {
		if !found[x] {
			return log, fmt.Sprintf("%d was acknowledged and is lost; read: %v", x, u.records)
		}
	}
	return log, ""
}

// run is a process from its start to the end of its work, or to a loss of power.
func (u *logUser) run(directory *faultyDirectory, checkpoints, appends int) string {
	log, problem := u.open(directory)
	if log != nil {
		defer log.Close()
	}
	if problem != "" {
		return problem
	}
	for range checkpoints {
		for attempts := 0; u.checkpoint(log) != nil && attempts < 8; attempts++ {
		}
		for i := range appends {
			_ = u.appendRecords(log, 1+i%2)
		}
	}
	return ""
}

// runCrashes runs a first process up to its end at each step, on a directory that
// refuses some steps or none. Where the end is a loss of power, a second process
// follows on each directory that may be found; where it is a kill, on the
// directory as it stands. That one ends with a loss of power too, and a third one
// reads.
func runCrashes(maxChoices int, report func(string)) (n int) {
	secondLoss := []int{1, 2, 3, 4, 5, 6, 7, 9, 12, 1 << 30}
	for refusedFrom := range 21 {
		refusedSteps := 1 + refusedFrom%3
		for lastStep := 1; lastStep <= 30; lastStep++ {
			directory, user := newFaultyDirectory(), &logUser{}
			directory.refuses = func(step int) bool { return refusedFrom > 0 && step >= refusedFrom && step < refusedFrom+refusedSteps }
			directory.lastStep = lastStep
			situation := fmt.Sprintf("refusing %d from step %d, power lost at step %d", refusedSteps, refusedFrom, lastStep)
			if problem := user.run(directory, 3, 3); problem != "" {
				report(situation + ": " + problem)
				return n
			}
			restart := func(killed bool, found *faultyDirectory, lossIndex int) {
				n++
				found.lastStep = secondLoss[lossIndex]
				restarted := user.clone()
				problem := restarted.run(found, 2, 2)
				if problem == "" {
					problem = restarted.verify(found.afterPowerLoss(rand.New(rand.NewSource(int64(n))).Intn))
				}
				if problem != "" {
					report(fmt.Sprintf("%s, killed first %v, second loss at step %d, world %d: %s", situation, killed, found.lastStep, n, problem))
				}
			}
			forEachChoice(int64(lastStep), maxChoices, func(pick func(int) int) { restart(false, directory.afterPowerLoss(pick), n%len(secondLoss)) })
			forEachChoice(int64(lastStep), maxChoices, func(pick func(int) int) { restart(true, directory.afterKill(), pick(4*len(secondLoss))/4) })
		}
	}
	return n
}

// verify starts once more and says what is wrong.
func (u *logUser) verify(directory *faultyDirectory) string {
	log, problem := u.open(directory)
	if log != nil {
		log.Close()
	}
	return problem
}

func TestAcknowledgedRecordsSurviveRepeatedPowerLossAndKill(t *testing.T) {
	failures := 0
	runs := runCrashes(16, func(problem string) {
		if failures++; failures <= 3 {
			t.Error(problem)
		}
	})
	t.Logf("%d worlds, %d wrong", runs, failures)
	qt.Assert(t, runs > 10000, qt.IsTrue)
}
