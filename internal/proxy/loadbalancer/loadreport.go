package loadbalancer

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// LoadReport is an endpoint's load, which the node beside it reports with each
// response.
type LoadReport struct {
	// Running is the number of requests that the endpoint is processing.
	Running int64
	// Queued is the number of requests that wait for a slot.
	Queued int64
	// Slots is the number of requests that the endpoint processes concurrently.
	Slots int64
	// ServiceTime is the time that one request takes. The header has it in whole
	// milliseconds.
	ServiceTime time.Duration
	// LinkPercent is the utilization of the machine's network link, 0 to 100.
	LinkPercent int64
}

// loadReportFields is the number of comma-separated numbers in the header.
const loadReportFields = 5

// String returns the report in the format of the header.
func (r LoadReport) String() string {
	return fmt.Sprintf("%d,%d,%d,%d,%d", r.Running, r.Queued, r.Slots, r.ServiceTime/time.Millisecond, r.LinkPercent)
}

// ParseLoadReport parses the header's value. It returns false if the value is
// malformed.
func ParseLoadReport(header string) (LoadReport, bool) {
	fields := strings.Split(header, ",")
	if len(fields) != loadReportFields {
		return LoadReport{}, false
	}
	var numbers [loadReportFields]int64
	for i, field := range fields {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return LoadReport{}, false
		}
		numbers[i] = n
	}
	return LoadReport{
		Running:     numbers[0],
		Queued:      numbers[1],
		Slots:       numbers[2],
		ServiceTime: time.Duration(numbers[3]) * time.Millisecond,
		LinkPercent: min(max(numbers[4], 0), 100),
	}, true
}

// ApplyLoadReport updates the endpoint's load, and the average load of its zone,
// from a report received with a response.
func (e *Endpoint) ApplyLoadReport(r LoadReport) {
	e.load.Store(r.Running + r.Queued)
	e.serviceTime.Store(int64(r.ServiceTime))
	e.linkPercent.Store(r.LinkPercent)
	e.zoneLoad.slotUse.add(float64(r.Running+r.Queued) / float64(max(r.Slots, 1)))
	e.zoneLoad.linkUse.add(float64(r.LinkPercent) / 100)
	e.lastReportAt.Store(time.Now().UnixNano())
}

// SetLoad sets the endpoint's load as of now, for simulations: the number of
// requests running and queued, and the time that one request takes. now is a
// time in nanoseconds of the balancer's clock.
func (e *Endpoint) SetLoad(load int, serviceTime time.Duration, now int64) {
	e.lastReportAt.Store(now)
	e.load.Store(int64(load))
	e.serviceTime.Store(int64(serviceTime))
}

// zoneLoad averages the last load reports from a service's endpoints in one zone:
// requests per slot, which exceed 1 when requests are queued, and the utilization
// of the machines' links, where 1 is full.
type zoneLoad struct{ slotUse, linkUse movingAverage }

// movingAverageSamples is the number of values over which a moving average
// smooths: each new value has a weight of 1/movingAverageSamples.
const movingAverageSamples = 24

// movingAverage is an exponential moving average. Concurrent calls of add may
// lose a value, which changes the average only slightly.
type movingAverage struct{ bits atomic.Uint64 }

func (m *movingAverage) add(v float64) {
	old := m.value()
	m.bits.Store(math.Float64bits(old + (v-old)/movingAverageSamples))
}

func (m *movingAverage) value() float64 { return math.Float64frombits(m.bits.Load()) }
