package rpc

import (
	"net/http"
	"net/url"
	"strings"

	"corkcove/internal/rpc/meshpb"
)

// wirePaths maps the path of each generated method to its path on the wire. The
// wire paths are those of earlier releases, so that processes of different
// releases interoperate during a rolling upgrade.
var wirePaths = map[string]string{
	"/twirp/mesh.Replication/RenewLeases":       "/twirp/trunk.Exchange/Hold",
	"/twirp/mesh.Replication/Replicate":         "/twirp/trunk.Exchange/Copy",
	"/twirp/mesh.Replication/RequestVotes":      "/twirp/trunk.Exchange/Ask",
	"/twirp/mesh.Replication/TransferOwnership": "/twirp/trunk.Exchange/Hand",
	"/twirp/mesh.Replication/AcceptMembership":  "/twirp/trunk.Exchange/Enroll",
	"/twirp/mesh.Replication/Join":              "/twirp/trunk.Exchange/Join",

	"/twirp/mesh.Control/RegisterNode": "/twirp/trunk.Control/Hello",
	"/twirp/mesh.Control/Status":       "/twirp/trunk.Control/Status",
	"/twirp/mesh.Control/SetState":     "/twirp/trunk.Control/SetState",
	"/twirp/mesh.Control/PinSession":   "/twirp/trunk.Control/Pin",
	"/twirp/mesh.Control/Relay":        "/twirp/trunk.Control/Relay",

	"/twirp/mesh.Node/Poll":          "/twirp/trunk.Node/Poll",
	"/twirp/mesh.Node/PublishView":   "/twirp/trunk.Node/Publish",
	"/twirp/mesh.Node/DeliverConfig": "/twirp/trunk.Node/Deliver",

	"/twirp/mesh.Diagnostics/Trace":          "/twirp/trunk.Tracer/Trace",
	"/twirp/mesh.Diagnostics/Flows":          "/twirp/trunk.Tracer/Flows",
	"/twirp/mesh.Diagnostics/Sessions":       "/twirp/trunk.Tracer/Sessions",
	"/twirp/mesh.Diagnostics/RequestRecords": "/twirp/trunk.Tracer/Tickets",
	"/twirp/mesh.Diagnostics/Snapshots":      "/twirp/trunk.Tracer/Parts",
}

// generatedPaths is the inverse of wirePaths.
var generatedPaths = invert(wirePaths)

func invert(paths map[string]string) map[string]string {
	inverse := make(map[string]string, len(paths))
	for generated, wire := range paths {
		inverse[wire] = generated
	}
	return inverse
}

// wireClient sends the requests of generated clients to their wire paths.
type wireClient struct {
	client *http.Client
}

// Do implements meshpb.HTTPClient. It rewrites the path of request in place.
func (c wireClient) Do(request *http.Request) (*http.Response, error) {
	if path, ok := wirePaths[request.URL.Path]; ok {
		request.URL.Path = path
	}
	return c.client.Do(request)
}

// Handle registers a generated server on mux under its wire paths.
func Handle(mux *http.ServeMux, server meshpb.TwirpServer) {
	handler := withGeneratedPath(server)
	for generated, wire := range wirePaths {
		if strings.HasPrefix(generated, server.PathPrefix()) {
			mux.Handle(wire, handler)
		}
	}
}

// withGeneratedPath replaces the wire path of each request with the path that the
// generated server expects.
func withGeneratedPath(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		routed := *r
		routed.URL = &url.URL{Path: generatedPaths[r.URL.Path]}
		next.ServeHTTP(w, &routed)
	})
}
