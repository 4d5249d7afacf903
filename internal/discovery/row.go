package discovery

import (
	"fmt"

	"github.com/go-faster/jx"

	"corkcove/internal/lifecycle"
	"corkcove/internal/rpc/meshpb"
)

// Columns of the list; others are skipped.
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
	maxSlots = 1 << 20
	// maxWarmupSeconds bounds how long an endpoint may say that it is warming up.
	maxWarmupSeconds = 1e6
)

// listedEndpoint is an endpoint as its row has it.
type listedEndpoint struct {
	endpoint *meshpb.Endpoint
	state    string
}

// decodeColumn reads one value; null counts as left out.
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

// parseRow reads one row; the error says why it names no usable endpoint.
func parseRow(columns []string, row jx.Raw) (*meshpb.Endpoint, error) {
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
	return listed.complete()
}

// complete checks the endpoint and gives it its state in the view.
func (l listedEndpoint) complete() (*meshpb.Endpoint, error) {
	e := l.endpoint
	if e.Id == "" || e.Service == "" || e.Addr == "" {
		return nil, fmt.Errorf("%s, %s or %s is missing in %q", columnID, columnService, columnAddress, e.Id)
	}
	if e.Slots < 1 {
		return nil, fmt.Errorf("%s: %s is missing", e.Id, columnSlots)
	}
	switch lifecycle.State(l.state) {
	case lifecycle.Ready:
		e.State = string(lifecycle.Up)
	case lifecycle.Draining:
		e.State = string(lifecycle.Draining)
	default:
		return nil, fmt.Errorf("%s: state %q is neither %s nor %s", e.Id, l.state, lifecycle.Ready, lifecycle.Draining)
	}
	return e, nil
}

func decodeString(d *jx.Decoder, to *string) (err error) {
	*to, err = d.Str()
	return err
}

func decodeNumber(d *jx.Decoder, column string, from, to float64) (float64, error) {
	number, err := d.Float64()
	if err == nil && (number < from || number > to) {
		return 0, fmt.Errorf("%s %v is out of range", column, number)
	}
	return number, err
}
