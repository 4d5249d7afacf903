package routeconfig

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// RouteKind tells whether a route's requests change state and whether their bodies
// are large.
type RouteKind int

const (
	// KindPure requests only read.
	KindPure RouteKind = iota
	// KindEffectful requests change state; a request is not retried once an endpoint
	// may have begun to process it.
	KindEffectful
	// KindUpload requests have large bodies and change state.
	KindUpload
	// KindDownload requests only read, and their responses are large.
	KindDownload
)

// kindNames are the names of the kinds in the configuration.
var kindNames = []string{KindPure: "pure", KindEffectful: "effectful", KindUpload: "upload", KindDownload: "download"}

// ParseRouteKind returns the kind with the given name in the configuration, or false
// if there is none.
func ParseRouteKind(name string) (RouteKind, bool) {
	i := slices.Index(kindNames, name)
	return RouteKind(max(i, 0)), i >= 0
}

// Bulk reports whether requests or responses of the kind have large bodies.
func (k RouteKind) Bulk() bool { return k == KindUpload || k == KindDownload }

// Idempotent reports whether a request can be sent again whatever the outcome of
// earlier attempts.
func (k RouteKind) Idempotent() bool { return k == KindPure || k == KindDownload }

// String returns the name of the kind in the configuration, or "unknown" for a value
// that is not a kind.
func (k RouteKind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// WeightedService is one of the services that a route splits its requests between.
type WeightedService struct {
	// Service is the name of the service.
	Service string
	// Weight is the service's share of the requests relative to the other weights of
	// the split; a service with weight 0 gets none.
	Weight float64
}

// Route directs the requests for a host and a path prefix to services.
type Route struct {
	// Name is the name of the route's resource.
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Kind tells whether requests change state and whether their bodies are large.
	Kind RouteKind
	// Timeout limits the total time of a request, all attempts included; 0 sets no
	// limit.
	Timeout time.Duration
	// LatencyTarget is the time within which requests should be answered.
	LatencyTarget time.Duration
	// Priority is the rank that the operator assigned to the route; lower ranks go
	// first.
	Priority int
	// MaxAttempts limits the number of endpoints that a request is sent to; the default
	// is 1.
	MaxAttempts int
	// Split has at least one service, in the order of the configuration.
	Split []WeightedService
	// Policy rejects requests that do not meet its condition; nil accepts all.
	Policy *Policy
	// SessionKey tells where requests carry the session key, if they do.
	SessionKey SessionKeySource
	// HotKey tells where requests carry the key that they read, if they do.
	HotKey HotKeySource
}

// complete resolves the kind and the single service, converts the host to lower case
// and validates the route.
func (r *Route) complete(kind, service string) error {
	parsed, ok := ParseRouteKind(kind)
	if !ok {
		return fmt.Errorf("%s: %q is not one of %s", keyKind, kind, strings.Join(kindNames, ", "))
	}
	r.Kind = parsed
	if service != "" && len(r.Split) > 0 {
		return fmt.Errorf("%s and %s are mutually exclusive", keyService, keySplit)
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
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("%s: %q must begin and end with a slash", keyPathPrefix, r.PathPrefix)
	}
	return nil
}
