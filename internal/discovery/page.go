package discovery

import (
	"slices"

	"github.com/go-faster/jx"

	"corkcove/internal/logring"
	"corkcove/internal/rpc/meshpb"
)

// Fields of a page. The list is a table: the names of its columns, and rows
// with the values in that order.
const (
	keyList      = "instanceList"
	keyColumns   = "columnNames"
	keyRows      = "rowList"
	keyNextToken = "nextToken"
)

// page is one part of the list.
type page struct {
	endpoints []*meshpb.Endpoint
	// nextToken names the page that follows; empty on the last one.
	nextToken string
}

// endpointTable is the list's part as it stands on a page.
type endpointTable struct {
	columns []string
	rows    []jx.Raw
}

// parsePage skips rows that name no usable endpoint, and refuses a page that
// can't be read whole.
func parsePage(data []byte, log logring.Logger) (page, error) {
	if !jx.Valid(data) {
		return page{}, Error.New("a page is no whole JSON document")
	}
	var p page
	var table endpointTable
	hasList, hasNextToken := false, false
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, key string) error {
		switch key {
		case keyNextToken:
			hasNextToken = true
			return decodeToken(d, &p.nextToken)
		case keyList:
			hasList = true
			return table.decode(d)
		}
		return d.Skip()
	})
	if err != nil {
		return page{}, Error.Wrap(err)
	}
	if !hasList || !hasNextToken {
		return page{}, Error.New("a page lacks %s or %s", keyList, keyNextToken)
	}
	for _, row := range table.rows {
		endpoint, err := parseRow(table.columns, row)
		if err != nil {
			log.Warn("skipped a row of the platform's endpoint list", "error", err)
			continue
		}
		p.endpoints = append(p.endpoints, endpoint)
	}
	return p, nil
}

// decodeToken takes null as no token.
func decodeToken(d *jx.Decoder, to *string) (err error) {
	if d.Next() == jx.Null {
		return d.Null()
	}
	*to, err = d.Str()
	return err
}

func (t *endpointTable) decode(d *jx.Decoder) error {
	return d.Obj(func(d *jx.Decoder, key string) error {
		switch key {
		case keyColumns:
			return d.Arr(func(d *jx.Decoder) error {
				name, err := d.Str()
				t.columns = append(t.columns, name)
				return err
			})
		case keyRows:
			return d.Arr(func(d *jx.Decoder) error {
				row, err := d.Raw()
				t.rows = append(t.rows, slices.Clone(row))
				return err
			})
		}
		return d.Skip()
	})
}
