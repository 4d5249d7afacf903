package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"
)

var Error = errs.Class("options")

const PathVariable = "CORKCOVE_CONFIG"

type ResourceLimits struct {
	CPUShare           float64 `toml:"cpuShare"`
	CoreCount          float64 `toml:"coreCount"`
	MemoryMB           int64   `toml:"memoryMb"`
	MaxFileDescriptors int64   `toml:"maxFds"`
	LinkMbps           float64 `toml:"linkMbps"`
	DiskMB             int64   `toml:"diskMb"`
}

type Self struct {
	NodeName     string         `toml:"nodeName"`
	Role         string         `toml:"role"`
	MachineClass string         `toml:"machineClass"`
	ServedRoles  []string       `toml:"servedRoles"`
	IP           string         `toml:"ip"`
	ZoneName     string         `toml:"siteName"`
	RegionName   string         `toml:"regionName"`
	LossCounted  bool           `toml:"lossCounted"`
	FirstStart   bool           `toml:"firstStart"`
	DataDir      string         `toml:"dataDir"`
	AppAddr      string         `toml:"appAddr"`
	ServiceName  string         `toml:"serviceName"`
	Limits       ResourceLimits `toml:"limitSet"`
}

type Listen struct {
	Ingress  string `toml:"front"`
	Inbound  string `toml:"inboundAddr"`
	Outbound string `toml:"outboundAddr"`
	Ready    string `toml:"readyAddr"`
	Control  string `toml:"controlAddr"`
}

type Network struct {
	InternalPorts []int             `toml:"innerPortRange"`
	Seeds         []string          `toml:"seedList"`
	Listen        Listen            `toml:"listenAddrs"`
	Zones         map[string]string `toml:"sites"`
}

type CloudAPI struct {
	Address           string   `toml:"address"`
	RequestsPerSecond float64  `toml:"ratePerS"`
	MaxLagSeconds     float64  `toml:"maxLagS"`
	SingletonRoles    []string `toml:"dutyList"`
}

// Where endpoints become known, and how clients arrive.
const (
	SourceHeartbeats = "local_file"
	SourceCloud      = "cloud"
	EntryLocal       = "local_file"
	EntryVirtualIP   = "vip"
)

type Platform struct {
	HeartbeatSeconds float64  `toml:"beatS"`
	Discovery        string   `toml:"discoverySource"`
	ClientEntry      string   `toml:"entryKind"`
	DeploymentSpec   string   `toml:"deploymentSpec"`
	Cloud            CloudAPI `toml:"cloudApi"`
}

type Bounds struct {
	SeedLagSeconds     float64 `toml:"seedLagS"`
	ReuseAfterSeconds  float64 `toml:"reuseAfterS"`
	ContactSeconds     float64 `toml:"contactS"`
	AckSeconds         float64 `toml:"ackS"`
	CatchUpSeconds     float64 `toml:"catchUpS"`
	DrainSeconds       float64 `toml:"drainS"`
	GraceSeconds       float64 `toml:"graceS"`
	LossSlackSeconds   float64 `toml:"lossSlackS"`
	ConfigApplySeconds float64 `toml:"configApplyS"`
	RevertSlackSeconds float64 `toml:"revertSlackS"`
	StretchSeconds     float64 `toml:"stretchS"`
	RetryRatio         float64 `toml:"retryRatio"`
	RetryWindowSeconds float64 `toml:"retryWindowS"`
	RetrySlack         float64 `toml:"retrySlack"`
	RecoverSeconds     float64 `toml:"recoverS"`
	HistorySeconds     float64 `toml:"historyS"`
	ReleaseSeconds     float64 `toml:"releaseS"`
}

type Tolerance struct {
	MachineLosses int `toml:"machineLosses"`
	Zones         int `toml:"sites"`
	RegionLosses  int `toml:"regionLosses"`
}

type Requirements struct {
	Contracts []string  `toml:"contractSet"`
	Tolerance Tolerance `toml:"tolerance"`
	Bounds    Bounds    `toml:"boundSet"`
}

// Pins bounds the sessions that are kept at one endpoint.
type Affinity struct {
	IdleSeconds float64 `toml:"idleS"`
	MaxSessions int     `toml:"most"`
}

// Record bounds what a node remembers of the requests it carried.
type RequestLog struct {
	MaxRequests      int     `toml:"requests"`
	RetentionSeconds float64 `toml:"spanS"`
}

// Hot bounds the keys whose reads are spread, and how far.
type HotKeys struct {
	// Share is the part of one endpoint's slots that a key's reads may fill
	// before they go to another one too.
	SlotShare        float64 `toml:"share"`
	MaxKeys          int     `toml:"most"`
	MaxEndpoints     int     `toml:"mostWidth"`
	DecaySeconds     float64 `toml:"fallS"`
	SlowStartSeconds float64 `toml:"slowStartS"`
}

func DefaultHotKeys() HotKeys {
	return HotKeys{SlotShare: 0.4, MaxKeys: 64, MaxEndpoints: 32, DecaySeconds: 5, SlowStartSeconds: 2}
}

type Options struct {
	HotKeys      HotKeys      `toml:"hotSet"`
	Affinity     Affinity     `toml:"pinSet"`
	RequestLog   RequestLog   `toml:"recordSet"`
	Self         Self         `toml:"self"`
	Network      Network      `toml:"network"`
	Platform     Platform     `toml:"hostPlatform"`
	Requirements Requirements `toml:"termTable"`
}

func Seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

func Path() string {
	if p := os.Getenv(PathVariable); p != "" {
		return p
	}
	return "/etc/corkcove/settings.toml"
}

func Load(path, role string) (Options, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Options{}, Error.New("%s: no such file; name the settings file in %s", path, PathVariable)
	}
	if err != nil {
		return Options{}, Error.Wrap(err)
	}
	return Parse(b, role)
}

func Parse(b []byte, role string) (Options, error) {
	o := Options{
		Affinity:   Affinity{IdleSeconds: 600, MaxSessions: 100000},
		HotKeys:    DefaultHotKeys(),
		RequestLog: RequestLog{MaxRequests: 4096, RetentionSeconds: 120},
		Platform:   Platform{HeartbeatSeconds: 1.5, Discovery: SourceHeartbeats, ClientEntry: EntryLocal, Cloud: CloudAPI{RequestsPerSecond: 10, MaxLagSeconds: 1}},
		Requirements: Requirements{Bounds: Bounds{
			SeedLagSeconds: 3, ReuseAfterSeconds: 2, ContactSeconds: 3, AckSeconds: 4, CatchUpSeconds: 4, DrainSeconds: 2, GraceSeconds: 6,
			LossSlackSeconds: 0.2, ConfigApplySeconds: 2, RevertSlackSeconds: 0.25, StretchSeconds: 5, RetryRatio: 0.2,
			RetryWindowSeconds: 10, RetrySlack: 50, RecoverSeconds: 15, HistorySeconds: 20, ReleaseSeconds: 1.5,
		}},
	}
	if err := toml.Unmarshal(b, &o); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			l, c := de.Position()
			return Options{}, Error.New("line %d, column %d: field %s: %v", l, c, strings.Join(de.Key(), "."), de)
		}
		return Options{}, Error.Wrap(err)
	}
	return o, o.Validate(role)
}

func addr(bad *[]string, name, s string, want bool) {
	if s == "" {
		if want {
			*bad = append(*bad, name+" is missing")
		}
		return
	}
	if _, err := netip.ParseAddrPort(s); err != nil {
		*bad = append(*bad, fmt.Sprintf("%s: %q is no address with a port", name, s))
	}
}

func (o Options) Validate(role string) error {
	var bad []string
	need := func(name, s string) {
		if s == "" {
			bad = append(bad, name+" is missing")
		}
	}
	pos := func(name string, f float64) {
		if !(f > 0) {
			bad = append(bad, fmt.Sprintf("%s: %v must be above 0", name, f))
		}
	}
	need("self.nodeName", o.Self.NodeName)
	need("self.siteName", o.Self.ZoneName)
	if _, err := netip.ParseAddr(o.Self.IP); err != nil {
		bad = append(bad, fmt.Sprintf("self.ip: %q is no address", o.Self.IP))
	}
	if p := o.Network.InternalPorts; len(p) != 2 || p[0] < 1 || p[1] < p[0] || p[1] > 65535 {
		bad = append(bad, fmt.Sprintf("network.innerPortRange: %v must be two ports, the lower one first", p))
	}
	if len(o.Network.Seeds) == 0 {
		bad = append(bad, "network.seedList is missing or empty")
	}
	for i, s := range o.Network.Seeds {
		addr(&bad, fmt.Sprintf("network.seedList[%d]", i), s, true)
	}
	l := o.Network.Listen
	addr(&bad, "network.listenAddrs.controlAddr", l.Control, role != "edge" && role != "")
	pf := o.Platform
	switch pf.Discovery {
	case SourceHeartbeats:
	case SourceCloud:
		if role == "core" {
			addr(&bad, "hostPlatform.cloudApi.address", pf.Cloud.Address, true)
			pos("hostPlatform.cloudApi.ratePerS", pf.Cloud.RequestsPerSecond)
			if pf.Cloud.MaxLagSeconds < 0 {
				bad = append(bad, fmt.Sprintf("hostPlatform.cloudApi.maxLagS: %v must not be below 0", pf.Cloud.MaxLagSeconds))
			}
		}
	default:
		bad = append(bad, fmt.Sprintf("hostPlatform.discoverySource: %q is neither %s nor %s", pf.Discovery, SourceHeartbeats, SourceCloud))
	}
	if pf.ClientEntry != EntryLocal && pf.ClientEntry != EntryVirtualIP {
		bad = append(bad, fmt.Sprintf("hostPlatform.entryKind: %q is neither %s nor %s", pf.ClientEntry, EntryLocal, EntryVirtualIP))
	}
	if role == "edge" {
		addr(&bad, "network.listenAddrs.front", l.Ingress, true)
		addr(&bad, "network.listenAddrs.readyAddr", l.Ready, true)
		if pf.Discovery != SourceCloud {
			bad = append(bad, fmt.Sprintf("hostPlatform.discoverySource: an edge needs %s, not %q", SourceCloud, pf.Discovery))
		}
	}
	if role == "sidecar" && pf.Discovery != SourceHeartbeats {
		bad = append(bad, fmt.Sprintf("hostPlatform.discoverySource: a sidecar needs %s, not %q", SourceHeartbeats, pf.Discovery))
	}
	if role == "sidecar" {
		addr(&bad, "network.listenAddrs.inboundAddr", l.Inbound, true)
		addr(&bad, "network.listenAddrs.outboundAddr", l.Outbound, true)
		addr(&bad, "network.listenAddrs.readyAddr", l.Ready, true)
		addr(&bad, "self.appAddr", o.Self.AppAddr, true)
		need("self.serviceName", o.Self.ServiceName)
	}
	if role == "core" {
		need("self.dataDir", o.Self.DataDir)
	}
	if m := o.Self.Limits.MemoryMB; m < 0 || (m > 0 && m < 16) {
		bad = append(bad, "self.limitSet.memoryMb: "+strconv.FormatInt(m, 10)+" must be 16 at least")
	}
	pos("hostPlatform.beatS", o.Platform.HeartbeatSeconds)
	pos("pinSet.idleS", o.Affinity.IdleSeconds)
	pos("pinSet.most", float64(o.Affinity.MaxSessions))
	pos("recordSet.spanS", o.RequestLog.RetentionSeconds)
	span := func(name string, x, from, to float64) {
		if !(x >= from && x <= to) {
			bad = append(bad, fmt.Sprintf("%s: %v must be from %v to %v", name, x, from, to))
		}
	}
	span("hotSet.share", o.HotKeys.SlotShare, 0.05, 1)
	span("hotSet.most", float64(o.HotKeys.MaxKeys), 0, 1024)
	span("hotSet.mostWidth", float64(o.HotKeys.MaxEndpoints), 1, 1024)
	span("hotSet.fallS", o.HotKeys.DecaySeconds, 0.5, 600)
	span("hotSet.slowStartS", o.HotKeys.SlowStartSeconds, 0, 60)
	if o.RequestLog.MaxRequests < 0 {
		bad = append(bad, fmt.Sprintf("recordSet.requests: %d must not be below 0 (0 keeps no record)", o.RequestLog.MaxRequests))
	}
	b := o.Requirements.Bounds
	pos("termTable.boundSet.graceS", b.GraceSeconds)
	pos("termTable.boundSet.drainS", b.DrainSeconds)
	pos("termTable.boundSet.historyS", b.HistorySeconds)
	pos("termTable.boundSet.configApplyS", b.ConfigApplySeconds)
	pos("termTable.boundSet.retryWindowS", b.RetryWindowSeconds)
	if b.RetryRatio < 0 || b.RetrySlack < 0 {
		bad = append(bad, "termTable.boundSet.retryRatio and retrySlack must not be below 0")
	}
	if len(bad) > 0 {
		return Error.New("%s", strings.Join(bad, "\n  "))
	}
	return nil
}

func (o Options) InternalAddr() string {
	return o.Self.IP + ":" + strconv.Itoa(o.Network.InternalPorts[0])
}

func (o Options) SeedInternalAddrs() []string {
	var out []string
	for _, s := range o.Network.Seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			out = append(out, a.Addr().String()+":"+strconv.Itoa(o.Network.InternalPorts[0]))
		}
	}
	return out
}
