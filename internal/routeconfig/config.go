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

// Service is a group of endpoints that do the same.
type Service struct {
	Name string
	// HealthCheckPath is what health checks ask for.
	HealthCheckPath string
	MaxConnections  int
	Protocol        string
	TLS             bool
}

// Limits bounds what a node accepts from its clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is for how long a client may take to send a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout is for how long a connection is kept without a request.
	IdleTimeout time.Duration
}

// DefaultLimits holds where the configuration gives none.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Resource is one entry of the configuration: what was read of it, and its own
// bytes.
type Resource struct {
	// Variant is the kind of the resource, as the configuration has it; it decides
	// which one of Route, Service and Limits is set.
	Variant string
	Name    string
	Raw     jx.Raw
	Route   Route
	Service Service
	Limits  Limits
}

// resourceID names a resource within a configuration.
type resourceID struct{ variant, name string }

func (r Resource) id() resourceID { return resourceID{r.Variant, r.Name} }

// Config is a configuration.
type Config struct {
	// Version rises with each change; 0 is no configuration.
	Version   uint64
	Resources []Resource
}

// HasHotKeys tells that some route has a hot key.
func (c Config) HasHotKeys() bool {
	return slices.ContainsFunc(c.Resources, func(r Resource) bool { return r.Route.HotKey.Location != "" })
}

// Marshal writes the configuration as Parse reads it, each resource byte for
// byte as it came.
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

// ContentDigest tells configurations apart by their content, whatever their
// version and the order of their resources. It is a SHA-256 in hexadecimal.
func (c Config) ContentDigest() string {
	contents := make([][]byte, 0, len(c.Resources))
	for _, r := range c.Resources {
		contents = append(contents, compact(r.Raw))
	}
	slices.SortFunc(contents, bytes.Compare)
	digest := sha256.New()
	for _, content := range contents {
		digest.Write(content)
		digest.Write([]byte{'\n'})
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// compact leaves out white space between the tokens.
func compact(raw jx.Raw) []byte {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return raw
	}
	return b.Bytes()
}
