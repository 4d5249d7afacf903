package affinity

import "slices"

// scheduler runs threads one step at a time: a thread hands over at each question
// to the core, and a list of choices says which goes on.
type scheduler struct {
	choices []int
	step    int
	widths  []int
	ready   []*scheduledThread
}

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

// run runs all threads; it returns the choices for the next order, or nil.
func (s *scheduler) run() []int {
	for len(s.ready) > 0 {
		count := len(s.ready)
		choice := 0
		if s.step < len(s.choices) {
			choice = s.choices[s.step]
		} else {
			s.choices = append(s.choices, 0)
		}
		s.widths = append(s.widths, count)
		s.step++
		thread := s.ready[choice]
		thread.resume <- true
		if !<-thread.yielded {
			s.ready = slices.Delete(s.ready, choice, choice+1)
		}
	}
	next := slices.Clone(s.choices)
	for i := len(next) - 1; i >= 0; i-- {
		if next[i]+1 < s.widths[i] {
			next[i]++
			return next[:i+1]
		}
	}
	return nil
}
