package routeconfig

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/jx"
)

const (
	// maxSeconds bounds durations to eleven days and a half.
	maxSeconds = 1e6
	// maxInteger bounds integers.
	maxInteger = 1 << 31
)

// fieldDecoders reads the fields of a T, by key.
type fieldDecoders[T any] map[string]func(*jx.Decoder, *T) error

// decode reads an object. Fields that it does not know are skipped, and null
// counts as left out.
func (fields fieldDecoders[T]) decode(d *jx.Decoder, to *T) error {
	return d.Obj(func(d *jx.Decoder, key string) error {
		decodeField, known := fields[key]
		if !known || d.Next() == jx.Null {
			return inField(key, d.Skip())
		}
		return inField(key, decodeField(d, to))
	})
}

var routeFields = fieldDecoders[routeSpecification]{
	keyHost:          func(d *jx.Decoder, r *routeSpecification) error { return decodeString(d, &r.route.Host) },
	keyPathPrefix:    func(d *jx.Decoder, r *routeSpecification) error { return decodeString(d, &r.route.Prefix) },
	keyKind:          func(d *jx.Decoder, r *routeSpecification) error { return decodeString(d, &r.kind) },
	keyTimeout:       func(d *jx.Decoder, r *routeSpecification) error { return decodeSeconds(d, &r.route.Timeout) },
	keyLatencyTarget: func(d *jx.Decoder, r *routeSpecification) error { return decodeSeconds(d, &r.route.LatencyTarget) },
	keyPriority:      func(d *jx.Decoder, r *routeSpecification) error { return decodeInteger(d, &r.route.Priority) },
	keyMaxAttempts:   func(d *jx.Decoder, r *routeSpecification) error { return decodeInteger(d, &r.route.MaxAttempts) },
	keyService:       func(d *jx.Decoder, r *routeSpecification) error { return decodeString(d, &r.service) },
	keySplit:         func(d *jx.Decoder, r *routeSpecification) error { return decodeSplit(d, &r.route.Split) },
	keyPolicy:        func(d *jx.Decoder, r *routeSpecification) error { return decodeText(d, &r.route.Policy, CompilePolicy) },
	keySessionKey: func(d *jx.Decoder, r *routeSpecification) error {
		return decodeText(d, &r.route.SessionKey, ParseSessionKeySource)
	},
	keyHotKey: func(d *jx.Decoder, r *routeSpecification) error {
		return decodeText(d, &r.route.HotKey, ParseHotKeySource)
	},
}

// routeSpecification is a route and those of its fields that say the same in
// another form.
type routeSpecification struct {
	route *Route
	kind  string
	// service is a split of one.
	service string
}

func decodeRoute(d *jx.Decoder, route *Route) error {
	route.MaxAttempts = 1
	specification := routeSpecification{route: route}
	if err := routeFields.decode(d, &specification); err != nil {
		return err
	}
	return route.complete(specification.kind, specification.service)
}

func decodeSplit(d *jx.Decoder, split *[]WeightedService) error {
	return d.Arr(func(d *jx.Decoder) error {
		var service WeightedService
		if err := decodeWeightedService(d, &service); err != nil {
			return err
		}
		*split = append(*split, service)
		return nil
	})
}

func decodeWeightedService(d *jx.Decoder, service *WeightedService) error {
	return d.Obj(func(d *jx.Decoder, key string) (err error) {
		switch key {
		case keyService:
			return decodeString(d, &service.Service)
		case keyWeight:
			service.Weight, err = d.Float64()
			if err == nil && service.Weight < 0 {
				return fmt.Errorf("%s %v is below 0", keyWeight, service.Weight)
			}
			return err
		}
		return d.Skip()
	})
}

var serviceFields = fieldDecoders[Service]{
	keyHealthCheckPath: func(d *jx.Decoder, s *Service) error { return decodeString(d, &s.HealthCheckPath) },
	keyMaxConnections:  func(d *jx.Decoder, s *Service) error { return decodeInteger(d, &s.MaxConnections) },
	keyProtocol:        func(d *jx.Decoder, s *Service) error { return decodeString(d, &s.Protocol) },
	keyTLS: func(d *jx.Decoder, s *Service) (err error) {
		s.TLS, err = d.Bool()
		return err
	},
}

func decodeService(d *jx.Decoder, service *Service) error { return serviceFields.decode(d, service) }

var limitFields = fieldDecoders[Limits]{
	keyMaxHeaderBytes: func(d *jx.Decoder, l *Limits) error { return decodeInteger(d, &l.MaxHeaderBytes) },
	keyMaxBodyBytes:   func(d *jx.Decoder, l *Limits) error { return decodeBytes(d, &l.MaxBodyBytes) },
	keyHeaderTimeout:  func(d *jx.Decoder, l *Limits) error { return decodeSeconds(d, &l.HeaderTimeout) },
	keyIdleTimeout:    func(d *jx.Decoder, l *Limits) error { return decodeSeconds(d, &l.IdleTimeout) },
}

func decodeLimits(d *jx.Decoder, limits *Limits) error {
	*limits = DefaultLimits()
	return limitFields.decode(d, limits)
}

// inField says where an error is.
func inField(key string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", key, err)
}

func checkJSON(data []byte) error {
	if !jx.Valid(data) {
		return Error.New("this is no whole JSON document")
	}
	return nil
}

func decodeString(d *jx.Decoder, to *string) (err error) {
	*to, err = d.Str()
	return err
}

// decodeText reads a string that has a form of its own.
func decodeText[T any](d *jx.Decoder, to *T, parse func(string) (T, error)) error {
	text, err := d.Str()
	if err != nil {
		return err
	}
	*to, err = parse(text)
	return err
}

func decodeSeconds(d *jx.Decoder, to *time.Duration) error {
	seconds, err := d.Float64()
	if err != nil {
		return err
	}
	if seconds < 0 || seconds > maxSeconds {
		return fmt.Errorf("%v seconds is out of range", seconds)
	}
	*to = time.Duration(seconds * float64(time.Second))
	return nil
}

func decodeInteger(d *jx.Decoder, to *int) error {
	number, err := d.Float64()
	if err != nil {
		return err
	}
	if number < 0 || number > maxInteger || number != float64(int(number)) {
		return fmt.Errorf("%v is no whole number in range", number)
	}
	*to = int(number)
	return nil
}

func decodeBytes(d *jx.Decoder, to *int64) error {
	number, err := d.Float64()
	if err != nil {
		return err
	}
	if number < 0 {
		return fmt.Errorf("%v is below 0", number)
	}
	*to = int64(number)
	return nil
}

func decodeVersion(d *jx.Decoder, to *uint64) error {
	text, err := d.Str()
	if err != nil {
		return err
	}
	if !strings.HasPrefix(text, versionPrefix) {
		return fmt.Errorf("%q is no %s such as r12", text, keyVersion)
	}
	*to, err = ParseVersion(text)
	return err
}
