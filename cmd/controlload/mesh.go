package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"strconv"
	"time"

	"corkcove/internal/rpc"
)

const (
	// internalPort is where all processes take calls from each other, controlPort
	// where cores take those of operators.
	internalPort = 7600
	controlPort  = 7700
	// maxWait bounds each wait for all nodes.
	maxWait = 60 * time.Second
	// waitInterval is the time between two looks at all nodes.
	waitInterval = 5 * time.Millisecond
)

// loadMesh is the core processes and simulated nodes of one size.
type loadMesh struct {
	cores []*exec.Cmd
	// seeds are the internal addresses of the first cores.
	seeds     []string
	nodes     []*simulatedNode
	traffic   byteCount
	clients   *rpc.Clients
	startedAt time.Time
	services  int
}

func newLoadMesh(services int) *loadMesh {
	transport := rpc.NewTransport(time.Second, 5*time.Second, 90*time.Second, 4)
	return &loadMesh{clients: rpc.NewClients(&http.Client{Transport: transport}), startedAt: time.Now(), services: services}
}

func (m *loadMesh) now() time.Duration { return time.Since(m.startedAt) }

// close ends all nodes and core processes.
func (m *loadMesh) close() {
	for _, n := range m.nodes {
		n.close()
	}
	for _, core := range m.cores {
		if core.ProcessState == nil {
			kill(core)
		}
	}
}

// kill ends a process and waits for its end; the error only says that it was
// killed.
func kill(process *exec.Cmd) {
	_ = process.Process.Kill()
	_ = process.Wait()
}

func address(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

func coreIP(i int) string { return fmt.Sprintf("127.0.9.%d", i+1) }

// nodeIP spreads nodes over loopback networks that cores don't use.
func nodeIP(i int) string { return fmt.Sprintf("127.%d.%d.%d", 16+i/60000, i/240%250, 1+i%240) }

// waitForAll waits until the condition holds for all nodes. It returns how long
// that took and, if the wait ended before, for how many it doesn't hold.
func (m *loadMesh) waitForAll(condition func(*simulatedNode) bool) (took time.Duration, missing int) {
	start := time.Now()
	for {
		missing = 0
		for _, n := range m.nodes {
			if !condition(n) {
				missing++
			}
		}
		if missing == 0 || time.Since(start) > maxWait {
			return time.Since(start), missing
		}
		time.Sleep(waitInterval)
	}
}

// master is the index of the core that the first node knows as master, -1 if it
// is none of these.
func (m *loadMesh) master() int {
	master := m.nodes[0].agent.View().GetMaster()
	for i := range m.cores {
		if master == address(coreIP(i), internalPort) {
			return i
		}
	}
	return -1
}
