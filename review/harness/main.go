package harness

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// timeLimit is less than the 120 s that a script may run.
const timeLimit = 110 * time.Second

// Main runs a case in a new mesh and exits: with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run. The record is written to the folder in the first
// argument. The environment variable TROUBLE=0 leaves out the disruption.
func Main(run func(m *Mesh, trouble bool) (broken bool, err error)) {
	os.Exit(mainCode(run))
}

func mainCode(run func(m *Mesh, trouble bool) (broken bool, err error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		return exitFailed
	}
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	m, err := New(record)
	if err != nil {
		record.Printf("could not run: %v", err)
		return exitFailed
	}
	defer m.Close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	result := make(chan int, 1)
	go func() { result <- m.runCase(run) }()
	select {
	case code := <-result:
		return code
	case <-stop:
		record.Printf("stopped from outside")
	case <-time.After(timeLimit):
		record.Printf("out of time")
	}
	return exitFailed
}

func (m *Mesh) runCase(run func(m *Mesh, trouble bool) (broken bool, err error)) int {
	trouble := os.Getenv("TROUBLE") != "0"
	m.Record.Printf("trouble: %v", trouble)
	broken, err := run(m, trouble)
	switch {
	case err != nil:
		m.Record.Printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	case broken:
		m.Record.Printf("result: the rule was broken")
		fmt.Println("the rule was broken; see record.txt")
		return exitBroken
	}
	m.Record.Printf("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
