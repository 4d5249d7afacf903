package affinity

import "slices"

// scheduler runs threads one at a time in a given order, so that a test can cover
// all orders. A thread gives up control when it calls yield.
type scheduler struct {
	// choices has, for each step, the index in ready of the thread to run. Steps
	// beyond its end run the first.
	choices []int
	step    int
	// readyCounts has the number of threads that were ready at each step.
	readyCounts []int
	ready       []*scheduledThread
}

// scheduledThread is a goroutine that runs only between a value on resume and the
// next on yielded, which is false when run has returned.
type scheduledThread struct {
	name    string
	run     func(yield func())
	resume  chan bool
	yielded chan bool
}

func (s *scheduler) add(name string, run func(yield func())) {
	thread := &scheduledThread{name: name, run: run, resume: make(chan bool), yielded: make(chan bool)}
	s.ready = append(s.ready, thread)
	go func() {
		<-thread.resume
		thread.run(func() {
			thread.yielded <- true
			<-thread.resume
		})
		thread.yielded <- false
	}()
}

// run runs all threads to their end. It returns the choices for the next order, or
// nil after the last.
func (s *scheduler) run() []int {
	for len(s.ready) > 0 {
		count := len(s.ready)
		choice := 0
		if s.step < len(s.choices) {
			choice = s.choices[s.step]
		} else {
			s.choices = append(s.choices, 0)
		}
		s.readyCounts = append(s.readyCounts, count)
		s.step++
		thread := s.ready[choice]
		thread.resume <- true
		if !<-thread.yielded {
			s.ready = slices.Delete(s.ready, choice, choice+1)
		}
	}
	next := slices.Clone(s.choices)
	for i := len(next) - 1; i >= 0; i-- {
		if next[i]+1 < s.readyCounts[i] {
			next[i]++
			return next[:i+1]
		}
	}
	return nil
}
