package controlapi

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"corkcove/internal/coordination"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc/meshpb"
)

const (
	// baseVersionHeader is the request header with the base version of a change: the
	// version that the current configuration must have for the change to be accepted.
	baseVersionHeader = "If-Match"
	// configBodyTimeout is the time limit for reading the body of a change.
	configBodyTimeout = 10 * time.Second
)

// errStoredConfigUnreadable reports that a patch cannot be applied because the
// current configuration cannot be decoded.
var errStoredConfigUnreadable = Error.New("the stored configuration cannot be decoded")

// configChange identifies a configuration change that an operator sent. Two requests
// are for the same change if their method, base version and body are equal.
type configChange struct {
	baseVersion uint64
	// digest covers the method, the base version and the body.
	digest []byte
	// legacyDigest is the digest that releases before the previous one recorded. It
	// does not cover the base version.
	legacyDigest []byte
}

func newConfigChange(method string, baseVersion uint64, body []byte) configChange {
	return configChange{
		baseVersion:  baseVersion,
		digest:       changeDigest(method+" "+routeconfig.FormatVersion(baseVersion)+" ", body),
		legacyDigest: changeDigest(method+" ", body),
	}
}

// changeDigest returns the first coordination.DigestSize bytes of the SHA-256 of
// prefix and body.
func changeDigest(prefix string, body []byte) []byte {
	digest := sha256.New()
	_, _ = io.WriteString(digest, prefix) // writing to a hash never returns an error
	_, _ = digest.Write(body)
	return digest.Sum(nil)[:coordination.DigestSize]
}

// changeStatus is the state of a change relative to the current configuration.
type changeStatus struct {
	// current is the blob of the current configuration, or nil if there is none.
	current *meshpb.Blob
	// accepted reports whether the change has been accepted.
	accepted bool
	// acceptedFloor is the version up to which, inclusive, accepted changes may have
	// been dropped from the record, so that accepted is false for them. It is 0 if
	// none was dropped.
	acceptedFloor uint64
}

// status returns the state of the change in the configuration shard's table.
func (c configChange) status(t *coordination.Table) changeStatus {
	return changeStatus{t.Blob(ConfigBlob), t.HasAccepted(c.digest) || t.HasAccepted(c.legacyDigest), t.AcceptedFloor()}
}

// response returns the response to a change that has been decided: success if it
// was accepted, otherwise a version mismatch.
func (s changeStatus) response() response {
	if s.accepted {
		return response{body: empty{}}
	}
	return response{status: statusRevisionMismatch, message: "the configuration in force is " + routeconfig.FormatVersion(s.current.GetVersion())}
}

// readChangeStatus reads, in one transaction, whether the change has been accepted
// and which configuration is current.
func (s *CoreServer) readChangeStatus(r request, c configChange) (changeStatus, error) {
	return s.transactConfig(r, func(t *coordination.Table, _ time.Duration) coordination.Decision[changeStatus] {
		status := c.status(t)
		return coordination.Decision[changeStatus]{Result: status, AlreadyApplied: status.accepted}
	})
}

// commitChange replaces the current configuration with next and records the change
// as accepted, if the current configuration still has the change's base version. It
// returns the resulting status.
func (s *CoreServer) commitChange(r request, c configChange, next *meshpb.Blob) (changeStatus, error) {
	return s.transactConfig(r, func(t *coordination.Table, _ time.Duration) coordination.Decision[changeStatus] {
		status := c.status(t)
		if status.accepted || status.current.GetVersion() != c.baseVersion {
			return coordination.Decision[changeStatus]{Result: status, AlreadyApplied: status.accepted}
		}
		return coordination.Decision[changeStatus]{
			Change: &meshpb.Change{Blob: next, Accepted: &meshpb.AcceptedChange{Version: next.Version, Digest: c.digest}},
			Result: changeStatus{current: next, accepted: true},
		}
	})
}

// transactConfig runs decide in a transaction on the configuration shard. If another
// member owns the shard, the error is a *notOwnerError.
func (s *CoreServer) transactConfig(r request, decide func(*coordination.Table, time.Duration) coordination.Decision[changeStatus]) (changeStatus, error) {
	return callWithRetry(s, r, coordination.ConfigShard, func(ctx context.Context) (changeStatus, error) {
		return coordination.Transact(ctx, s.Coordination, coordination.ConfigShard, decide)
	})
}

// parsedChange is a change whose body has been parsed.
type parsedChange struct {
	// version is the version of the configuration that the change creates.
	version uint64
	// apply returns the result of applying the change to the current configuration.
	// The error is errStoredConfigUnreadable, or says why the result is invalid.
	apply func(current *meshpb.Config) (routeconfig.Config, error)
}

// changeParser parses the body of a change. Its errors are reported to the operator.
type changeParser func(body []byte) (parsedChange, error)

// putConfig handles a PUT of the configuration, which replaces all of it.
func (s *CoreServer) putConfig(w http.ResponseWriter, r request) { s.changeConfig(w, r, parsePut) }

// errConfigNotUTF8 reports a change whose body is not UTF-8 and so no JSON.
var errConfigNotUTF8 = Error.New("the configuration is not UTF-8")

func parsePut(body []byte) (parsedChange, error) {
	if !utf8.Valid(body) {
		return parsedChange{}, errConfigNotUTF8
	}
	config, err := routeconfig.Parse(body)
	apply := func(*meshpb.Config) (routeconfig.Config, error) { return config, nil }
	return parsedChange{config.Version, apply}, err
}

// patchConfig handles a PATCH of the configuration, which adds, replaces and removes
// individual resources.
func (s *CoreServer) patchConfig(w http.ResponseWriter, r request) {
	s.changeConfig(w, r, s.parsePatch)
}

func (s *CoreServer) parsePatch(body []byte) (parsedChange, error) {
	if !utf8.Valid(body) {
		return parsedChange{}, errConfigNotUTF8
	}
	patch, err := routeconfig.ParsePatch(body)
	apply := func(current *meshpb.Config) (routeconfig.Config, error) {
		if current.Version == 0 {
			return routeconfig.Config{}, routeconfig.Error.New("there is no configuration to change")
		}
		base, err := s.configs.parse(current)
		if err != nil {
			return routeconfig.Config{}, errStoredConfigUnreadable
		}
		return base.Apply(patch)
	}
	return parsedChange{patch.Version, apply}, err
}

// changeConfig handles a PUT or PATCH of the configuration. To limit memory, it reads
// the body only while the bodies of all pending changes are within
// maxPendingBodyBytes, and parses large bodies one at a time.
//
// It responds without parsing the body if the change has already been accepted, or if
// its base version is outdated and no accepted change has been dropped from the
// record. If some were dropped, only the new version, which is in the body, shows
// whether this change may be one of them.
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
	status, err := s.readChangeStatus(r, change)
	if err != nil {
		errorResponse(err).write(w)
		return
	}
	outdated := status.current.GetVersion() != change.baseVersion
	if status.accepted || outdated && status.acceptedFloor == 0 {
		status.response().write(w)
		return
	}
	releaseTurn, ok := s.waitForBulkTurn(r.Context(), len(body))
	if !ok {
		errorResponse(errUnavailable).write(w)
		return
	}
	defer releaseTurn()
	s.checkAndCommit(r, change, status, body, parse).write(w)
}

// readConfigChange reads the body and the base version of a request and returns the
// change that they identify, together with the body.
func readConfigChange(w http.ResponseWriter, r request) (configChange, []byte, error) {
	controller := http.NewResponseController(w)
	// The error is ignored: only the response writers of tests do not support read
	// deadlines.
	_ = controller.SetReadDeadline(time.Now().Add(configBodyTimeout))
	body, err := readBody(w, r, maxConfigBytes)
	if err != nil {
		return configChange{}, nil, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	baseVersion, err := routeconfig.ParseVersion(r.Header.Get(baseVersionHeader))
	if err != nil {
		return configChange{}, nil, errMalformed(baseVersionHeader + ": " + err.Error())
	}
	return newConfigChange(r.Method, baseVersion, body), body, nil
}

// waitForBulkTurn waits up to RetryTimeout until a body of this size may be parsed.
func (s *CoreServer) waitForBulkTurn(ctx context.Context, size int) (release func(), ok bool) {
	ctx, cancel := context.WithTimeout(ctx, s.RetryTimeout)
	defer cancel()
	return s.bodies.acquireLargeBody(ctx, size)
}

// checkAndCommit parses a change, validates it against status, which was read before,
// and commits it.
func (s *CoreServer) checkAndCommit(r request, change configChange, status changeStatus, body []byte, parse changeParser) response {
	parsed, err := parse(body)
	switch {
	case err != nil:
		return errorResponse(errInvalid(err.Error()))
	case parsed.version <= status.acceptedFloor:
		// It may have been accepted and then dropped from the record.
		return errorResponse(errOutcomeUnknown)
	case status.current.GetVersion() != change.baseVersion:
		return status.response()
	case parsed.version <= change.baseVersion:
		return errorResponse(errInvalid("stamp " + routeconfig.FormatVersion(parsed.version) + " is not above " + routeconfig.FormatVersion(change.baseVersion)))
	}
	current, err := decodeConfig(status.current)
	if err != nil {
		current = &meshpb.Config{}
	}
	current.Version = change.baseVersion
	config, err := parsed.apply(current)
	switch {
	case errors.Is(err, errStoredConfigUnreadable):
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
		s.handleAcceptedConfig(config)
	}
	return decided.response()
}

// handleAcceptedConfig caches an accepted configuration and calls OnConfigAccepted.
func (s *CoreServer) handleAcceptedConfig(config routeconfig.Config) {
	s.configs.set(config)
	if s.OnConfigAccepted != nil {
		s.OnConfigAccepted(config.Version)
	}
}
