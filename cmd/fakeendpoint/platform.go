package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// healthTimeout bounds each health check of an endpoint.
	healthTimeout = 300 * time.Millisecond
	// reportedSlots is the number of slots that the platform lists for each endpoint.
	reportedSlots = 8
)

// columnNames holds the columns of the endpoint list, in the order of the values in a
// row.
var columnNames = []string{"id", "serviceName", "siteName", "address", "stamp", "slotCount", "state", "coldLeftS"}

// platformOptions holds the flags of the platform command.
type platformOptions struct {
	address string
	// endpoints lists the endpoints, each as "service,site,address".
	endpoints []string
	// pageSize is the number of configured endpoints that a page covers. Endpoints that
	// do not answer are left out, so the page may have fewer rows.
	pageSize int
}

// instanceTable is the table of endpoints in a response.
type instanceTable struct {
	ColumnNames []string `json:"columnNames"`
	RowList     [][]any  `json:"rowList"`
}

// listPage is one page of the endpoint list. NextToken is null on the last page.
type listPage struct {
	InstanceList instanceTable `json:"instanceList"`
	NextToken    *string       `json:"nextToken"`
}

// platform lists the configured endpoints that answer a health check, with the IDs that
// they return.
type platform struct {
	options platformOptions
	client  *http.Client
}

// runPlatform serves the platform API until the process is killed. It returns an error
// if the server fails.
func runPlatform(options platformOptions) error {
	p := &platform{options: options, client: &http.Client{Timeout: healthTimeout}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /endpoints", p.serveList)
	return http.ListenAndServe(options.address, mux)
}

// serveList serves the page of endpoints that pageToken selects.
func (p *platform) serveList(w http.ResponseWriter, r *http.Request) {
	// The first request has no token. A missing or malformed token selects the first
	// page.
	from, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(p.buildPage(from))
}

// buildPage returns the page that starts at index from of the configured endpoints.
func (p *platform) buildPage(from int) listPage {
	page := listPage{InstanceList: instanceTable{ColumnNames: columnNames, RowList: [][]any{}}}
	end := from + p.options.pageSize
	for i := from; i < len(p.options.endpoints) && i < end; i++ {
		if row := p.endpointRow(p.options.endpoints[i]); row != nil {
			page.InstanceList.RowList = append(page.InstanceList.RowList, row)
		}
	}
	if end < len(p.options.endpoints) {
		token := strconv.Itoa(end)
		page.NextToken = &token
	}
	return page
}

// endpointRow checks the health of the endpoint that description, in the form
// "service,site,address", names and returns its row. It returns nil if description is
// malformed or the endpoint does not answer.
func (p *platform) endpointRow(description string) []any {
	parts := strings.Split(description, ",")
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
	return []any{response.Header.Get(headerInstanceID), service, zone, address, softwareVersion, reportedSlots, state, 0}
}
