package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// healthTimeout bounds the call of an endpoint's health check.
	healthTimeout = 300 * time.Millisecond
	// listedSlots is what the platform says of each endpoint.
	listedSlots = 8
)

// columnNames are the columns of the list, in the order of the rows' values.
var columnNames = []string{"id", "serviceName", "siteName", "address", "stamp", "slotCount", "state", "coldLeftS"}

// platformOptions are the flags of the platform.
type platformOptions struct {
	address string
	// endpoints are "service,site,address".
	endpoints []string
	// pageRows is how many endpoints are on a page.
	pageRows int
}

// instanceTable is a table of endpoints on the wire.
type instanceTable struct {
	ColumnNames []string `json:"columnNames"`
	RowList     [][]any  `json:"rowList"`
}

// listPage is one page of the list. NextToken is null on the last.
type listPage struct {
	InstanceList instanceTable `json:"instanceList"`
	NextToken    *string       `json:"nextToken"`
}

// platform lists the endpoints that answer, under the ids that they tell.
type platform struct {
	options platformOptions
	client  *http.Client
}

// runPlatform serves until the process is killed.
func runPlatform(options platformOptions) error {
	p := &platform{options: options, client: &http.Client{Timeout: healthTimeout}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /endpoints", p.serveList)
	return http.ListenAndServe(options.address, mux)
}

func (p *platform) serveList(w http.ResponseWriter, r *http.Request) {
	// A token that is no number, as the first call has none, begins at 0.
	from, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(p.page(from))
}

func (p *platform) page(from int) listPage {
	page := listPage{InstanceList: instanceTable{ColumnNames: columnNames, RowList: [][]any{}}}
	end := from + p.options.pageRows
	for i := from; i < len(p.options.endpoints) && i < end; i++ {
		if row := p.row(p.options.endpoints[i]); row != nil {
			page.InstanceList.RowList = append(page.InstanceList.RowList, row)
		}
	}
	if end < len(p.options.endpoints) {
		token := strconv.Itoa(end)
		page.NextToken = &token
	}
	return page
}

// row asks an endpoint for its id and health; it is nil if the endpoint doesn't
// answer.
func (p *platform) row(listed string) []any {
	parts := strings.Split(listed, ",")
	if len(parts) != 3 {
		return nil
	}
	service, zone, address := parts[0], parts[1], parts[2]
	response, err := p.client.Get("http://" + address + healthPath)
	if err != nil {
		return nil
	}
	_ = response.Body.Close()
	state := stateReady
	if response.StatusCode != http.StatusOK {
		state = stateDraining
	}
	return []any{response.Header.Get(headerInstanceID), service, zone, address, softwareVersion, listedSlots, state, 0}
}
