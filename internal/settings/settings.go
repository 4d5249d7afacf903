package settings

import (
	"net/netip"
	"strconv"
	"time"
)

// Roles that a process may have.
const (
	RoleCore    = "core"
	RoleEdge    = "edge"
	RoleSidecar = "sidecar"
)

// Ways by which endpoints become known.
const (
	// SourceHeartbeats means that endpoints report to the sidecars beside them.
	SourceHeartbeats = "local_file"
	// SourceCloud means that the platform lists them.
	SourceCloud = "cloud"
)

// Ways by which clients arrive.
const (
	// EntryLocal means that each client uses the sidecar on its machine.
	EntryLocal = "local_file"
	// EntryVirtualIP means that clients come to the edges from outside.
	EntryVirtualIP = "vip"
)

// Options are the settings of one process. Durations are in seconds.
type Options struct {
	// HotKeys bounds how far reads of a frequent key are spread.
	HotKeys HotKeys `toml:"hotSet"`
	// Affinity bounds the sessions that are kept at one endpoint.
	Affinity Affinity `toml:"pinSet"`
	// RequestLog bounds what a node remembers of its requests.
	RequestLog RequestLog `toml:"recordSet"`
	// Self is who and where the process is.
	Self Self `toml:"self"`
	// Network holds the addresses of the process and of the core.
	Network Network `toml:"network"`
	// Platform is what the process runs on.
	Platform Platform `toml:"hostPlatform"`
	// Requirements are what the deployment has agreed on.
	Requirements Requirements `toml:"termTable"`
}

// Self is who and where a process is.
type Self struct {
	// NodeName is unique in the deployment.
	NodeName string `toml:"nodeName"`
	// Role is what the deployment calls the process's role. The command line, not
	// this field, decides what the process does.
	Role string `toml:"role"`
	// MachineClass and ServedRoles are what the machine is, and what it serves.
	MachineClass string   `toml:"machineClass"`
	ServedRoles  []string `toml:"servedRoles"`
	// IP is the address that other processes reach this one at.
	IP string `toml:"ip"`
	// ZoneName is where the machine is; nodes prefer endpoints in their zone.
	ZoneName   string `toml:"siteName"`
	RegionName string `toml:"regionName"`
	// LossCounted says that the machine counts among those that the deployment
	// tolerates to lose.
	LossCounted bool `toml:"lossCounted"`
	// FirstStart is true only when the whole system starts for the first time, on
	// empty disks: the seeds then bootstrap the core. Set wrongly, seeds
	// with empty disks could form a second core.
	FirstStart bool `toml:"firstStart"`
	// DataDir is where a core member keeps its log and snapshots.
	DataDir string `toml:"dataDir"`
	// AppAddr and ServiceName are those of the endpoint beside a sidecar.
	AppAddr     string `toml:"appAddr"`
	ServiceName string `toml:"serviceName"`
	// Limits are the resources of the process.
	Limits ResourceLimits `toml:"limitSet"`
}

// ResourceLimits are the resources that a process gets. 0 is no known limit.
type ResourceLimits struct {
	// CPUShare is the part of a core that the process gets.
	CPUShare float64 `toml:"cpuShare"`
	// CoreCount is how many times as fast as one core that part runs.
	CoreCount float64 `toml:"coreCount"`
	// MemoryMB is what the process may use; it keeps below it where it can. 16 at
	// least.
	MemoryMB           int64 `toml:"memoryMb"`
	MaxFileDescriptors int64 `toml:"maxFds"`
	// LinkMbps is the bandwidth of the machine's link, in megabits a second.
	LinkMbps float64 `toml:"linkMbps"`
	DiskMB   int64   `toml:"diskMb"`
}

// Network holds the addresses of a process and of the core.
type Network struct {
	// InternalPorts are the first and the last port for calls between processes;
	// the first one is used, and is the same on all machines.
	InternalPorts []int `toml:"innerPortRange"`
	// Seeds are the control addresses of some core members. They may be out of
	// date, but one of them has to be reached for the process to find the others.
	Seeds []string `toml:"seedList"`
	// Listen holds the addresses that the process serves.
	Listen Listen `toml:"listenAddrs"`
	// Zones are the zones of the deployment, with their regions.
	Zones map[string]string `toml:"sites"`
}

// Listen holds the addresses that a process serves, as IP:port. Which of them
// are needed depends on the role.
type Listen struct {
	// Ingress is where clients reach an edge.
	Ingress string `toml:"front"`
	// Inbound is where other nodes reach the endpoint beside a sidecar.
	Inbound string `toml:"inboundAddr"`
	// Outbound is where the endpoint beside a sidecar sends its own requests.
	Outbound string `toml:"outboundAddr"`
	// Ready answers readiness checks.
	Ready string `toml:"readyAddr"`
	// Control serves operators, applications and endpoints.
	Control string `toml:"controlAddr"`
}

// Platform is what a process runs on.
type Platform struct {
	// HeartbeatSeconds is how often endpoints send a heartbeat; default 1.5. If it
	// is too low, endpoints are taken for dead between two heartbeats.
	HeartbeatSeconds float64 `toml:"beatS"`
	// Discovery is SourceHeartbeats, the default, or SourceCloud.
	Discovery string `toml:"discoverySource"`
	// ClientEntry is EntryLocal, the default, or EntryVirtualIP.
	ClientEntry    string `toml:"entryKind"`
	DeploymentSpec string `toml:"deploymentSpec"`
	// Cloud is the platform's API, for SourceCloud.
	Cloud CloudAPI `toml:"cloudApi"`
}

// CloudAPI is the platform's API.
type CloudAPI struct {
	// Address serves the list of endpoints, as IP:port.
	Address string `toml:"address"`
	// RequestsPerSecond is how many requests the platform takes from all nodes
	// together; default 10. If it is too high, requests are refused.
	RequestsPerSecond float64 `toml:"ratePerS"`
	// MaxLagSeconds is how far the list may be behind; default 1.
	MaxLagSeconds float64 `toml:"maxLagS"`
	// SingletonRoles are the duties that the platform expects one node at a time
	// to have.
	SingletonRoles []string `toml:"dutyList"`
}

// Requirements are what the deployment has agreed on with its users.
type Requirements struct {
	// Contracts names the parts that are in force.
	Contracts []string  `toml:"contractSet"`
	Tolerance Tolerance `toml:"tolerance"`
	Bounds    Bounds    `toml:"boundSet"`
}

// Tolerance is what may be lost at the same time with all requirements kept.
type Tolerance struct {
	// MachineLosses counts machines with LossCounted.
	MachineLosses int `toml:"machineLosses"`
	Zones         int `toml:"sites"`
	RegionLosses  int `toml:"regionLosses"`
}

// Bounds are the times and figures that the deployment has agreed on. Not all of
// them are used; the others are read so that one of the wrong type is found.
type Bounds struct {
	// SeedLagSeconds is how far lists of core members may be behind.
	SeedLagSeconds float64 `toml:"seedLagS"`
	// ReuseAfterSeconds is after how long an ended endpoint's address may belong to
	// another service.
	ReuseAfterSeconds float64 `toml:"reuseAfterS"`
	// ContactSeconds is for how long a machine must have run undisturbed for the
	// bounds to hold for it.
	ContactSeconds float64 `toml:"contactS"`
	// AckSeconds is within which a change is acknowledged.
	AckSeconds float64 `toml:"ackS"`
	// CatchUpSeconds is within which a returned machine counts again.
	CatchUpSeconds float64 `toml:"catchUpS"`
	// DrainSeconds is within which no request is sent any more to an endpoint that
	// drains. The platform's list is read at a third of it.
	DrainSeconds float64 `toml:"drainS"`
	// GraceSeconds is how long a process has between SIGTERM and its end. If it is
	// too high, requests are cut by the platform.
	GraceSeconds float64 `toml:"graceS"`
	// LossSlackSeconds is how long after its last byte a request counts as taken.
	LossSlackSeconds float64 `toml:"lossSlackS"`
	// ConfigApplySeconds is within which all nodes follow a configuration.
	ConfigApplySeconds float64 `toml:"configApplyS"`
	// RevertSlackSeconds is for how long after a version's first effect requests
	// may still be handled by the one before.
	RevertSlackSeconds float64 `toml:"revertSlackS"`
	// StretchSeconds prolongs ConfigApplySeconds while the core has no owner.
	StretchSeconds float64 `toml:"stretchS"`
	// RetryRatio is how many retries the budget allows for each request.
	RetryRatio float64 `toml:"retryRatio"`
	// RetryWindowSeconds is the time over which the budget counts.
	RetryWindowSeconds float64 `toml:"retryWindowS"`
	// RetrySlack is how many retries all nodes together may send in a window
	// beside the ratio.
	RetrySlack float64 `toml:"retrySlack"`
	// RecoverSeconds is within which service is back after a loss of everything.
	RecoverSeconds float64 `toml:"recoverS"`
	// HistorySeconds is for how long a watcher may be away and miss no event. If it
	// is too low, watchers have to read all keys again.
	HistorySeconds float64 `toml:"historyS"`
	// ReleaseSeconds is within which an expired lock is free.
	ReleaseSeconds float64 `toml:"releaseS"`
}

// Affinity bounds the sessions that are kept at one endpoint.
type Affinity struct {
	// IdleSeconds is for how long an unused session is kept; default 600.
	IdleSeconds float64 `toml:"idleS"`
	// MaxSessions is how many are kept; default 100,000. Beyond it new sessions
	// are not kept at one endpoint.
	MaxSessions int `toml:"most"`
}

// RequestLog bounds what a node remembers of the requests it forwarded, for the
// replay of a day.
type RequestLog struct {
	// MaxRequests is how many are kept; default 4,096, 0 keeps none.
	MaxRequests int `toml:"requests"`
	// RetentionSeconds is for how long they are kept; default 120.
	RetentionSeconds float64 `toml:"spanS"`
}

// HotKeys bounds the keys whose reads are spread, and how far.
type HotKeys struct {
	// SlotShare is the part of one endpoint's slots that a key's reads may fill
	// before they go to another one too; 0.05 to 1, default 0.4.
	SlotShare float64 `toml:"share"`
	// MaxKeys is how many keys are spread at the same time; 0 to 1,024, default 64.
	MaxKeys int `toml:"most"`
	// MaxEndpoints is how many endpoints a key's reads go to; 1 to 1,024, default
	// 32.
	MaxEndpoints int `toml:"mostWidth"`
	// DecaySeconds is for how long a key stays spread after its reads have become
	// fewer; 0.5 to 600, default 5.
	DecaySeconds float64 `toml:"fallS"`
	// SlowStartSeconds is the time in which an endpoint that is new to a key gets
	// its full part of the reads; 0 to 60, default 2.
	SlowStartSeconds float64 `toml:"slowStartS"`
}

// Seconds is a number of seconds as a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// InternalAddr is where the process serves calls from other processes.
func (o Options) InternalAddr() string {
	return joinHostPort(o.Self.IP, o.Network.internalPort())
}

// SeedInternalAddrs are the addresses at which the seeds serve calls from other
// processes.
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
