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

// decodeFields reads an object. null counts as left out.
func decodeFields(d *jx.Decoder, decodeField func(d *jx.Decoder, key string) error) error {
	return d.Obj(func(d *jx.Decoder, key string) error {
		if d.Next() == jx.Null {
			return inField(key, d.Null())
		}
		return inField(key, decodeField(d, key))
	})
}

// routeText holds the fields of a route that are read as text and completed
// when all are known.
type routeText struct {
	kind string
	// service stands for a split of one.
	service string
}

func decodeRoute(d *jx.Decoder, route *Route) error {
	route.MaxAttempts = 1
	var text routeText
	err := decodeFields(d, func(d *jx.Decoder, key string) error {
		return decodeRouteField(d, key, route, &text)
	})
	if err != nil {
		return err
	}
	return route.complete(text.kind, text.service)
}

func decodeRouteField(d *jx.Decoder, key string, route *Route, text *routeText) error {
	switch key {
	case keyHost:
		return decodeString(d, &route.Host)
	case keyPathPrefix:
		return decodeString(d, &route.Prefix)
	case keyKind:
		return decodeString(d, &text.kind)
	case keyTimeout:
		return decodeSeconds(d, &route.Timeout)
	case keyLatencyTarget:
		return decodeSeconds(d, &route.LatencyTarget)
	case keyPriority:
		return decodeInteger(d, &route.Priority)
	case keyMaxAttempts:
		return decodeInteger(d, &route.MaxAttempts)
	case keyService:
		return decodeString(d, &text.service)
	case keySplit:
		return decodeSplit(d, &route.Split)
	case keyPolicy:
		return decodeText(d, &route.Policy, CompilePolicy)
	case keySessionKey:
		return decodeText(d, &route.SessionKey, ParseSessionKeySource)
	case keyHotKey:
		return decodeText(d, &route.HotKey, ParseHotKeySource)
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
				return fmt.Errorf("%s %v is below 0", keyWeight, service.Weight)
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
			return decodeBytes(d, &limits.MaxBodyBytes)
		case keyHeaderTimeout:
			return decodeSeconds(d, &limits.HeaderTimeout)
		case keyIdleTimeout:
			return decodeSeconds(d, &limits.IdleTimeout)
		}
		return d.Skip()
	})
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
