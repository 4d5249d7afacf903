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
	// internalPort is the port for calls between the processes of the mesh.
	internalPort = 7600
	// controlPort is the port on which cores serve the API for operators.
	controlPort = 7700
	// waitTimeout bounds each wait for a condition on all nodes.
	waitTimeout = 60 * time.Second
	// checkInterval is the time between two checks of the condition.
	checkInterval = 5 * time.Millisecond
)

// loadMesh holds the core processes and simulated nodes of one measurement.
type loadMesh struct {
	cores []*exec.Cmd
	// seeds holds the internal addresses of the cores that nodes register with first.
	seeds     []string
	nodes     []*simulatedNode
	traffic   byteCounter
	clients   *rpc.Clients
	startedAt time.Time
	// services is the number of services among which the nodes are distributed.
	services int
}

func newLoadMesh(services int) *loadMesh {
	transport := rpc.NewTransport(time.Second, 5*time.Second, 90*time.Second, 4)
	return &loadMesh{clients: rpc.NewClients(&http.Client{Transport: transport}), startedAt: time.Now(), services: services}
}

// now returns the time since the mesh was created: the clock of the node agents.
func (m *loadMesh) now() time.Duration { return time.Since(m.startedAt) }

// close stops all nodes and kills all core processes.
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

// kill kills a process and waits until it has ended. The error of Wait is ignored, as
// it only reports the kill.
func kill(process *exec.Cmd) {
	_ = process.Process.Kill()
	_ = process.Wait()
}

func joinAddress(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

// coreIP returns the loopback address of core i.
func coreIP(i int) string { return fmt.Sprintf("127.0.9.%d", i+1) }

// nodeIP returns the loopback address of node i. The networks differ from that of the
// cores.
func nodeIP(i int) string { return fmt.Sprintf("127.%d.%d.%d", 16+i/60000, i/240%250, 1+i%240) }

// waitForAll waits until the condition holds for all nodes or waitTimeout has passed.
// It returns how long it waited and the number of nodes for which the condition does
// not hold.
func (m *loadMesh) waitForAll(condition func(*simulatedNode) bool) (took time.Duration, missing int) {
	start := time.Now()
	for {
		missing = 0
		for _, n := range m.nodes {
			if !condition(n) {
				missing++
			}
		}
		if missing == 0 || time.Since(start) > waitTimeout {
			return time.Since(start), missing
		}
		time.Sleep(checkInterval)
	}
}

// masterIndex returns the index of the core that is master in the view of the first
// node, or -1 if it is none of the cores that controlload started.
func (m *loadMesh) masterIndex() int {
	master := m.nodes[0].agent.View().GetMaster()
	for i := range m.cores {
		if master == joinAddress(coreIP(i), internalPort) {
			return i
		}
	}
	return -1
}
