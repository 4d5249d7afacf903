package main

// loadReport is what is printed of one size. Times are in seconds.
type loadReport struct {
	Nodes    int
	Cores    int
	Services int
	Routes   int
	// StartSeconds is the time until each node has the first configuration and
	// the view with all endpoints.
	StartSeconds float64   `json:"StartS"`
	QuietUsage   usage     `json:"Quiet"`
	ConfigTimes  []float64 `json:"configEverywhereS"`
	ConfigUsage  usage     `json:"ConfigUse"`
	ViewTimes    []float64 `json:"viewEverywhereS"`
	ChurnUsage   usage     `json:"Churn"`
	// ChangesPerSecond is the rate of state changes in the churn.
	ChangesPerSecond float64 `json:"ChurnPerS"`
	RestartSeconds   float64 `json:"restartedTenthKnownEverywhereS"`
	TakeoverSeconds  float64 `json:"takeoverEverywhereS"`
	// Missing sums up the nodes that lacked something when a wait ended.
	Missing int
}

// usage is what a stretch of time cost: the master, the mean of the other cores,
// and one node's share of this process. Processor time is in processors, memory
// in MB, traffic in KB a second.
type usage struct {
	Seconds              float64
	MasterProcessors     float64 `json:"MasterCore"`
	OtherProcessors      float64 `json:"OtherCore"`
	NodeProcessors       float64 `json:"Node"`
	MasterMB             float64
	OtherMB              float64
	NodeMB               float64
	NodeReceivedKBPerSec float64 `json:"NodeInKBs"`
	NodeSentKBPerSec     float64 `json:"NodeOutKBs"`
}
