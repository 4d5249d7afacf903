package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
	"corkcove/internal/settings"
)

// defaultParallelCalls is the number of nodes that a tool queries concurrently.
const defaultParallelCalls = 16

// These are variables because the end-to-end tests, which run in real time,
// increase them.
var (
	// toolCallTimeout is the timeout of each call that a tool makes.
	toolCallTimeout = 2 * time.Second
	// toolDialTimeout is the timeout for establishing a connection.
	toolDialTimeout = time.Second
)

// errNoMaster is returned if none of the core nodes that responded is the
// master, so that the nodes and the view are unknown.
var errNoMaster = errors.New("no master among the core nodes that responded, so the nodes and the view are unknown")

// coreClient queries the core nodes on behalf of a tool, and the traffic nodes
// that the core knows.
type coreClient struct {
	*globalOptions
	clients *rpc.Clients
	// seeds are the internal addresses of the core nodes that are queried first.
	seeds []string
}

func newCoreClient(global *globalOptions) (*coreClient, error) {
	seeds := global.coreAddresses
	if len(seeds) == 0 {
		file := global.settingsFile
		if file == "" {
			file = settings.Path()
		}
		options, err := settings.Load(file, "")
		if err != nil {
			return nil, fmt.Errorf("no --core given, and the seeds can't be read from the settings file: %w", err)
		}
		seeds = options.SeedInternalAddrs()
	}
	transport := rpc.NewTransport(toolDialTimeout, 2*time.Second, time.Second, 2)
	return &coreClient{globalOptions: global, clients: rpc.NewClients(&http.Client{Transport: transport}), seeds: seeds}, nil
}

// coreStatuses queries the seeds and every core member that they report. It
// returns the statuses of the nodes that responded, the master's first, and fails
// if none did.
func (c *coreClient) coreStatuses() ([]*meshpb.StatusResponse, error) {
	asked := map[string]bool{}
	queue := slices.Clone(c.seeds)
	var statuses []*meshpb.StatusResponse
	var lastErr error
	for len(queue) > 0 {
		address := queue[0]
		queue = queue[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		status, err := rpc.Call(toolCallTimeout, c.clients.Control(address).Status, &meshpb.StatusRequest{})
		if err != nil {
			lastErr = err
			continue
		}
		statuses = append(statuses, status)
		for _, m := range status.Membership.GetMembers() {
			queue = append(queue, m.Addr)
		}
	}
	if len(statuses) == 0 {
		return nil, fmt.Errorf("no core node answers at %s, last error: %w", strings.Join(c.seeds, ", "), lastErr)
	}
	sort.SliceStable(statuses, func(i, j int) bool { return statuses[i].Master && !statuses[j].Master })
	return statuses, nil
}

// masterStatus returns the master's status, or errNoMaster.
func (c *coreClient) masterStatus() (*meshpb.StatusResponse, error) {
	statuses, err := c.coreStatuses()
	if err != nil {
		return nil, err
	}
	if !statuses[0].Master {
		return nil, errNoMaster
	}
	return statuses[0], nil
}

// callNodes calls all nodes that have an address, at most parallel of them
// concurrently. It passes the responses to handle one at a time, in the order in
// which they arrive, and returns the sorted names of the nodes whose call failed.
func callNodes[Response any](nodes []*meshpb.NodeStatus, parallel int, call func(address string) (Response, error), handle func(Response)) (unreachable []string) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, parallel)
	for _, node := range nodes {
		if node.Addr == "" {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			response, err := call(node.Addr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, node.Name)
				return
			}
			handle(response)
		})
	}
	wg.Wait()
	slices.Sort(unreachable)
	return unreachable
}
