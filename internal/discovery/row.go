package discovery

import (
	"fmt"
	"unicode/utf8"

	"github.com/go-faster/jx"

	"corkcove/internal/lifecycle"
	"corkcove/internal/names"
	"corkcove/internal/rpc/meshpb"
)

// Columns of the list. Any other column is ignored.
const (
	columnID              = "id"
	columnService         = "serviceName"
	columnAddress         = "address"
	columnZone            = "siteName"
	columnSoftwareVersion = "stamp"
	columnState           = "state"
	columnSlots           = "slotCount"
	columnWarmup          = "coldLeftS"
)

const (
	// maxSlots is the maximum number of slots that an endpoint may report.
	maxSlots = 1 << 20
	// maxWarmupSeconds is the maximum remaining warm-up time that an endpoint may
	// report.
	maxWarmupSeconds = 1e6
)

// listedEndpoint holds the values of a row.
type listedEndpoint struct {
	endpoint *meshpb.Endpoint
	// state is the endpoint's state in the terms of the platform.
	state string
}

// decodeColumn reads the value of one column. null leaves the field unset.
func (l *listedEndpoint) decodeColumn(d *jx.Decoder, column string) error {
	if d.Next() == jx.Null {
		return d.Null()
	}
	switch column {
	case columnID:
		return decodeString(d, &l.endpoint.Id)
	case columnService:
		return decodeString(d, &l.endpoint.Service)
	case columnAddress:
		return decodeString(d, &l.endpoint.Addr)
	case columnZone:
		return decodeString(d, &l.endpoint.Zone)
	case columnSoftwareVersion:
		return decodeString(d, &l.endpoint.SoftwareVersion)
	case columnState:
		return decodeString(d, &l.state)
	case columnSlots:
		slots, err := decodeNumber(d, columnSlots, 1, maxSlots)
		l.endpoint.Slots = uint32(slots)
		return err
	case columnWarmup:
		seconds, err := decodeNumber(d, columnWarmup, 0, maxWarmupSeconds)
		l.endpoint.WarmupMs = uint64(seconds * 1000)
		return err
	}
	return d.Skip()
}

// parseRow parses one row. The error says why the row does not describe a usable
// endpoint.
func parseRow(columns []string, row jx.Raw) (*meshpb.Endpoint, error) {
	// The decoder does not check this, and a view with other text cannot be sent.
	if !utf8.Valid(row) {
		return nil, fmt.Errorf("row %q is not UTF-8", row)
	}
	listed := listedEndpoint{endpoint: &meshpb.Endpoint{Healthy: true}}
	index := 0
	err := jx.DecodeBytes(row).Arr(func(d *jx.Decoder) error {
		column := ""
		if index < len(columns) {
			column = columns[index]
		}
		index++
		return listed.decodeColumn(d, column)
	})
	if err != nil {
		return nil, err
	}
	return listed.toEndpoint()
}

// toEndpoint checks the required fields and returns the endpoint with its state as
// the view has it.
func (l listedEndpoint) toEndpoint() (*meshpb.Endpoint, error) {
	e := l.endpoint
	if e.Id == "" || e.Service == "" || e.Addr == "" {
		return nil, fmt.Errorf("endpoint %q: %s, %s or %s is missing", e.Id, columnID, columnService, columnAddress)
	}
	if !names.ValidHeaderValue(names.Escape(e.Id)) {
		return nil, fmt.Errorf("endpoint %q: the %s cannot be sent in a header", e.Id, columnID)
	}
	if e.Slots < 1 {
		return nil, fmt.Errorf("endpoint %q: %s is missing", e.Id, columnSlots)
	}
	switch lifecycle.State(l.state) {
	case lifecycle.Ready:
		e.State = string(lifecycle.Up)
	case lifecycle.Draining:
		e.State = string(lifecycle.Draining)
	default:
		return nil, fmt.Errorf("endpoint %q: %s %q is neither %s nor %s", e.Id, columnState, l.state, lifecycle.Ready, lifecycle.Draining)
	}
	return e, nil
}

func decodeString(d *jx.Decoder, target *string) (err error) {
	*target, err = d.Str()
	return err
}

// decodeNumber reads the number of a column and returns an error if it is below
// minimum or above maximum.
func decodeNumber(d *jx.Decoder, column string, minimum, maximum float64) (float64, error) {
	number, err := d.Float64()
	if err == nil && (number < minimum || number > maximum) {
		return 0, fmt.Errorf("%s %v is not between %v and %v", column, number, minimum, maximum)
	}
	return number, err
}
