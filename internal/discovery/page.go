package discovery

import (
	"slices"

	"github.com/go-faster/jx"

	"corkcove/internal/logring"
	"corkcove/internal/rpc/meshpb"
)

// Fields of a page. The list is a table: an array of column names, and rows with the
// values in the same order.
const (
	keyInstances = "instanceList"
	keyColumns   = "columnNames"
	keyRows      = "rowList"
	keyNextToken = "nextToken"
)

// page is one page of the list.
type page struct {
	// endpoints are the usable endpoints on the page.
	endpoints []*meshpb.Endpoint
	// nextToken selects the next page. It is empty on the last one.
	nextToken string
}

// endpointTable is the table on a page. Its rows are raw JSON, parsed after the whole
// page has been read.
type endpointTable struct {
	columns []string
	rows    []jx.Raw
}

// parsePage parses a page. It skips and logs rows that do not describe a usable
// endpoint, and returns an error if the page itself is incomplete or malformed.
func parsePage(data []byte, log logring.Logger) (page, error) {
	if !jx.Valid(data) {
		return page{}, Error.New("page is not a complete JSON document")
	}
	var p page
	var table endpointTable
	hasList, hasNextToken := false, false
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, key string) error {
		switch key {
		case keyNextToken:
			hasNextToken = true
			return decodeToken(d, &p.nextToken)
		case keyInstances:
			hasList = true
			return table.decode(d)
		}
		return d.Skip()
	})
	if err != nil {
		return page{}, Error.Wrap(err)
	}
	if !hasList || !hasNextToken {
		return page{}, Error.New("page has no %s or no %s", keyInstances, keyNextToken)
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

// decodeToken reads a page token. null means that there is none.
func decodeToken(d *jx.Decoder, target *string) (err error) {
	if d.Next() == jx.Null {
		return d.Null()
	}
	*target, err = d.Str()
	return err
}

// decode reads the table of a page; fields that it does not know are skipped.
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
