package loadbalancer

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// LoadReport is an endpoint's load as the node beside it reports it with each
// response.
type LoadReport struct {
	Running int64
	Queued  int64
	Slots   int64
	// ServiceTime is the time that one request takes, in whole milliseconds on the wire.
	ServiceTime time.Duration
	// LinkPercent is how full the machine's link is, 0 to 100.
	LinkPercent int64
}

// loadReportFields is how many numbers a report has on the wire.
const loadReportFields = 5

// String returns the report as it stands in the header.
func (r LoadReport) String() string {
	return fmt.Sprintf("%d,%d,%d,%d,%d", r.Running, r.Queued, r.Slots, r.ServiceTime/time.Millisecond, r.LinkPercent)
}

// ParseLoadReport reads a report from the header.
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

// ApplyLoadReport takes in what the node beside the endpoint reported with a
// response.
func (e *Endpoint) ApplyLoadReport(r LoadReport) {
	e.load.Store(r.Running + r.Queued)
	e.serviceTime.Store(int64(r.ServiceTime))
	e.linkPercent.Store(r.LinkPercent)
	e.zoneLoad.slots.add(float64(r.Running+r.Queued) / float64(max(r.Slots, 1)))
	e.zoneLoad.links.add(float64(r.LinkPercent) / 100)
	e.lastReport.Store(time.Now().UnixNano())
}

// SetLoad sets the endpoint's load, for simulations: requests running and queued
// and the time that one takes, at a time in nanoseconds.
func (e *Endpoint) SetLoad(load int, serviceTime time.Duration, now int64) {
	e.lastReport.Store(now)
	e.load.Store(int64(load))
	e.serviceTime.Store(int64(serviceTime))
}

// zoneLoad is how full the slots of a service's endpoints in one zone and their
// machines' links were, over the last reports from any of them; 1 is full.
type zoneLoad struct{ slots, links movingAverage }

// movingAverageSpan is over how many values an average moves.
const movingAverageSpan = 24

// movingAverage is an exponential average. Concurrent additions may lose one
// another's value, which an average can bear.
type movingAverage struct{ bits atomic.Uint64 }

func (m *movingAverage) add(v float64) {
	old := m.value()
	m.bits.Store(math.Float64bits(old + (v-old)/movingAverageSpan))
}

func (m *movingAverage) value() float64 { return math.Float64frombits(m.bits.Load()) }
