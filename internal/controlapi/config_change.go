package controlapi

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"corkcove/internal/coordination"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

const (
	// baseVersionHeader names the version that a change was made for.
	baseVersionHeader = "If-Match"
	// configBodyTimeout bounds the reading of a configuration's body.
	configBodyTimeout = 10 * time.Second
)

// errStoredUnreadable says that a patch can't be applied: its base can't be
// read.
var errStoredUnreadable = Error.New("the configuration in force can't be read")

// configChange identifies a change that an operator sent. It is the same change
// if its method, base version and body are.
type configChange struct {
	base   uint64
	digest []byte
	// legacyDigest is as releases before 242832a recorded it, without the base.
	legacyDigest []byte
}

func newConfigChange(method string, base uint64, body []byte) configChange {
	return configChange{
		base:         base,
		digest:       changeDigest(method+" "+routeconfig.FormatVersion(base)+" ", body),
		legacyDigest: changeDigest(method+" ", body),
	}
}

func changeDigest(prefix string, body []byte) []byte {
	digest := sha256.New()
	_, _ = io.WriteString(digest, prefix) // a hash never fails
	_, _ = digest.Write(body)
	return digest.Sum(nil)[:coordination.DigestSize]
}

// changeStatus is how a change stands against the configuration in force.
type changeStatus struct {
	// current is the configuration in force; nil if there is none.
	current  *meshpb.Blob
	accepted bool
	// floor is the version up to which accepted changes may have been forgotten.
	floor uint64
}

func (c configChange) status(t *coordination.Table) changeStatus {
	return changeStatus{t.Blob(ConfigBlob), t.HasAccepted(c.digest) || t.HasAccepted(c.legacyDigest), t.AcceptedFloor()}
}

// response answers for a change that is decided.
func (s changeStatus) response() response {
	if s.accepted {
		return response{body: empty{}}
	}
	return response{status: statusRevisionMismatch, message: "the configuration in force is " + routeconfig.FormatVersion(s.current.GetVersion())}
}

// readChangeStatus reads, in one step, whether the change was accepted and what
// is in force.
func (s *CoreServer) readChangeStatus(r request, c configChange) (changeStatus, error) {
	return s.transactConfig(r, func(t *coordination.Table, _ time.Duration) coordination.Decision[changeStatus] {
		found := c.status(t)
		return coordination.Decision[changeStatus]{Result: found, AlreadyApplied: found.accepted}
	})
}

// commitChange accepts the change if the configuration that it was checked
// against is still in force.
func (s *CoreServer) commitChange(r request, c configChange, next *meshpb.Blob) (changeStatus, error) {
	return s.transactConfig(r, func(t *coordination.Table, _ time.Duration) coordination.Decision[changeStatus] {
		found := c.status(t)
		if found.accepted || found.current.GetVersion() != c.base {
			return coordination.Decision[changeStatus]{Result: found, AlreadyApplied: found.accepted}
		}
		return coordination.Decision[changeStatus]{
			Change: &meshpb.Change{Blob: next, Accepted: &meshpb.AcceptedChange{Version: next.Version, Digest: c.digest}},
			Result: changeStatus{current: next, accepted: true},
		}
	})
}

func (s *CoreServer) transactConfig(r request, decide func(*coordination.Table, time.Duration) coordination.Decision[changeStatus]) (changeStatus, error) {
	return callWithRetry(s, r, coordination.ConfigShard, func(ctx context.Context) (changeStatus, error) {
		return coordination.Transact(ctx, s.Coordination, coordination.ConfigShard, decide)
	})
}

// parsedChange is a change whose body was read.
type parsedChange struct {
	version uint64
	// build makes the next configuration from the one in force.
	build func(current *meshpb.Config) (routeconfig.Config, error)
}

type changeParser func(body []byte) (parsedChange, error)

// putConfig replaces the configuration.
func (s *CoreServer) putConfig(w http.ResponseWriter, r request) { s.changeConfig(w, r, parsePut) }

func parsePut(body []byte) (parsedChange, error) {
	config, err := routeconfig.Parse(body)
	build := func(*meshpb.Config) (routeconfig.Config, error) { return config, nil }
	return parsedChange{config.Version, build}, err
}

// patchConfig changes some resources of the configuration.
func (s *CoreServer) patchConfig(w http.ResponseWriter, r request) {
	s.changeConfig(w, r, s.parsePatch)
}

func (s *CoreServer) parsePatch(body []byte) (parsedChange, error) {
	patch, err := routeconfig.ParsePatch(body)
	build := func(current *meshpb.Config) (routeconfig.Config, error) {
		if current.Version == 0 {
			return routeconfig.Config{}, routeconfig.Error.New("there is no configuration to change")
		}
		base, err := s.configs.parse(current)
		if err != nil {
			return routeconfig.Config{}, errStoredUnreadable
		}
		return base.Apply(patch)
	}
	return parsedChange{patch.Version, build}, err
}

// changeConfig carries out a PUT or PATCH of the configuration. It reads the
// body only if there is room, parses it only if the change is neither accepted
// already nor made for an outdated version, and large ones one by one.
func (s *CoreServer) changeConfig(w http.ResponseWriter, r request, parse changeParser) {
	releaseBody, ok := s.bodies.reserve(r.ContentLength)
	if !ok {
		errorResponse(errUnavailable).write(w)
		return
	}
	defer releaseBody()
	change, body, err := readConfigChange(w, r)
	if err != nil {
		errorResponse(err).write(w)
		return
	}
	found, err := s.readChangeStatus(r, change)
	if err != nil {
		errorResponse(err).write(w)
		return
	}
	outdated := found.current.GetVersion() != change.base
	if found.accepted || outdated && found.floor == 0 {
		found.response().write(w)
		return
	}
	releaseTurn, ok := s.waitForBulkTurn(r.Context(), len(body))
	if !ok {
		errorResponse(errUnavailable).write(w)
		return
	}
	defer releaseTurn()
	s.checkAndCommit(r, change, found, body, parse).write(w)
}

// readConfigChange reads the body and the base version.
func readConfigChange(w http.ResponseWriter, r request) (configChange, []byte, error) {
	control := http.NewResponseController(w)
	// Writers without deadlines are those of tests.
	_ = control.SetReadDeadline(time.Now().Add(configBodyTimeout))
	body, err := readBody(w, r, maxConfigBytes)
	if err != nil {
		return configChange{}, nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	base, err := routeconfig.ParseVersion(r.Header.Get(baseVersionHeader))
	if err != nil {
		return configChange{}, nil, errMalformed(baseVersionHeader + ": " + err.Error())
	}
	return newConfigChange(r.Method, base, body), body, nil
}

func (s *CoreServer) waitForBulkTurn(ctx context.Context, size int) (release func(), ok bool) {
	ctx, cancel := context.WithTimeout(ctx, s.RetryTimeout)
	defer cancel()
	return s.bodies.acquireLargeBody(ctx, size)
}

// checkAndCommit parses a change, checks it against the configuration that was
// found in force, and commits it.
func (s *CoreServer) checkAndCommit(r request, change configChange, found changeStatus, body []byte, parse changeParser) response {
	parsed, err := parse(body)
	switch {
	case err != nil:
		return errorResponse(errInvalid(err.Error()))
	case parsed.version <= found.floor:
		// It may have been accepted and forgotten.
		return errorResponse(errOutcomeUnknown)
	case found.current.GetVersion() != change.base:
		return found.response()
	case parsed.version <= change.base:
		return errorResponse(errInvalid("stamp " + routeconfig.FormatVersion(parsed.version) + " is not above " + routeconfig.FormatVersion(change.base)))
	}
	current, err := decodeConfig(found.current)
	if err != nil {
		current = &meshpb.Config{}
	}
	current.Version = change.base
	config, err := parsed.build(current)
	switch {
	case errors.Is(err, errStoredUnreadable):
		return errorResponse(errOutcomeUnknown)
	case err != nil:
		return errorResponse(errInvalid(err.Error()))
	}
	data, err := s.encodeConfig(current, config)
	if err != nil {
		return errorResponse(errOutcomeUnknown)
	}
	next := &meshpb.Blob{Name: ConfigBlob, Data: data, Version: parsed.version}
	decided, err := s.commitChange(r, change, next)
	if err != nil {
		return errorResponse(err)
	}
	if decided.accepted {
		s.accepted(config)
	}
	return decided.response()
}

func (s *CoreServer) accepted(config routeconfig.Config) {
	s.configs.set(config)
	if s.OnConfigAccepted != nil {
		s.OnConfigAccepted(config.Version)
	}
}
