package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
)

// Octets of the addresses: 127.(firstNetwork + process id modulo networkCount).instance.i
// for a member, and the same with bindOffset added to i for where it listens.
const (
	firstNetwork = 16
	networkCount = 200
	bindOffset   = 100
)

// lastInstance numbers the clusters of this process, so that their addresses differ.
var lastInstance atomic.Int32

// cluster is a core of real processes with the relays between them.
type cluster struct {
	binary, directory string
	verbose           bool
	prefix            string
	seeds             []string
	// links is nil if members connect to each other directly.
	links *links
	ctx   context.Context

	mu      sync.Mutex
	members []*member
	started int
}

// startCluster starts a core. Its relays, if it has any, end with ctx, its processes with
// stop.
func startCluster(ctx context.Context, o Options) (*cluster, error) {
	network := firstNetwork + os.Getpid()%networkCount
	c := &cluster{binary: o.Binary, directory: o.Directory, verbose: o.Verbose, prefix: fmt.Sprintf("127.%d.%d.", network, lastInstance.Add(1)%256), ctx: ctx}
	if o.Relays {
		c.links = newLinks()
	}
	for i := 1; i <= o.Members; i++ {
		c.seeds = append(c.seeds, net.JoinHostPort(c.prefix+strconv.Itoa(i), strconv.Itoa(controlPort)))
	}
	for range o.Members {
		if err := c.add(true); err != nil {
			c.stop()
			return nil, err
		}
	}
	return c, nil
}

// add starts another member with an empty disk.
func (c *cluster) add(firstStart bool) error {
	c.mu.Lock()
	c.started++
	i := c.started
	c.mu.Unlock()
	m := &member{name: fmt.Sprint("core-", i), ip: c.prefix + strconv.Itoa(i), binary: c.binary, verbose: c.verbose, directory: c.directory, seeds: c.seeds}
	m.bindIP = m.ip
	if c.links != nil {
		m.bindIP = c.prefix + strconv.Itoa(i+bindOffset)
		if err := startRelay(c.ctx, m, c.links, c.nameOfSender); err != nil {
			return err
		}
	}
	c.mu.Lock()
	c.members = append(c.members, m)
	c.mu.Unlock()
	return m.start(firstStart)
}

// remove takes a member out of the list that callers choose from.
func (c *cluster) remove(removed *member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var remaining []*member
	for _, m := range c.members {
		if m != removed {
			remaining = append(remaining, m)
		}
	}
	c.members = remaining
}

// current returns the members, without those that were removed.
func (c *cluster) current() []*member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*member(nil), c.members...)
}

// nameOfSender returns the name of the member at the other end of an incoming connection,
// or "" if none has it open any more.
func (c *cluster) nameOfSender(incoming *net.TCPConn) string {
	inode, err := socketInode(incoming.RemoteAddr().(*net.TCPAddr), incoming.LocalAddr().(*net.TCPAddr))
	if err != nil {
		return ""
	}
	for _, m := range c.current() {
		if pid := m.pid(); pid != 0 && hasSocket(pid, inode) {
			return m.name
		}
	}
	return ""
}

// stop kills all members.
func (c *cluster) stop() {
	for _, m := range c.current() {
		m.signal(syscall.SIGCONT)
		m.kill()
	}
}
