package routeconfig

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/jx"
)

const (
	// maxSeconds is the largest duration accepted, about eleven and a half days.
	maxSeconds = 1e6
	// maxInteger is the largest integer accepted.
	maxInteger = 1 << 31
)

// decodeFields decodes an object and calls decodeField for each field. A field that is
// null is treated as absent.
func decodeFields(d *jx.Decoder, decodeField func(d *jx.Decoder, key string) error) error {
	return d.Obj(func(d *jx.Decoder, key string) error {
		if d.Next() == jx.Null {
			return wrapFieldError(key, d.Null())
		}
		return wrapFieldError(key, decodeField(d, key))
	})
}

// rawRouteFields holds the fields of a route that Route.complete resolves once the
// whole route is decoded.
type rawRouteFields struct {
	kind string
	// service is the short form of a split with a single service.
	service string
}

func decodeRoute(d *jx.Decoder, route *Route) error {
	route.MaxAttempts = 1
	var raw rawRouteFields
	err := decodeFields(d, func(d *jx.Decoder, key string) error {
		return decodeRouteField(d, key, route, &raw)
	})
	if err != nil {
		return err
	}
	return route.complete(raw.kind, raw.service)
}

func decodeRouteField(d *jx.Decoder, key string, route *Route, raw *rawRouteFields) error {
	switch key {
	case keyHost:
		return decodeString(d, &route.Host)
	case keyPathPrefix:
		return decodeString(d, &route.PathPrefix)
	case keyKind:
		return decodeString(d, &raw.kind)
	case keyTimeout:
		return decodeSeconds(d, &route.Timeout)
	case keyLatencyTarget:
		return decodeSeconds(d, &route.LatencyTarget)
	case keyPriority:
		return decodeInteger(d, &route.Priority)
	case keyMaxAttempts:
		return decodeInteger(d, &route.MaxAttempts)
	case keyService:
		return decodeString(d, &raw.service)
	case keySplit:
		return decodeSplit(d, &route.Split)
	case keyPolicy:
		return decodeParsedString(d, &route.Policy, CompilePolicy)
	case keySessionKey:
		return decodeParsedString(d, &route.SessionKey, ParseSessionKeySource)
	case keyHotKey:
		return decodeParsedString(d, &route.HotKey, ParseHotKeySource)
	}
	return d.Skip()
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
				return fmt.Errorf("%s %v is negative", keyWeight, service.Weight)
			}
			return err
		}
		return d.Skip()
	})
}

func decodeService(d *jx.Decoder, service *Service) error {
	return decodeFields(d, func(d *jx.Decoder, key string) (err error) {
		switch key {
		case keyHealthCheckPath:
			return decodeString(d, &service.HealthCheckPath)
		case keyMaxConnections:
			return decodeInteger(d, &service.MaxConnections)
		case keyProtocol:
			return decodeString(d, &service.Protocol)
		case keyTLS:
			service.TLS, err = d.Bool()
			return err
		}
		return d.Skip()
	})
}

func decodeLimits(d *jx.Decoder, limits *Limits) error {
	*limits = DefaultLimits()
	return decodeFields(d, func(d *jx.Decoder, key string) error {
		switch key {
		case keyMaxHeaderBytes:
			return decodeInteger(d, &limits.MaxHeaderBytes)
		case keyMaxBodyBytes:
			return decodeByteCount(d, &limits.MaxBodyBytes)
		case keyHeaderTimeout:
			return decodeSeconds(d, &limits.HeaderTimeout)
		case keyIdleTimeout:
			return decodeSeconds(d, &limits.IdleTimeout)
		}
		return d.Skip()
	})
}

// wrapFieldError prefixes the error with the name of its field; nil stays nil.
func wrapFieldError(key string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", key, err)
}

func checkJSON(data []byte) error {
	if !jx.Valid(data) {
		return Error.New("input is not a single valid JSON document")
	}
	return nil
}

func decodeString(d *jx.Decoder, target *string) (err error) {
	*target, err = d.Str()
	return err
}

// decodeParsedString decodes a string and converts it with parse.
func decodeParsedString[T any](d *jx.Decoder, target *T, parse func(string) (T, error)) error {
	text, err := d.Str()
	if err != nil {
		return err
	}
	*target, err = parse(text)
	return err
}

func decodeSeconds(d *jx.Decoder, target *time.Duration) error {
	seconds, err := d.Float64()
	if err != nil {
		return err
	}
	if seconds < 0 || seconds > maxSeconds {
		return fmt.Errorf("%v seconds is not between 0 and %.0f", seconds, maxSeconds)
	}
	*target = time.Duration(seconds * float64(time.Second))
	return nil
}

func decodeInteger(d *jx.Decoder, target *int) error {
	number, err := d.Float64()
	if err != nil {
		return err
	}
	if number < 0 || number > maxInteger || number != float64(int(number)) {
		return fmt.Errorf("%v is not an integer between 0 and %d", number, int64(maxInteger))
	}
	*target = int(number)
	return nil
}

func decodeByteCount(d *jx.Decoder, target *int64) error {
	number, err := d.Float64()
	if err != nil {
		return err
	}
	if number < 0 {
		return fmt.Errorf("%v is negative", number)
	}
	*target = int64(number)
	return nil
}

// decodeVersion decodes a version. Unlike ParseVersion it requires the prefix.
func decodeVersion(d *jx.Decoder, target *uint64) error {
	text, err := d.Str()
	if err != nil {
		return err
	}
	if !strings.HasPrefix(text, versionPrefix) {
		return fmt.Errorf("%q is not a %s such as r12", text, keyVersion)
	}
	*target, err = ParseVersion(text)
	return err
}
