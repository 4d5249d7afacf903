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

// defaultParallelCalls is how many nodes a tool asks at once.
const defaultParallelCalls = 16

// Tests of the whole program, which run on real time, lengthen these.
var (
	// toolCallTimeout bounds each call of a tool.
	toolCallTimeout = 2 * time.Second
	// toolDialTimeout bounds the making of a tool's connection.
	toolDialTimeout = time.Second
)

// errNoMaster says that no core node that answered is the master, so that
// neither the nodes nor the view are known.
var errNoMaster = errors.New("there is no master now, so the nodes and the view are not known")

// coreClient asks the core, and through it all nodes, for a tool.
type coreClient struct {
	*globalOptions
	clients *rpc.Clients
	// seeds are the internal addresses of the core nodes that are asked first.
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
			return nil, fmt.Errorf("no --core was given, and the settings name none: %w", err)
		}
		seeds = options.SeedInternalAddrs()
	}
	transport := rpc.NewTransport(toolDialTimeout, 2*time.Second, time.Second, 2)
	return &coreClient{globalOptions: global, clients: rpc.NewClients(&http.Client{Transport: transport}), seeds: seeds}, nil
}

// coreStatuses asks each core node that is a seed or that one of them names; the
// master's answer comes first.
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
		return nil, fmt.Errorf("no core node answers at %s: %w", strings.Join(c.seeds, ", "), lastErr)
	}
	sort.SliceStable(statuses, func(i, j int) bool { return statuses[i].Master && !statuses[j].Master })
	return statuses, nil
}

// masterStatus returns the master's answer, or errNoMaster.
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

// callNodes calls all nodes that the master knows, as many at once as parallel
// says. It hands on each answer as it comes, one at a time, and returns the
// names of the nodes that didn't answer.
func callNodes[Response any](nodes []*meshpb.NodeStatus, parallel int, call func(address string) (Response, error), use func(Response)) (unreachable []string) {
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
			use(response)
		})
	}
	wg.Wait()
	slices.Sort(unreachable)
	return unreachable
}
