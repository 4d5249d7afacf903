package main

// loadReport is the result for one number of nodes, printed as JSON. Times are in
// seconds.
type loadReport struct {
	Nodes    int
	Cores    int
	Services int
	Routes   int
	// StartSeconds is the time until each node has the first configuration and a
	// view with all endpoints.
	StartSeconds float64 `json:"StartS"`
	// IdleUsage is the usage while nothing changes.
	IdleUsage usage `json:"Quiet"`
	// ConfigTimes holds, for each configuration change, the time from its acceptance
	// until each node has applied it.
	ConfigTimes []float64 `json:"configEverywhereS"`
	// ConfigUsage is the usage during the configuration changes.
	ConfigUsage usage `json:"ConfigUse"`
	// ViewTimes holds, for each change of an endpoint's state, the time until each
	// node has a newer view.
	ViewTimes []float64 `json:"viewEverywhereS"`
	// ChurnUsage is the usage while endpoints change their state at a steady rate.
	ChurnUsage usage `json:"Churn"`
	// ChangesPerSecond is the nominal rate of state changes in the churn phase.
	ChangesPerSecond float64 `json:"ChurnPerS"`
	// RestartSeconds is the time until each node knows all restarted endpoints.
	RestartSeconds float64 `json:"restartedTenthKnownEverywhereS"`
	// TakeoverSeconds is the time from the end of the master until each node has a
	// view of a later epoch.
	TakeoverSeconds float64 `json:"takeoverEverywhereS"`
	// Missing is the number of nodes that had not met the condition when a wait
	// ended, summed over all waits.
	Missing int
}

// usage is the resource usage during one phase: of the master, the mean of the other
// cores, and this process's usage divided by the number of nodes. CPU usage is in
// CPUs, averaged over the phase; memory is the resident memory in MB at the end of
// the phase; traffic is in KB per second.
type usage struct {
	Seconds              float64
	MasterCPUs           float64 `json:"MasterCore"`
	OtherCPUs            float64 `json:"OtherCore"`
	NodeCPUs             float64 `json:"Node"`
	MasterMB             float64
	OtherMB              float64
	NodeMB               float64
	NodeReceivedKBPerSec float64 `json:"NodeInKBs"`
	NodeSentKBPerSec     float64 `json:"NodeOutKBs"`
}
