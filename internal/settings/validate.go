package settings

import (
	"fmt"
	"net/netip"
	"strings"
)

const (
	// minMemoryMB is what a process needs at least.
	minMemoryMB = 16
	maxPort     = 65535
)

// Validate names all that is missing or wrong for a role; an empty role needs
// what all roles need.
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
	found.required("self.nodeName", s.NodeName)
	found.required("self.siteName", s.ZoneName)
	if _, err := netip.ParseAddr(s.IP); err != nil {
		found.add("self.ip: %q is no address", s.IP)
	}
	if m := s.Limits.MemoryMB; m < 0 || m > 0 && m < minMemoryMB {
		found.add("self.limitSet.memoryMb: %d must be %d at least", m, minMemoryMB)
	}
	switch role {
	case RoleSidecar:
		found.requiredAddrPort("self.appAddr", s.AppAddr)
		found.required("self.serviceName", s.ServiceName)
	case RoleCore:
		found.required("self.dataDir", s.DataDir)
	}
}

func (n Network) validate(found *problems, role string) {
	if p := n.InternalPorts; len(p) != 2 || p[0] < 1 || p[1] < p[0] || p[1] > maxPort {
		found.add("network.innerPortRange: %v must be two ports, the lower one first", p)
	}
	if len(n.Seeds) == 0 {
		found.add("network.seedList is missing or empty")
	}
	for i, seed := range n.Seeds {
		found.requiredAddrPort(fmt.Sprintf("network.seedList[%d]", i), seed)
	}
	n.Listen.validate(found, role)
}

func (l Listen) validate(found *problems, role string) {
	if l.Control != "" || role == RoleCore || role == RoleSidecar {
		found.requiredAddrPort("network.listenAddrs.controlAddr", l.Control)
	}
	switch role {
	case RoleEdge:
		found.requiredAddrPort("network.listenAddrs.front", l.Ingress)
		found.requiredAddrPort("network.listenAddrs.readyAddr", l.Ready)
	case RoleSidecar:
		found.requiredAddrPort("network.listenAddrs.inboundAddr", l.Inbound)
		found.requiredAddrPort("network.listenAddrs.outboundAddr", l.Outbound)
		found.requiredAddrPort("network.listenAddrs.readyAddr", l.Ready)
	}
}

func (p Platform) validate(found *problems, role string) {
	found.positive("hostPlatform.beatS", p.HeartbeatSeconds)
	found.oneOf("hostPlatform.entryKind", p.ClientEntry, EntryLocal, EntryVirtualIP)
	found.oneOf("hostPlatform.discoverySource", p.Discovery, SourceHeartbeats, SourceCloud)
	switch {
	case role == RoleEdge && p.Discovery != SourceCloud:
		found.add("hostPlatform.discoverySource: an edge needs %s, not %q", SourceCloud, p.Discovery)
	case role == RoleSidecar && p.Discovery != SourceHeartbeats:
		found.add("hostPlatform.discoverySource: a sidecar needs %s, not %q", SourceHeartbeats, p.Discovery)
	case role == RoleCore && p.Discovery == SourceCloud:
		p.Cloud.validate(found)
	}
}

func (c CloudAPI) validate(found *problems) {
	found.requiredAddrPort("hostPlatform.cloudApi.address", c.Address)
	found.positive("hostPlatform.cloudApi.ratePerS", c.RequestsPerSecond)
	if c.MaxLagSeconds < 0 {
		found.add("hostPlatform.cloudApi.maxLagS: %v must not be below 0", c.MaxLagSeconds)
	}
}

func (a Affinity) validate(found *problems) {
	found.positive("pinSet.idleS", a.IdleSeconds)
	found.positive("pinSet.most", float64(a.MaxSessions))
}

func (r RequestLog) validate(found *problems) {
	found.positive("recordSet.spanS", r.RetentionSeconds)
	if r.MaxRequests < 0 {
		found.add("recordSet.requests: %d must not be below 0 (0 keeps no record)", r.MaxRequests)
	}
}

func (h HotKeys) validate(found *problems) {
	found.inRange("hotSet.share", h.SlotShare, 0.05, 1)
	found.inRange("hotSet.most", float64(h.MaxKeys), 0, 1024)
	found.inRange("hotSet.mostWidth", float64(h.MaxEndpoints), 1, 1024)
	found.inRange("hotSet.fallS", h.DecaySeconds, 0.5, 600)
	found.inRange("hotSet.slowStartS", h.SlowStartSeconds, 0, 60)
}

func (b Bounds) validate(found *problems) {
	found.positive("termTable.boundSet.graceS", b.GraceSeconds)
	found.positive("termTable.boundSet.drainS", b.DrainSeconds)
	found.positive("termTable.boundSet.historyS", b.HistorySeconds)
	found.positive("termTable.boundSet.configApplyS", b.ConfigApplySeconds)
	found.positive("termTable.boundSet.retryWindowS", b.RetryWindowSeconds)
	if b.RetryRatio < 0 || b.RetrySlack < 0 {
		found.add("termTable.boundSet.retryRatio and retrySlack must not be below 0")
	}
}

// problems are what is wrong with the settings, a line each.
type problems []string

func (p *problems) add(format string, values ...any) {
	*p = append(*p, fmt.Sprintf(format, values...))
}

func (p *problems) required(field, value string) {
	if value == "" {
		p.add("%s is missing", field)
	}
}

func (p *problems) requiredAddrPort(field, value string) {
	if value == "" {
		p.add("%s is missing", field)
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.add("%s: %q is no address with a port", field, value)
	}
}

func (p *problems) oneOf(field, value, first, second string) {
	if value != first && value != second {
		p.add("%s: %q is neither %s nor %s", field, value, first, second)
	}
}

// positive also refuses what is no number.
func (p *problems) positive(field string, value float64) {
	if !(value > 0) {
		p.add("%s: %v must be above 0", field, value)
	}
}

func (p *problems) inRange(field string, value, from, to float64) {
	if !(value >= from && value <= to) {
		p.add("%s: %v must be from %v to %v", field, value, from, to)
	}
}

// err joins the problems; nil if there are none.
func (p *problems) err() error {
	if len(*p) == 0 {
		return nil
	}
	return Error.New("%s", strings.Join(*p, "\n  "))
}
