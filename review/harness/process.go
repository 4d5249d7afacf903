package harness

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Process is one process of the system.
type Process struct {
	// Name is the nodeName in the settings.
	Name string
	// Role is the role that the process was started with.
	Role string
	// IP is the loopback address of the process.
	IP string

	mesh     *Mesh
	settings string
	logPath  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	wanted  bool
	crashes int
}

// errClosed reports that the case has ended, so that no process may be started.
var errClosed = errors.New("the mesh is closed")

// Start starts the process with the command of the deploy file. The process must not
// be running.
func (p *Process) Start() error {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	if p.mesh.closed {
		return errClosed
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join("target", "corkcove"), p.Role)
	cmd.Env = append(os.Environ(), "CORKCOVE_CONFIG="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended, p.wanted = cmd, ended, true
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.noteEnd(err)
		close(ended)
	}()
	return nil
}

// noteEnd counts an end that nobody asked for.
func (p *Process) noteEnd(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted {
		p.crashes++
		p.mesh.Record.Printf("%s ended by itself: %v; first line of its log: %s", p.Name, err, firstLine(p.logPath))
	}
}

func firstLine(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	line, _, _ := strings.Cut(string(data), "\n")
	return line
}

// Signal sends a signal. For SIGKILL and SIGTERM, the end of the process is expected
// from then on.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.wanted = false
	}
	if p.cmd != nil {
		// The process may have ended already.
		_ = p.cmd.Process.Signal(signal)
	}
}

// Ended is closed when the process that was started last has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Crashes returns how often the process ended although nobody asked for it.
func (p *Process) Crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	if ended := p.Ended(); ended != nil {
		<-ended
	}
}

// Restart starts the process again after an end, with firstStart = false.
func (p *Process) Restart() error {
	if err := p.clearFirstStart(); err != nil {
		return err
	}
	return p.Start()
}

func (p *Process) clearFirstStart() error {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	changed := strings.ReplaceAll(string(text), "firstStart = true", "firstStart = false")
	return os.WriteFile(p.settings, []byte(changed), 0o644)
}

// Record is the file record.txt of a case: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes one line, with the seconds since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// ErrTimeout reports that a condition was not met in time.
var ErrTimeout = errors.New("a condition was not met in time")

// WaitFor polls a condition until it is met or the timeout has passed.
func WaitFor(timeout time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return ErrTimeout
}

// LimitDescriptors gives the running process the limit on open descriptors that the
// platform gives it.
func (p *Process) LimitDescriptors(n uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil)
}

// errFewDescriptors reports that this process may not open enough descriptors.
var errFewDescriptors = errors.New("the hard limit on open descriptors is too low for the case")

// NeedDescriptors returns an error if the process of the case itself may not open n
// descriptors.
func NeedDescriptors(n uint64) error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < n {
		return errFewDescriptors
	}
	return nil
}

// Descriptors returns how many descriptors the running process has open.
func (p *Process) Descriptors() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}
