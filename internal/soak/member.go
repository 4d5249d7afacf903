package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every member.
const (
	internalPort = 7600
	controlPort  = 7700
)

// member is a core process, its files and its addresses. It is safe for concurrent use.
type member struct {
	name string
	// ip is the address at which the other members reach it, through its relay. bindIP is
	// the address on which it listens and callers reach it directly.
	ip, bindIP string
	binary     string
	verbose    bool
	directory  string
	// seeds are the control addresses of the first members.
	seeds []string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// settingsFormat is the settings file of a member.
const settingsFormat = `[self]
nodeName = %q
ip = %q
bindIp = %q
siteName = "zone-%s"
firstStart = %t
lossCounted = true
dataDir = %q
[network]
innerPortRange = [%d, %d]
seedList = ["%s"]
[network.listenAddrs]
controlAddr = %q
`

func (m *member) dataDirectory() string { return filepath.Join(m.directory, m.name) }

// controlAddress returns the address that serves the requests of callers.
func (m *member) controlAddress() string {
	return net.JoinHostPort(m.bindIP, strconv.Itoa(controlPort))
}

// start starts the process unless it runs. firstStart must be true only when the whole
// core starts for the first time. The output is appended to a log file.
func (m *member) start(firstStart bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		return nil
	}
	if err := os.MkdirAll(m.dataDirectory(), 0o755); err != nil {
		return err
	}
	settingsFile := filepath.Join(m.directory, m.name+".toml")
	content := fmt.Appendf(nil, settingsFormat, m.name, m.ip, m.bindIP, m.name, firstStart, m.dataDirectory(),
		internalPort, internalPort+1, strings.Join(m.seeds, `", "`), net.JoinHostPort(m.ip, strconv.Itoa(controlPort)))
	if err := os.WriteFile(settingsFile, content, 0o644); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.directory, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	// The process has its own file descriptor for the log.
	defer func() { _ = output.Close() }()
	process := exec.Command(m.binary, "core")
	if m.verbose {
		process.Args = append(process.Args, "--verbose")
	}
	process.Env = append(os.Environ(), "CORKCOVE_CONFIG="+settingsFile)
	process.Stdout, process.Stderr = output, output
	// The process must not survive a runner that is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.process, m.exited = process, exited
	go func() {
		_ = process.Wait()
		m.mu.Lock()
		if m.process == process {
			m.process = nil
		}
		m.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (m *member) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// suspend stops the process with SIGSTOP and waits until none of its threads runs any
// more. On a busy machine some threads may run for a while after the signal was sent.
func (m *member) suspend() {
	m.signal(syscall.SIGSTOP)
	for pid := m.pid(); pid != 0 && !allThreadsStopped(pid); {
		time.Sleep(suspendPollInterval)
	}
}

// suspendPollInterval is the interval at which suspend looks at the threads.
const suspendPollInterval = time.Millisecond

// allThreadsStopped reports whether every thread of the process is stopped, or the process
// has ended.
func allThreadsStopped(pid int) bool {
	// The pattern is valid.
	files, _ := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "stat"))
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		// The state follows the name, which is in parentheses and may contain any character.
		_, afterName, _ := strings.Cut(string(stat[strings.LastIndexByte(string(stat), ')'):]), " ")
		if !strings.HasPrefix(afterName, "T") {
			return false
		}
	}
	return true
}

// kill ends the process with SIGKILL and waits until it has ended.
func (m *member) kill() {
	m.signal(syscall.SIGKILL)
	m.waitForExit()
}

// waitForExit waits until the process has ended, if it runs.
func (m *member) waitForExit() {
	m.mu.Lock()
	running, exited := m.process != nil, m.exited
	m.mu.Unlock()
	if running {
		<-exited
	}
}

// wipe removes the member's disk. The process must have ended.
func (m *member) wipe() error { return os.RemoveAll(m.dataDirectory()) }

// pid returns the id of the process, or 0 if it does not run.
func (m *member) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0
	}
	return m.process.Process.Pid
}
