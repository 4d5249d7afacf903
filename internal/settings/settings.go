package settings

import (
	"net/netip"
	"strconv"
	"time"
)

// Roles of a process.
const (
	RoleCore    = "core"
	RoleEdge    = "edge"
	RoleSidecar = "sidecar"
)

// Sources of endpoint discovery, the values of Platform.Discovery.
const (
	// SourceHeartbeats means that each endpoint sends heartbeats to its sidecar.
	SourceHeartbeats = "local_file"
	// SourceCloud means that the platform's API lists the endpoints.
	SourceCloud = "cloud"
)

// Entry points of client traffic, the values of Platform.ClientEntry.
const (
	// EntryLocal means that each client connects to the sidecar on its own machine.
	EntryLocal = "local_file"
	// EntryVirtualIP means that external clients connect to the edges.
	EntryVirtualIP = "vip"
)

// Options holds the settings of one process. Durations are in seconds.
type Options struct {
	// HotKeys limits the spreading of reads of hot keys over endpoints.
	HotKeys HotKeys `toml:"hotSet"`
	// Affinity limits the sessions that are pinned to an endpoint.
	Affinity Affinity `toml:"pinSet"`
	// RequestLog limits the request records that a node keeps.
	RequestLog RequestLog `toml:"recordSet"`
	// Self identifies the process and its location.
	Self Self `toml:"self"`
	// Network holds the addresses of the process and of the core.
	Network Network `toml:"network"`
	// Platform describes the host platform.
	Platform Platform `toml:"hostPlatform"`
	// Requirements holds the service levels agreed for the deployment.
	Requirements Requirements `toml:"termTable"`
}

// Self identifies a process, its location and its resources.
type Self struct {
	// NodeName is the node's name, unique in the deployment.
	NodeName string `toml:"nodeName"`
	// Role is the deployment's name for the role of the process. It is
	// informational: the command line selects the role that the process runs.
	Role string `toml:"role"`
	// MachineClass is the type of the machine.
	MachineClass string `toml:"machineClass"`
	// ServedRoles lists the roles that the machine serves.
	ServedRoles []string `toml:"servedRoles"`
	// IP is the address at which other processes reach this one.
	IP string `toml:"ip"`
	// BindIP is the address on which the process listens instead of IP, if IP belongs to
	// something in front of it that passes connections on, such as address translation.
	BindIP string `toml:"bindIp"`
	// ZoneName is the zone of the machine; nodes prefer endpoints in their own zone.
	ZoneName string `toml:"siteName"`
	// RegionName is the region of the machine.
	RegionName string `toml:"regionName"`
	// LossCounted is true if Tolerance.MachineLosses limits the loss of this machine.
	// Any number of other machines may be lost.
	LossCounted bool `toml:"lossCounted"`
	// FirstStart must be true only when the whole system starts for the first time
	// with empty disks: the seeds then bootstrap the core. If it is set at any other
	// time, seeds with empty disks may form a second core.
	FirstStart bool `toml:"firstStart"`
	// DataDir is the directory of a core member's log and snapshots.
	DataDir string `toml:"dataDir"`
	// AppAddr is the address (IP:port) of the endpoint that a sidecar serves.
	AppAddr string `toml:"appAddr"`
	// ServiceName is the service of that endpoint.
	ServiceName string `toml:"serviceName"`
	// Limits holds the resources available to the process.
	Limits ResourceLimits `toml:"limitSet"`
}

// ResourceLimits holds the resources available to a process; 0 means that the
// limit is unknown.
type ResourceLimits struct {
	// CPUShare is the fraction of a CPU core that the process may use.
	CPUShare float64 `toml:"cpuShare"`
	// CoreCount is the speed of that fraction relative to one core.
	CoreCount float64 `toml:"coreCount"`
	// MemoryMB is the memory that the process may use, in MiB; at least 16 if set.
	// The process tries to stay below it, but the limit is not strict.
	MemoryMB int64 `toml:"memoryMb"`
	// MaxFileDescriptors is the largest number of open file descriptors.
	MaxFileDescriptors int64 `toml:"maxFds"`
	// LinkMbps is the bandwidth of the machine's network link in Mbit/s.
	LinkMbps float64 `toml:"linkMbps"`
	// DiskMB is the available disk space in MB.
	DiskMB int64 `toml:"diskMb"`
}

// Network holds the addresses of a process and of the core.
type Network struct {
	// InternalPorts holds the first and last port of the range reserved for calls
	// between processes. Only the first is used; it must be the same on all
	// machines.
	InternalPorts []int `toml:"innerPortRange"`
	// Seeds holds the control addresses (IP:port) of some core members. The list
	// may be outdated, but a process discovers the other members only if it can
	// reach at least one of these.
	Seeds []string `toml:"seedList"`
	// Listen holds the addresses on which the process listens.
	Listen ListenAddrs `toml:"listenAddrs"`
	// Zones maps each zone of the deployment to its region.
	Zones map[string]string `toml:"sites"`
}

// ListenAddrs holds the addresses (IP:port) on which a process listens. The role
// determines which of them are required.
type ListenAddrs struct {
	// Ingress accepts client requests at an edge.
	Ingress string `toml:"front"`
	// Inbound accepts requests from other nodes for a sidecar's endpoint.
	Inbound string `toml:"inboundAddr"`
	// Outbound accepts the requests that a sidecar's endpoint sends.
	Outbound string `toml:"outboundAddr"`
	// Ready serves readiness checks.
	Ready string `toml:"readyAddr"`
	// Control serves the API for operators, applications and endpoints.
	Control string `toml:"controlAddr"`
}

// Platform describes the host platform of a process.
type Platform struct {
	// HeartbeatSeconds is the interval at which endpoints send heartbeats; default
	// 1.5. If it is shorter than the actual interval, endpoints are considered dead
	// between two heartbeats.
	HeartbeatSeconds float64 `toml:"beatS"`
	// Discovery is SourceHeartbeats (the default) or SourceCloud.
	Discovery string `toml:"discoverySource"`
	// ClientEntry is EntryLocal (the default) or EntryVirtualIP.
	ClientEntry string `toml:"entryKind"`
	// DeploymentSpec identifies the specification of the deployment. It is not
	// used.
	DeploymentSpec string `toml:"deploymentSpec"`
	// Cloud configures access to the platform's API; only SourceCloud uses it.
	Cloud CloudAPI `toml:"cloudApi"`
}

// CloudAPI configures access to the platform's API.
type CloudAPI struct {
	// Address is the address (IP:port) that serves the list of endpoints.
	Address string `toml:"address"`
	// RequestsPerSecond is the platform's rate limit for all nodes together;
	// default 10. If it is set too high, the platform rejects requests.
	RequestsPerSecond float64 `toml:"ratePerS"`
	// MaxLagSeconds is the maximum staleness of the list; default 1.
	MaxLagSeconds float64 `toml:"maxLagS"`
	// SingletonRoles lists the roles that the platform expects exactly one node to
	// hold at a time.
	SingletonRoles []string `toml:"dutyList"`
}

// Requirements holds the service levels agreed with the users of the deployment.
type Requirements struct {
	// Contracts names the parts of the agreement that are in force.
	Contracts []string `toml:"contractSet"`
	// Tolerance holds the simultaneous losses that must be tolerated.
	Tolerance Tolerance `toml:"tolerance"`
	// Bounds holds the agreed time bounds and retry limits.
	Bounds Bounds `toml:"boundSet"`
}

// Tolerance holds the simultaneous losses under which all requirements must
// still be met.
type Tolerance struct {
	// MachineLosses is the number of machines with Self.LossCounted that may be
	// lost.
	MachineLosses int `toml:"machineLosses"`
	// ZoneLosses is the number of zones that may be lost.
	ZoneLosses int `toml:"sites"`
	// RegionLosses is the number of regions that may be lost.
	RegionLosses int `toml:"regionLosses"`
}

// Bounds holds the time bounds and retry limits agreed for the deployment. Unused
// fields are declared so that values of the wrong type are still reported.
type Bounds struct {
	// SeedLagSeconds is the maximum staleness of lists of core members.
	SeedLagSeconds float64 `toml:"seedLagS"`
	// ReuseAfterSeconds is the time after an endpoint has ended before another
	// service may reuse its address.
	ReuseAfterSeconds float64 `toml:"reuseAfterS"`
	// MinUndisturbedSeconds is the time without a fault after which the bounds apply
	// to a machine.
	MinUndisturbedSeconds float64 `toml:"contactS"`
	// AckSeconds is the maximum time until a change is acknowledged.
	AckSeconds float64 `toml:"ackS"`
	// CatchUpSeconds is the maximum time until a recovered machine counts as
	// available again.
	CatchUpSeconds float64 `toml:"catchUpS"`
	// DrainSeconds is the time after which a draining endpoint must receive no new
	// requests. The platform's endpoint list is polled at a third of it.
	DrainSeconds float64 `toml:"drainS"`
	// GraceSeconds is the time between SIGTERM and the forced end of a process. If
	// it exceeds the platform's own grace period, the platform kills the process
	// while requests are still in progress.
	GraceSeconds float64 `toml:"graceS"`
	// LossSlackSeconds is the time after its last byte for which a request counts as
	// accepted.
	LossSlackSeconds float64 `toml:"lossSlackS"`
	// ConfigApplySeconds is the maximum time until all nodes apply a new
	// configuration.
	ConfigApplySeconds float64 `toml:"configApplyS"`
	// RevertSlackSeconds is the period, from the first effect of a configuration
	// version, in which requests may still be handled according to the previous one.
	RevertSlackSeconds float64 `toml:"revertSlackS"`
	// ConfigApplyExtensionSeconds extends ConfigApplySeconds while the core has no
	// owner.
	ConfigApplyExtensionSeconds float64 `toml:"stretchS"`
	// RetryRatio is the number of retries per request that the retry budget allows.
	RetryRatio float64 `toml:"retryRatio"`
	// RetryWindowSeconds is the length of the window over which the retry budget is
	// computed.
	RetryWindowSeconds float64 `toml:"retryWindowS"`
	// RetrySlack is the number of retries per window that all nodes together may
	// send in addition to those that RetryRatio allows.
	RetrySlack float64 `toml:"retrySlack"`
	// RecoverySeconds is the maximum time until service is restored after a complete
	// outage.
	RecoverySeconds float64 `toml:"recoverS"`
	// HistorySeconds is the maximum time for which a watcher may be disconnected
	// without missing events. If it is too short, watchers have to read all keys again.
	HistorySeconds float64 `toml:"historyS"`
	// LockReleaseSeconds is the maximum time until an expired lock is released.
	LockReleaseSeconds float64 `toml:"releaseS"`
}

// Affinity limits the sessions that are pinned to an endpoint.
type Affinity struct {
	// IdleSeconds is the time after which an unused session is dropped; default 600.
	IdleSeconds float64 `toml:"idleS"`
	// MaxSessions is the maximum number of pinned sessions; default 100,000. Further
	// sessions are not pinned.
	MaxSessions int `toml:"most"`
}

// RequestLog limits the records that a node keeps of forwarded requests, from
// which recorded traffic can be replayed.
type RequestLog struct {
	// MaxRequests is the maximum number of records; default 4,096, 0 disables
	// recording.
	MaxRequests int `toml:"requests"`
	// RetentionSeconds is the age at which records are dropped; default 120.
	RetentionSeconds float64 `toml:"spanS"`
}

// HotKeys limits how many hot keys have their reads spread over several
// endpoints, and over how many.
type HotKeys struct {
	// SlotShare is the fraction of one endpoint's slots that the reads of a key may
	// occupy before they are spread to another endpoint; 0.05 to 1, default 0.4.
	SlotShare float64 `toml:"share"`
	// MaxKeys is the maximum number of keys that are spread at the same time; 0 to
	// 1,024, default 64.
	MaxKeys int `toml:"most"`
	// MaxEndpoints is the maximum number of endpoints that serve the reads of a key;
	// 1 to 1,024, default 32.
	MaxEndpoints int `toml:"mostWidth"`
	// DecaySeconds is the minimum time of lower demand for a key before its reads are
	// spread over fewer endpoints; 0.5 to 600, default 5.
	DecaySeconds float64 `toml:"fallS"`
	// SlowStartSeconds is the time over which an endpoint that was added for a key
	// ramps up to its full share of the reads; 0 to 60, default 2.
	SlowStartSeconds float64 `toml:"slowStartS"`
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// InternalAddr returns the address (IP:port) at which the process serves calls
// from other processes. The options must be valid.
func (o Options) InternalAddr() string {
	return joinHostPort(o.Self.IP, o.Network.internalPort())
}

// BindAddr returns the address (IP:port) on which the process listens so that others reach
// it at addr. It differs from addr only if addr is on Self.IP and Self.BindIP is set.
func (o Options) BindAddr(addr string) string {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || o.Self.BindIP == "" || parsed.Addr().String() != o.Self.IP {
		return addr
	}
	return joinHostPort(o.Self.BindIP, int(parsed.Port()))
}

// BindAddrs returns BindAddr of each address.
func (o Options) BindAddrs(addrs ...string) []string {
	bound := make([]string, len(addrs))
	for i, addr := range addrs {
		bound[i] = o.BindAddr(addr)
	}
	return bound
}

// SeedInternalAddrs returns the addresses (IP:port) at which the seeds serve calls
// from other processes. It skips seeds that cannot be parsed.
func (o Options) SeedInternalAddrs() []string {
	var addrs []string
	for _, seed := range o.Network.Seeds {
		if control, err := netip.ParseAddrPort(seed); err == nil {
			addrs = append(addrs, joinHostPort(control.Addr().String(), o.Network.internalPort()))
		}
	}
	return addrs
}

func (n Network) internalPort() int { return n.InternalPorts[0] }

func joinHostPort(host string, port int) string { return host + ":" + strconv.Itoa(port) }
