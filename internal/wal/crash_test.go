package wal

import (
	"fmt"
	"math/rand"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// choiceEnumerator enumerates all sequences of choices in depth-first order, or makes
// random choices if rng is set.
type choiceEnumerator struct {
	// choices is the current sequence; limits has the number of options of each
	// choice.
	choices, limits []int
	// depth is the number of choices made in the current run.
	depth int
	rng   *rand.Rand
}

// pick returns the next choice, from 0 to n-1.
func (c *choiceEnumerator) pick(n int) int {
	if c.rng != nil {
		return c.rng.Intn(n)
	}
	if c.depth == len(c.choices) {
		c.choices, c.limits = append(c.choices, 0), append(c.limits, n)
	}
	c.depth++
	return c.choices[c.depth-1]
}

// advance moves on to the next sequence and reports whether there is one.
func (c *choiceEnumerator) advance() bool {
	c.depth = 0
	for i := len(c.choices) - 1; i >= 0; i-- {
		if c.choices[i]++; c.choices[i] < c.limits[i] {
			c.choices, c.limits = c.choices[:i+1], c.limits[:i+1]
			return true
		}
	}
	return false
}

// forEachChoice calls f for each sequence of choices. If there are more than maxChoices,
// it calls f for the first maxChoices and then for as many random ones.
func forEachChoice(seed int64, maxChoices int, f func(pick func(n int) int)) {
	enumerator := &choiceEnumerator{}
	for i := 0; i < maxChoices; i++ {
		f(enumerator.pick)
		if !enumerator.advance() {
			return
		}
	}
	rng := rand.New(rand.NewSource(seed))
	for i := 0; i < maxChoices; i++ {
		f((&choiceEnumerator{rng: rng}).pick)
	}
}

// logClient models a user of the log: the records that it holds in memory, and those
// that were acknowledged as durable. Records are increasing numbers.
type logClient struct {
	records, acknowledged []int
	lastRecord            int
}

func (c *logClient) clone() *logClient {
	return &logClient{append([]int(nil), c.records...), append([]int(nil), c.acknowledged...), c.lastRecord}
}

// appendRecords appends n records as one group and waits for the results.
func (c *logClient) appendRecords(log *Log, n int) error {
	errs := make(chan error, n)
	var jobs []job
	for range n {
		c.lastRecord++
		c.records = append(c.records, c.lastRecord)
		jobs = append(jobs, job{record: []byte(strconv.Itoa(c.lastRecord)), done: func(err error) { errs <- err }})
	}
	log.enqueue(jobs...)
	for i := range n {
		if err := <-errs; err != nil {
			return err
		}
		c.acknowledged = append(c.acknowledged, c.records[len(c.records)-n+i])
	}
	return nil
}

func (c *logClient) checkpoint(log *Log) error {
	var records []string
	for _, x := range c.records {
		records = append(records, strconv.Itoa(x))
	}
	err := checkpointAndWait(log, records)
	if err == nil {
		c.acknowledged = append([]int(nil), c.records...)
	}
	return err
}

// open recovers the records of a directory. It describes the problem if a record is
// invalid, out of order or was never written, or if an acknowledged record is lost, and
// returns "" otherwise.
func (c *logClient) open(directory *faultyDirectory) (*Log, string) {
	log, records, err := Open(directory)
	if err != nil {
		return nil, err.Error()
	}
	c.records = nil
	last, recovered := 0, map[int]bool{}
	for _, r := range records {
		x, err := strconv.Atoi(string(r))
		if err != nil || x <= last || x > c.lastRecord {
			return log, fmt.Sprintf("read invalid record %q after %d; last written: %d", r, last, c.lastRecord)
		}
		last, recovered[x] = x, true
		c.records = append(c.records, x)
	}
	for _, x := range c.acknowledged {
		if !recovered[x] {
			return log, fmt.Sprintf("acknowledged record %d is lost; read: %v", x, c.records)
		}
	}
	return log, ""
}

// runProcess runs a process from its start until its work is done or power is lost, and
// returns a description of the first problem, or "".
func (c *logClient) runProcess(directory *faultyDirectory, checkpoints, appends int) string {
	log, problem := c.open(directory)
	if log != nil {
		defer log.Close()
	}
	if problem != "" {
		return problem
	}
	for range checkpoints {
		for attempts := 0; c.checkpoint(log) != nil && attempts < 8; attempts++ {
		}
		for i := range appends {
			_ = c.appendRecords(log, 1+i%2)
		}
	}
	return ""
}

// runCrashScenarios runs a first process that stops at each step in turn, on a directory
// that fails one to three consecutive steps or none. After a power loss, a second
// process runs on each possible surviving directory; after a kill, on the directory as
// it is. The second process ends with a power loss too, and a third one reads. It
// returns the number of scenarios.
func runCrashScenarios(maxChoices int, report func(string)) (n int) {
	secondLossSteps := []int{1, 2, 3, 4, 5, 6, 7, 9, 12, 1 << 30}
	for firstFailure := range 21 {
		failureCount := 1 + firstFailure%3
		for lastStep := 1; lastStep <= 30; lastStep++ {
			directory, client := newFaultyDirectory(), &logClient{}
			directory.failsAt = func(step int) bool {
				return firstFailure > 0 && step >= firstFailure && step < firstFailure+failureCount
			}
			directory.lastStep = lastStep
			scenario := fmt.Sprintf("%d failures from step %d, stopped after step %d", failureCount, firstFailure, lastStep)
			if problem := client.runProcess(directory, 3, 3); problem != "" {
				report(scenario + ": " + problem)
				return n
			}
			restart := func(killed bool, survivor *faultyDirectory, lossIndex int) {
				n++
				survivor.lastStep = secondLossSteps[lossIndex]
				secondClient := client.clone()
				problem := secondClient.runProcess(survivor, 2, 2)
				if problem == "" {
					problem = secondClient.verify(survivor.afterPowerLoss(rand.New(rand.NewSource(int64(n))).Intn))
				}
				if problem != "" {
					report(fmt.Sprintf("%s, killed %v, then power lost after step %d, scenario %d: %s", scenario, killed, survivor.lastStep, n, problem))
				}
			}
			forEachChoice(int64(lastStep), maxChoices, func(pick func(int) int) { restart(false, directory.afterPowerLoss(pick), n%len(secondLossSteps)) })
			forEachChoice(int64(lastStep), maxChoices, func(pick func(int) int) { restart(true, directory.afterKill(), pick(4*len(secondLossSteps))/4) })
		}
	}
	return n
}

// verify recovers the records once more and describes the problem found, or returns "".
func (c *logClient) verify(directory *faultyDirectory) string {
	log, problem := c.open(directory)
	if log != nil {
		log.Close()
	}
	return problem
}

// TestAcknowledgedRecordsSurviveRepeatedPowerLossAndKill guards against the loss of
// acknowledged records. One cause was a segment created after the only directory sync: a
// power loss removed its name, and with it all records appended since the checkpoint.
func TestAcknowledgedRecordsSurviveRepeatedPowerLossAndKill(t *testing.T) {
	failures := 0
	scenarios := runCrashScenarios(16, func(problem string) {
		if failures++; failures <= 3 {
			t.Error(problem)
		}
	})
	t.Logf("%d scenarios, %d failed", scenarios, failures)
	qt.Assert(t, scenarios > 10000, qt.IsTrue)
}
