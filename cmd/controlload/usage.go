package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
	// Fields of /proc/PID/stat after the command's name: ticks in user mode and in
	// the kernel.
	userTicksField   = 11
	kernelTicksField = 12
	// residentPagesField is the field of /proc/PID/statm with the pages in memory.
	residentPagesField = 1

	bytesPerKB = 1024
	bytesPerMB = 1 << 20
)

// processorTime is what a process has used; 0 if it has ended.
func processorTime(pid int) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The name may have spaces and parentheses.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	return time.Duration(numberAt(fields, userTicksField)+numberAt(fields, kernelTicksField)) * clockTick
}

// residentMB is the memory of a process; 0 if it has ended.
func residentMB(pid int) float64 {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages := numberAt(strings.Fields(string(statm)), residentPagesField)
	return float64(pages) * float64(os.Getpagesize()) / bytesPerMB
}

// numberAt returns 0 for a field that is missing or no number.
func numberAt(fields []string, i int) int64 {
	if i >= len(fields) {
		return 0
	}
	n, err := strconv.ParseInt(fields[i], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// snapshot is what all processes have used up to a moment.
type snapshot struct {
	at             time.Time
	cores          []time.Duration
	nodes          time.Duration
	received, sent int64
}

func (m *loadMesh) takeSnapshot() snapshot {
	s := snapshot{at: time.Now(), nodes: processorTime(os.Getpid()), received: m.traffic.received.Load(), sent: m.traffic.sent.Load()}
	for _, core := range m.cores {
		s.cores = append(s.cores, processorTime(core.Process.Pid))
	}
	return s
}

// measure runs a stretch of the scenario and returns what it cost.
func (m *loadMesh) measure(master int, stretch func()) usage {
	before := m.takeSnapshot()
	stretch()
	after := m.takeSnapshot()
	seconds := after.at.Sub(before.at).Seconds()
	nodes := float64(len(m.nodes))
	u := usage{Seconds: seconds,
		NodeProcessors:       (after.nodes - before.nodes).Seconds() / seconds / nodes,
		NodeMB:               residentMB(os.Getpid()) / nodes,
		NodeReceivedKBPerSec: float64(after.received-before.received) / bytesPerKB / seconds / nodes,
		NodeSentKBPerSec:     float64(after.sent-before.sent) / bytesPerKB / seconds / nodes}
	m.addCoreUsage(&u, master, before, after)
	return u
}

func (m *loadMesh) addCoreUsage(u *usage, master int, before, after snapshot) {
	others := 0.0
	for i, core := range m.cores {
		if core.ProcessState != nil {
			continue
		}
		processors := (after.cores[i] - before.cores[i]).Seconds() / u.Seconds
		if i == master {
			u.MasterProcessors, u.MasterMB = processors, residentMB(core.Process.Pid)
			continue
		}
		u.OtherProcessors += processors
		u.OtherMB += residentMB(core.Process.Pid)
		others++
	}
	u.OtherProcessors /= max(others, 1)
	u.OtherMB /= max(others, 1)
}
