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
	// clockTick is the unit of CPU time in /proc/PID/stat, at 100 ticks per second.
	clockTick = 10 * time.Millisecond
	// Indexes of the fields of /proc/PID/stat, counted from the first field after
	// the command name: ticks in user mode and in kernel mode.
	userTicksField   = 11
	kernelTicksField = 12
	// residentPagesField is the index of the field of /proc/PID/statm that holds
	// the number of resident pages.
	residentPagesField = 1

	bytesPerKB = 1024
	bytesPerMB = 1 << 20
)

// cpuTime returns the CPU time that a process has used, or 0 if its entry in /proc
// cannot be read.
func cpuTime(pid int) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The command name may contain spaces and parentheses.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	return time.Duration(intField(fields, userTicksField)+intField(fields, kernelTicksField)) * clockTick
}

// residentMB returns the resident memory of a process in MB, or 0 if its entry in
// /proc cannot be read.
func residentMB(pid int) float64 {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages := intField(strings.Fields(string(statm)), residentPagesField)
	return float64(pages) * float64(os.Getpagesize()) / bytesPerMB
}

// intField returns field i as an integer, or 0 if it is missing or not an integer.
func intField(fields []string, i int) int64 {
	if i >= len(fields) {
		return 0
	}
	n, err := strconv.ParseInt(fields[i], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// usageSnapshot holds the cumulative resource usage of all processes at one time.
type usageSnapshot struct {
	at time.Time
	// cores holds the CPU time of each core process.
	cores []time.Duration
	// nodes is the CPU time of this process, which runs all nodes.
	nodes time.Duration
	// received and sent are in bytes: see byteCounter.
	received, sent int64
}

// takeSnapshot reads the current resource usage of all processes.
func (m *loadMesh) takeSnapshot() usageSnapshot {
	s := usageSnapshot{at: time.Now(), nodes: cpuTime(os.Getpid()), received: m.traffic.received.Load(), sent: m.traffic.sent.Load()}
	for _, core := range m.cores {
		s.cores = append(s.cores, cpuTime(core.Process.Pid))
	}
	return s
}

// measure runs one phase of the scenario and returns the resource usage during it.
func (m *loadMesh) measure(masterIndex int, phase func()) usage {
	before := m.takeSnapshot()
	phase()
	after := m.takeSnapshot()
	seconds := after.at.Sub(before.at).Seconds()
	nodes := float64(len(m.nodes))
	u := usage{Seconds: seconds,
		NodeCPUs:             (after.nodes - before.nodes).Seconds() / seconds / nodes,
		NodeMB:               residentMB(os.Getpid()) / nodes,
		NodeReceivedKBPerSec: float64(after.received-before.received) / bytesPerKB / seconds / nodes,
		NodeSentKBPerSec:     float64(after.sent-before.sent) / bytesPerKB / seconds / nodes}
	m.addCoreUsage(&u, masterIndex, before, after)
	return u
}

// addCoreUsage sets the usage of the master and the mean usage of the other running
// cores.
func (m *loadMesh) addCoreUsage(u *usage, masterIndex int, before, after usageSnapshot) {
	others := 0.0
	for i, core := range m.cores {
		if core.ProcessState != nil {
			continue
		}
		cpus := (after.cores[i] - before.cores[i]).Seconds() / u.Seconds
		if i == masterIndex {
			u.MasterCPUs, u.MasterMB = cpus, residentMB(core.Process.Pid)
			continue
		}
		u.OtherCPUs += cpus
		u.OtherMB += residentMB(core.Process.Pid)
		others++
	}
	u.OtherCPUs /= max(others, 1)
	u.OtherMB /= max(others, 1)
}
