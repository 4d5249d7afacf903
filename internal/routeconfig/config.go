package routeconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/jx"
)

// Service is a group of interchangeable endpoints.
type Service struct {
	// Name is the name of the service's resource.
	Name string
	// HealthCheckPath is the path that health checks request.
	HealthCheckPath string
	// MaxConnections is the configured maximum number of connections.
	MaxConnections int
	// Protocol is the configured protocol, such as h1.
	Protocol string
	// TLS is the configured TLS mode.
	TLS bool
}

// Limits restricts what a node accepts from its clients.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request's headers.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request's body.
	MaxBodyBytes int64
	// HeaderTimeout limits the time in which a client sends a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout is the time without a request after which a connection is closed.
	IdleTimeout time.Duration
}

// DefaultLimits returns the limits that apply where the configuration sets none.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Resource is one entry of the configuration: its decoded fields and its original
// bytes.
type Resource struct {
	// Variant is the resource's type as the configuration writes it; it determines
	// which one of Route, Service and Limits is set.
	Variant string
	// Name is unique within the variant; it may be empty for limits.
	Name string
	// Raw is the resource's JSON as it was received, unknown fields included.
	Raw jx.Raw
	// Route is set if the variant is bindingList.
	Route Route
	// Service is set if the variant is serviceList.
	Service Service
	// Limits is set if the variant is limitSet.
	Limits Limits
}

// resourceID identifies a resource within a configuration.
type resourceID struct{ variant, name string }

func (r Resource) id() resourceID { return resourceID{r.Variant, r.Name} }

// Config holds the resources of one version of the configuration.
type Config struct {
	// Version increases with each change; 0 means that there is no configuration.
	Version uint64
	// Resources are in the order of the configuration.
	Resources []Resource
}

// HasHotKeys reports whether any route has a hot key source.
func (c Config) HasHotKeys() bool {
	return slices.ContainsFunc(c.Resources, func(r Resource) bool { return r.Route.HotKey.Location != "" })
}

// Marshal encodes the configuration in the form that Parse reads. Each resource
// keeps its original bytes.
func (c Config) Marshal() []byte {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart(keyVersion)
	e.Str(FormatVersion(c.Version))
	e.FieldStart(keyResources)
	e.ArrStart()
	for _, r := range c.Resources {
		e.Raw(r.Raw)
	}
	e.ArrEnd()
	e.ObjEnd()
	return slices.Clone(e.Bytes())
}

// ContentDigest identifies the content of the configuration. It is a SHA-256 in
// hexadecimal and does not depend on the version, the order of the resources or the
// white space between JSON tokens.
func (c Config) ContentDigest() string {
	contents := make([][]byte, 0, len(c.Resources))
	for _, r := range c.Resources {
		contents = append(contents, compactJSON(r.Raw))
	}
	slices.SortFunc(contents, bytes.Compare)
	digest := sha256.New()
	for _, content := range contents {
		digest.Write(content)
		digest.Write([]byte{'\n'})
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// compactJSON removes the white space between tokens; invalid JSON is returned
// unchanged.
func compactJSON(raw jx.Raw) []byte {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return raw
	}
	return b.Bytes()
}
