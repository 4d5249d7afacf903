package routeconfig

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// RouteKind tells what a route's requests do, and how large they are.
type RouteKind int

const (
	// KindPure requests only read.
	KindPure RouteKind = iota
	// KindEffectful requests change something: none is sent twice once an endpoint
	// may have begun it.
	KindEffectful
	// KindUpload requests carry large bodies and change something.
	KindUpload
	// KindDownload requests only read, and their answers are large.
	KindDownload
)

// kindNames are the kinds as the configuration has them.
var kindNames = []string{KindPure: "pure", KindEffectful: "effectful", KindUpload: "upload", KindDownload: "download"}

// ParseRouteKind reads a kind; false if there is none of that name.
func ParseRouteKind(name string) (RouteKind, bool) {
	i := slices.Index(kindNames, name)
	return RouteKind(max(i, 0)), i >= 0
}

// Bulk tells that bodies of the kind are large.
func (k RouteKind) Bulk() bool { return k == KindUpload || k == KindDownload }

// Idempotent tells that a request may be sent again whatever became of it.
func (k RouteKind) Idempotent() bool { return k == KindPure || k == KindDownload }

// String returns the kind as the configuration names it.
func (k RouteKind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// WeightedService is one of the services that a route's requests are split over.
type WeightedService struct {
	Service string
	// Weight is the service's share in proportion to the others'; 0 gives it no
	// requests.
	Weight float64
}

// Route sends the requests for a host and a path prefix to services.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is for how long a request may take in all.
	Timeout time.Duration
	// LatencyTarget is the time within which requests should be answered.
	LatencyTarget time.Duration
	// Priority is the rank that the operator gives the route.
	Priority int
	// MaxAttempts bounds the endpoints that a request is sent to; 1 unless it is
	// given.
	MaxAttempts int
	// Split has one service at least; its order is that of the configuration.
	Split []WeightedService
	// Policy bars requests; nil lets all pass.
	Policy *Policy
	// SessionKey tells where requests name their session, if they do.
	SessionKey SessionKeySource
	// HotKey tells where requests name what they read, if they do.
	HotKey HotKeySource
}

// complete fills in what follows from the fields that were read, and checks
// them.
func (r *Route) complete(kind, service string) error {
	parsed, ok := ParseRouteKind(kind)
	if !ok {
		return fmt.Errorf("%s: %q is none of %s", keyKind, kind, strings.Join(kindNames, ", "))
	}
	r.Kind = parsed
	if service != "" && len(r.Split) > 0 {
		return fmt.Errorf("%s and %s exclude each other", keyService, keySplit)
	}
	if service != "" {
		r.Split = []WeightedService{{Service: service, Weight: 1}}
	}
	if len(r.Split) == 0 {
		return fmt.Errorf("%s is missing", keyService)
	}
	if r.Host == "" {
		return fmt.Errorf("%s is missing", keyHost)
	}
	r.Host = strings.ToLower(r.Host)
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("%s: %q must begin and end with a slash", keyPathPrefix, r.Prefix)
	}
	return nil
}
