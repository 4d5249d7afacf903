// Package dialplan reads the operator's configuration field by field, checks
// it, and compiles it to a table that processes share by copy-on-write.
package routeconfig

import (
	"fmt"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/jx"
	"github.com/zeebo/errs"
)

var Error = errs.Class("dialplan")

const (
	varBinding = "bindingList"
	varService = "serviceList"
	varLimits  = "limitSet"
)

type RouteKind int

const (
	KindPure RouteKind = iota
	KindEffectful
	KindUpload
	KindDownload
)

var kinds = map[string]RouteKind{"pure": KindPure, "effectful": KindEffectful, "upload": KindUpload, "download": KindDownload}

func ParseRouteKind(s string) (RouteKind, bool) {
	k, ok := kinds[s]
	return k, ok
}

// Heavy tells that bodies of the kind are large.
func (k RouteKind) Bulk() bool { return k == KindUpload || k == KindDownload }

func (k RouteKind) Idempotent() bool { return k == KindPure || k == KindDownload }

func (k RouteKind) String() string {
	for s, x := range kinds {
		if x == k {
			return s
		}
	}
	return "unknown"
}

type WeightedService struct {
	Service string
	Weight  float64
}

type Route struct {
	Name          string
	Host          string
	Prefix        string
	Kind          RouteKind
	Timeout       time.Duration
	LatencyTarget time.Duration
	Priority      int
	MaxAttempts   int
	Split         []WeightedService
	Policy        *Policy
	SessionKey    SessionKeySource
	HotKey        HotKeySource
}

// KeyAt tells where the key of a route's reads stands; none if In is empty.
type HotKeySource struct {
	Location string
	Name     string
	Segment  int
}

const (
	LocationPath   = "path"
	LocationQuery  = "query"
	LocationHeader = "header"
	mostPart       = 32
)

func (k HotKeySource) String() string {
	switch k.Location {
	case "":
		return ""
	case LocationPath:
		return k.Location + " " + strconv.Itoa(k.Segment)
	}
	return k.Location + " " + k.Name
}

// ParseKeyAt reads "path N" (the Nth segment after the route's prefix, from 1),
// "query NAME" or "header NAME".
func ParseHotKeySource(s string) (HotKeySource, error) {
	if s == "" {
		return HotKeySource{}, nil
	}
	in, name, _ := strings.Cut(s, " ")
	switch in {
	case LocationPath:
		if n, err := strconv.Atoi(name); err == nil && n >= 1 && n <= mostPart {
			return HotKeySource{Location: in, Segment: n}, nil
		}
	case LocationQuery:
		if name != "" && strings.IndexFunc(name, func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune("&=#?%+", c) }) < 0 {
			return HotKeySource{Location: in, Name: name}, nil
		}
	case LocationHeader:
		if token(name) {
			return HotKeySource{Location: in, Name: textproto.CanonicalMIMEHeaderKey(name)}, nil
		}
	}
	return HotKeySource{}, fmt.Errorf("%q is no \"path N\", \"query NAME\" or \"header NAME\" (N from 1 to %d)", s, mostPart)
}

// Of takes the key out of a request; path is the raw path, which begins with
// the route's prefix. None is "".
func (k HotKeySource) Extract(prefix, path, query string, header func(string) string) string {
	switch k.Location {
	case LocationPath:
		rest := strings.TrimPrefix(path, prefix)
		for i := 1; ; i++ {
			part, after, more := strings.Cut(rest, "/")
			if i == k.Segment {
				return part
			}
			if !more {
				return ""
			}
			rest = after
		}
	case LocationQuery:
		for query != "" {
			var kv string
			kv, query, _ = strings.Cut(query, "&")
			if n, v, _ := strings.Cut(kv, "="); n == k.Name {
				return v
			}
		}
	case LocationHeader:
		return header(k.Name)
	}
	return ""
}

// PinKey tells where a binding's session key stands; none if Name is empty.
type SessionKeySource struct {
	FromCookie bool
	Name       string
}

func (k SessionKeySource) String() string {
	switch {
	case k.Name == "":
		return ""
	case k.FromCookie:
		return "cookie " + k.Name
	}
	return "header " + k.Name
}

func token(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool {
		return c <= ' ' || c > '~' || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", c)
	}) < 0
}

// ParsePin reads "header NAME" or "cookie NAME".
func ParseSessionKeySource(s string) (SessionKeySource, error) {
	if s == "" {
		return SessionKeySource{}, nil
	}
	kind, name, _ := strings.Cut(s, " ")
	if !token(name) {
		return SessionKeySource{}, fmt.Errorf("%q is no \"header NAME\" or \"cookie NAME\"", s)
	}
	switch kind {
	case "header":
		return SessionKeySource{Name: textproto.CanonicalMIMEHeaderKey(name)}, nil
	case "cookie":
		return SessionKeySource{FromCookie: true, Name: name}, nil
	}
	return SessionKeySource{}, fmt.Errorf("%q is no \"header NAME\" or \"cookie NAME\"", s)
}

type Service struct {
	Name            string
	HealthCheckPath string
	MaxConnections  int
	Protocol        string
	TLS             bool
}

type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Item is one entry of the list: what was read of it, and its own bytes.
type Resource struct {
	Variant string
	Name    string
	Raw     jx.Raw
	Route   Route
	Service Service
	Limits  Limits
}

type Config struct {
	Version   uint64
	Resources []Resource
}

type Patch struct {
	Version  uint64
	Upserts  []Resource
	Removals map[string][]string
}

func ParseVersion(s string) (uint64, error) {
	t := strings.TrimPrefix(strings.Trim(strings.TrimSpace(s), `"`), "r")
	n, err := strconv.ParseUint(t, 10, 64)
	if err != nil {
		return 0, Error.New("%q is no stamp such as r12", s)
	}
	return n, nil
}

func FormatVersion(n uint64) string { return "r" + strconv.FormatUint(n, 10) }

func secs(d *jx.Decoder) (time.Duration, error) {
	f, err := d.Float64()
	if err != nil {
		return 0, err
	}
	if f < 0 || f > 1e6 {
		return 0, fmt.Errorf("%v seconds is out of range", f)
	}
	return time.Duration(f * float64(time.Second)), nil
}

func whole(d *jx.Decoder, to *int) error {
	f, err := d.Float64()
	if err != nil {
		return err
	}
	if f < 0 || f > 1<<31 || f != float64(int(f)) {
		return fmt.Errorf("%v is no whole number in range", f)
	}
	*to = int(f)
	return nil
}

func text(d *jx.Decoder, to *string) error {
	s, err := d.Str()
	*to = s
	return err
}

// opt lets a field hold null, which counts as left out.
func opt(d *jx.Decoder, f func() error) error {
	if d.Next() == jx.Null {
		return d.Null()
	}
	return f()
}

func at(where string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", where, err)
}

func readVersion(d *jx.Decoder, to *uint64) error {
	s, err := d.Str()
	if err != nil {
		return err
	}
	if !strings.HasPrefix(s, "r") {
		return fmt.Errorf("%q is no stamp such as r12", s)
	}
	*to, err = ParseVersion(s)
	return err
}

func readBinding(d *jx.Decoder, b *Route) error {
	kind, one := "", ""
	b.MaxAttempts = 1
	err := d.Obj(func(d *jx.Decoder, k string) error {
		return at(k, opt(d, func() error {
			switch k {
			case "hostname":
				return text(d, &b.Host)
			case "pathPrefix":
				return text(d, &b.Prefix)
			case "bindingKind":
				return text(d, &kind)
			case "timeoutS":
				v, err := secs(d)
				b.Timeout = v
				return err
			case "targetS":
				v, err := secs(d)
				b.LatencyTarget = v
				return err
			case "rank":
				return whole(d, &b.Priority)
			case "maxAttempts":
				return whole(d, &b.MaxAttempts)
			case "serviceName":
				return text(d, &one)
			case "policyText":
				var s string
				if err := text(d, &s); err != nil {
					return err
				}
				p, err := CompilePolicy(s)
				b.Policy = p
				return err
			case "sessionKey":
				var s string
				if err := text(d, &s); err != nil {
					return err
				}
				k, err := ParseSessionKeySource(s)
				b.SessionKey = k
				return err
			case "hotKey":
				var s string
				if err := text(d, &s); err != nil {
					return err
				}
				k, err := ParseHotKeySource(s)
				b.HotKey = k
				return err
			case "weightedSplit":
				return d.Arr(func(d *jx.Decoder) error {
					var s WeightedService
					if err := d.Obj(func(d *jx.Decoder, k string) error {
						switch k {
						case "serviceName":
							return text(d, &s.Service)
						case "share":
							f, err := d.Float64()
							if err == nil && f < 0 {
								err = fmt.Errorf("share %v is below 0", f)
							}
							s.Weight = f
							return err
						}
						return d.Skip()
					}); err != nil {
						return err
					}
					b.Split = append(b.Split, s)
					return nil
				})
			}
			return d.Skip()
		}))
	})
	if err != nil {
		return err
	}
	k, ok := kinds[kind]
	if !ok {
		return fmt.Errorf("bindingKind: %q is none of pure, effectful, upload, download", kind)
	}
	b.Kind = k
	if one != "" && len(b.Split) > 0 {
		return fmt.Errorf("serviceName and weightedSplit exclude each other")
	}
	if one != "" {
		b.Split = []WeightedService{{one, 1}}
	}
	if len(b.Split) == 0 {
		return fmt.Errorf("serviceName is missing")
	}
	if b.Host == "" {
		return fmt.Errorf("hostname is missing")
	}
	b.Host = strings.ToLower(b.Host)
	if !strings.HasPrefix(b.Prefix, "/") || !strings.HasSuffix(b.Prefix, "/") {
		return fmt.Errorf("pathPrefix: %q must begin and end with a slash", b.Prefix)
	}
	return nil
}

func readService(d *jx.Decoder, s *Service) error {
	return d.Obj(func(d *jx.Decoder, k string) error {
		return at(k, opt(d, func() error {
			switch k {
			case "soundnessPath":
				return text(d, &s.HealthCheckPath)
			case "maxConns":
				return whole(d, &s.MaxConnections)
			case "protocol":
				return text(d, &s.Protocol)
			case "tlsMode":
				v, err := d.Bool()
				s.TLS = v
				return err
			}
			return d.Skip()
		}))
	})
}

func readLimits(d *jx.Decoder, l *Limits) error {
	*l = DefaultLimits()
	return d.Obj(func(d *jx.Decoder, k string) error {
		return at(k, opt(d, func() error {
			switch k {
			case "headerBytes":
				return whole(d, &l.MaxHeaderBytes)
			case "maxBodyBytes":
				f, err := d.Float64()
				l.MaxBodyBytes = int64(f)
				if err == nil && f < 0 {
					err = fmt.Errorf("%v is below 0", f)
				}
				return err
			case "headerS":
				v, err := secs(d)
				l.HeaderTimeout = v
				return err
			case "idleTimeoutS":
				v, err := secs(d)
				l.IdleTimeout = v
				return err
			}
			return d.Skip()
		}))
	})
}

func readItem(raw jx.Raw) (Resource, error) {
	it := Resource{Raw: append(jx.Raw(nil), raw...)}
	var spec jx.Raw
	d := jx.DecodeBytes(raw)
	if err := d.Obj(func(d *jx.Decoder, k string) error {
		switch k {
		case "variant":
			return at(k, text(d, &it.Variant))
		case "metadata":
			return at(k, d.Obj(func(d *jx.Decoder, k string) error {
				if k == "name" {
					return text(d, &it.Name)
				}
				return d.Skip()
			}))
		case "specification":
			r, err := d.Raw()
			spec = r
			return at(k, err)
		}
		return d.Skip()
	}); err != nil {
		return it, err
	}
	if spec == nil {
		return it, fmt.Errorf("specification is missing")
	}
	sd := jx.DecodeBytes(spec)
	switch it.Variant {
	case varBinding:
		it.Route.Name = it.Name
		if it.Name == "" {
			return it, fmt.Errorf("metadata.name is missing")
		}
		return it, at(it.Name, readBinding(sd, &it.Route))
	case varService:
		it.Service.Name = it.Name
		if it.Name == "" {
			return it, fmt.Errorf("metadata.name is missing")
		}
		return it, at(it.Name, readService(sd, &it.Service))
	case varLimits:
		return it, readLimits(sd, &it.Limits)
	}
	return it, fmt.Errorf("variant: %q is none of %s, %s, %s", it.Variant, varBinding, varService, varLimits)
}

func readItems(d *jx.Decoder) ([]Resource, error) {
	var out []Resource
	err := d.Arr(func(d *jx.Decoder) error {
		r, err := d.Raw()
		if err != nil {
			return err
		}
		it, err := readItem(r)
		if err != nil {
			return fmt.Errorf("entry %d: %w", len(out), err)
		}
		out = append(out, it)
		return nil
	})
	return out, err
}

func valid(b []byte) error {
	if !jx.Valid(b) {
		return Error.New("this is no whole JSON document")
	}
	return nil
}

func Parse(b []byte) (Config, error) {
	if err := valid(b); err != nil {
		return Config{}, err
	}
	var c Config
	list := false
	if err := jx.DecodeBytes(b).Obj(func(d *jx.Decoder, k string) (err error) {
		switch k {
		case "stamp":
			return at(k, readVersion(d, &c.Version))
		case "resourceList":
			list = true
			c.Resources, err = readItems(d)
			return at(k, err)
		}
		return d.Skip()
	}); err != nil {
		return Config{}, Error.Wrap(err)
	}
	if c.Version == 0 {
		return Config{}, Error.New("stamp is missing or 0")
	}
	if !list {
		return Config{}, Error.New("resourceList is missing")
	}
	return c, c.Validate()
}

func ParsePatch(b []byte) (Patch, error) {
	if err := valid(b); err != nil {
		return Patch{}, err
	}
	p := Patch{Removals: map[string][]string{}}
	if err := jx.DecodeBytes(b).Obj(func(d *jx.Decoder, k string) error {
		switch k {
		case "stamp":
			return at(k, readVersion(d, &p.Version))
		case "upserts":
			return at(k, d.Obj(func(d *jx.Decoder, k string) (err error) {
				if k != "resourceList" {
					return fmt.Errorf("%q is no list that can be changed", k)
				}
				p.Upserts, err = readItems(d)
				return at(k, err)
			}))
		case "removals":
			return at(k, d.Obj(func(d *jx.Decoder, k string) error {
				if k != varBinding && k != varService && k != varLimits {
					return fmt.Errorf("%q is no list that can be changed", k)
				}
				return at(k, d.Arr(func(d *jx.Decoder) error {
					var s string
					err := text(d, &s)
					p.Removals[k] = append(p.Removals[k], s)
					return err
				}))
			}))
		}
		return d.Skip()
	}); err != nil {
		return Patch{}, Error.Wrap(err)
	}
	if p.Version == 0 {
		return Patch{}, Error.New("stamp is missing or 0")
	}
	return p, nil
}

func (c Config) Apply(p Patch) (Config, error) {
	drop := map[string]bool{}
	for v, ns := range p.Removals {
		for _, n := range ns {
			drop[v+"\x00"+n] = true
		}
	}
	up := map[string]int{}
	for i, it := range p.Upserts {
		up[it.Variant+"\x00"+it.Name] = i
	}
	out := Config{Version: p.Version}
	for _, it := range c.Resources {
		k := it.Variant + "\x00" + it.Name
		if i, ok := up[k]; ok {
			out.Resources = append(out.Resources, p.Upserts[i])
			delete(up, k)
			continue
		}
		if !drop[k] {
			out.Resources = append(out.Resources, it)
		}
	}
	for i, it := range p.Upserts {
		if j, ok := up[it.Variant+"\x00"+it.Name]; ok && j == i {
			out.Resources = append(out.Resources, it)
		}
	}
	return out, out.Validate()
}

func (c Config) Validate() error {
	names := map[string]bool{}
	svcs := map[string]bool{}
	for _, it := range c.Resources {
		k := it.Variant + "\x00" + it.Name
		if names[k] {
			return Error.New("%s: %q stands there twice", it.Variant, it.Name)
		}
		names[k] = true
		if it.Variant == varService {
			svcs[it.Name] = true
		}
	}
	places := map[string]string{}
	for _, it := range c.Resources {
		if it.Variant != varBinding {
			continue
		}
		b := it.Route
		for _, s := range b.Split {
			if !svcs[s.Service] {
				return Error.New("binding %s: service %q is unknown", b.Name, s.Service)
			}
		}
		pl := b.Host + "\x00" + b.Prefix
		if o, ok := places[pl]; ok {
			return Error.New("bindings %s and %s share host %s and prefix %s", o, b.Name, b.Host, b.Prefix)
		}
		places[pl] = b.Name
	}
	return nil
}

// Keyed tells that some route's reads have a key.
func (c Config) HasHotKeys() bool {
	return slices.ContainsFunc(c.Resources, func(it Resource) bool { return it.Route.HotKey.Location != "" })
}

func (c Config) Marshal() []byte {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("stamp")
	e.Str(FormatVersion(c.Version))
	e.FieldStart("resourceList")
	e.ArrStart()
	for _, it := range c.Resources {
		e.Raw(it.Raw)
	}
	e.ArrEnd()
	e.ObjEnd()
	return append([]byte(nil), e.Bytes()...)
}
