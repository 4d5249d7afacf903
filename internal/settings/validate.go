package settings

import (
	"fmt"
	"net/netip"
	"strings"
)

const (
	// minMemoryMB is the least memory in MiB that a process needs.
	minMemoryMB = 16
	maxPort     = 65535
)

// Validate returns an error of class Error that lists all fields that are missing
// or invalid for role. With an empty role it checks only what all roles require.
func (o Options) Validate(role string) error {
	var found problems
	o.Self.validate(&found, role)
	o.Network.validate(&found, role)
	o.Platform.validate(&found, role)
	o.Affinity.validate(&found)
	o.RequestLog.validate(&found)
	o.HotKeys.validate(&found)
	o.Requirements.Bounds.validate(&found)
	return found.err()
}

func (s Self) validate(found *problems, role string) {
	found.require("self.nodeName", s.NodeName)
	found.require("self.siteName", s.ZoneName)
	if _, err := netip.ParseAddr(s.IP); err != nil {
		found.add("self.ip: %q is not an IP address", s.IP)
	}
	if _, err := netip.ParseAddr(s.BindIP); s.BindIP != "" && err != nil {
		found.add("self.bindIp: %q is not an IP address", s.BindIP)
	}
	if m := s.Limits.MemoryMB; m < 0 || m > 0 && m < minMemoryMB {
		found.add("self.limitSet.memoryMb: %d must be at least %d", m, minMemoryMB)
	}
	switch role {
	case RoleSidecar:
		found.requireAddrPort("self.appAddr", s.AppAddr)
		found.require("self.serviceName", s.ServiceName)
	case RoleCore:
		found.require("self.dataDir", s.DataDir)
	}
}

func (n Network) validate(found *problems, role string) {
	if p := n.InternalPorts; len(p) != 2 || p[0] < 1 || p[1] < p[0] || p[1] > maxPort {
		found.add("network.innerPortRange: %v must be two ports in ascending order", p)
	}
	if len(n.Seeds) == 0 {
		found.add("network.seedList is missing or empty")
	}
	for i, seed := range n.Seeds {
		found.requireAddrPort(fmt.Sprintf("network.seedList[%d]", i), seed)
	}
	n.Listen.validate(found, role)
}

func (l ListenAddrs) validate(found *problems, role string) {
	if l.Control != "" || role == RoleCore || role == RoleSidecar {
		found.requireAddrPort("network.listenAddrs.controlAddr", l.Control)
	}
	switch role {
	case RoleEdge:
		found.requireAddrPort("network.listenAddrs.front", l.Ingress)
		found.requireAddrPort("network.listenAddrs.readyAddr", l.Ready)
	case RoleSidecar:
		found.requireAddrPort("network.listenAddrs.inboundAddr", l.Inbound)
		found.requireAddrPort("network.listenAddrs.outboundAddr", l.Outbound)
		found.requireAddrPort("network.listenAddrs.readyAddr", l.Ready)
	}
}

func (p Platform) validate(found *problems, role string) {
	found.requirePositive("hostPlatform.beatS", p.HeartbeatSeconds)
	found.requireOneOf("hostPlatform.entryKind", p.ClientEntry, EntryLocal, EntryVirtualIP)
	found.requireOneOf("hostPlatform.discoverySource", p.Discovery, SourceHeartbeats, SourceCloud)
	switch {
	case role == RoleEdge && p.Discovery != SourceCloud:
		found.add("hostPlatform.discoverySource: an edge requires %s, not %q", SourceCloud, p.Discovery)
	case role == RoleSidecar && p.Discovery != SourceHeartbeats:
		found.add("hostPlatform.discoverySource: a sidecar requires %s, not %q", SourceHeartbeats, p.Discovery)
	case role == RoleCore && p.Discovery == SourceCloud:
		p.Cloud.validate(found)
	}
}

func (c CloudAPI) validate(found *problems) {
	found.requireAddrPort("hostPlatform.cloudApi.address", c.Address)
	found.requirePositive("hostPlatform.cloudApi.ratePerS", c.RequestsPerSecond)
	if c.MaxLagSeconds < 0 {
		found.add("hostPlatform.cloudApi.maxLagS: %v must not be negative", c.MaxLagSeconds)
	}
}

func (a Affinity) validate(found *problems) {
	found.requirePositive("pinSet.idleS", a.IdleSeconds)
	found.requirePositive("pinSet.most", float64(a.MaxSessions))
}

func (r RequestLog) validate(found *problems) {
	found.requirePositive("recordSet.spanS", r.RetentionSeconds)
	if r.MaxRequests < 0 {
		found.add("recordSet.requests: %d must not be negative (0 disables recording)", r.MaxRequests)
	}
}

func (h HotKeys) validate(found *problems) {
	found.requireInRange("hotSet.share", h.SlotShare, 0.05, 1)
	found.requireInRange("hotSet.most", float64(h.MaxKeys), 0, 1024)
	found.requireInRange("hotSet.mostWidth", float64(h.MaxEndpoints), 1, 1024)
	found.requireInRange("hotSet.fallS", h.DecaySeconds, 0.5, 600)
	found.requireInRange("hotSet.slowStartS", h.SlowStartSeconds, 0, 60)
}

func (b Bounds) validate(found *problems) {
	found.requirePositive("termTable.boundSet.graceS", b.GraceSeconds)
	found.requirePositive("termTable.boundSet.drainS", b.DrainSeconds)
	found.requirePositive("termTable.boundSet.historyS", b.HistorySeconds)
	found.requirePositive("termTable.boundSet.configApplyS", b.ConfigApplySeconds)
	found.requirePositive("termTable.boundSet.retryWindowS", b.RetryWindowSeconds)
	if b.RetryRatio < 0 || b.RetrySlack < 0 {
		found.add("termTable.boundSet.retryRatio and retrySlack must not be negative")
	}
}

// problems collects descriptions of invalid settings, one line each.
type problems []string

func (p *problems) add(format string, values ...any) {
	*p = append(*p, fmt.Sprintf(format, values...))
}

func (p *problems) require(field, value string) {
	if value == "" {
		p.add("%s is missing", field)
	}
}

func (p *problems) requireAddrPort(field, value string) {
	if value == "" {
		p.add("%s is missing", field)
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.add("%s: %q is not an IP:port address", field, value)
	}
}

func (p *problems) requireOneOf(field, value, first, second string) {
	if value != first && value != second {
		p.add("%s: %q must be %s or %s", field, value, first, second)
	}
}

// requirePositive also rejects NaN.
func (p *problems) requirePositive(field string, value float64) {
	if !(value > 0) {
		p.add("%s: %v must be greater than 0", field, value)
	}
}

func (p *problems) requireInRange(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		p.add("%s: %v must be between %v and %v", field, value, low, high)
	}
}

// err returns the problems as one error, or nil if there are none.
func (p *problems) err() error {
	if len(*p) == 0 {
		return nil
	}
	return Error.New("%s", strings.Join(*p, "\n  "))
}
