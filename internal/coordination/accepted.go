package coordination

import (
	"bytes"
	"slices"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

const (
	// ConfigBlob is the name of the blob that holds the configuration in force.
	ConfigBlob = "configuration"
	// MaxAcceptedChanges is the number of accepted configuration changes, the newest
	// ones, that are recognized when they are sent again.
	MaxAcceptedChanges = 4096
	// DigestSize is the number of leading bytes of a change's digest that are
	// recorded.
	DigestSize = 16

	// maxLegacyAccepted is the number of changes that releases before the previous
	// one recorded inside the configuration. A record of that length may have
	// dropped older changes.
	maxLegacyAccepted = 256
)

// acceptedChanges is the record of accepted configuration changes, ordered by
// ascending version. Snapshots share the arrays of its slices: their elements are
// never overwritten, and both snapshot and restore clip the capacity, so that no
// appended element shows up in another slice.
type acceptedChanges struct {
	versions []uint64
	// digests holds DigestSize bytes for each element of versions.
	digests []byte
	// floor is the highest version whose change may have been dropped from the record.
	floor uint64
}

// HasAccepted reports whether the record contains an accepted configuration change
// with this digest, of which the first DigestSize bytes are compared. digest must
// not be shorter.
func (t *Table) HasAccepted(digest []byte) bool { return t.accepted.has(digest[:DigestSize]) }

// AcceptedFloor returns the version up to which, inclusive, accepted changes may
// have been dropped from the record, so that HasAccepted does not recognize them. It
// is 0 if none was dropped.
func (t *Table) AcceptedFloor() uint64 { return t.accepted.floor }

func (a *acceptedChanges) has(digest []byte) bool {
	for remaining := a.digests; len(remaining) >= DigestSize; remaining = remaining[DigestSize:] {
		if bytes.Equal(remaining[:DigestSize], digest) {
			return true
		}
	}
	return false
}

// add records a change, and drops the oldest one if the record is full. It ignores
// a change whose version is not above the newest recorded one.
func (a *acceptedChanges) add(c *meshpb.AcceptedChange) {
	n := len(a.versions)
	if len(c.GetDigest()) < DigestSize || n > 0 && c.Version <= a.versions[n-1] {
		return
	}
	a.versions = append(a.versions, c.Version)
	a.digests = append(a.digests, c.Digest[:DigestSize]...)
	if excess := n + 1 - MaxAcceptedChanges; excess > 0 {
		a.floor = a.versions[excess-1]
		a.versions = a.versions[excess:]
		a.digests = a.digests[excess*DigestSize:]
	}
}

// snapshot writes the record to state.
func (a *acceptedChanges) snapshot(state *meshpb.ShardState) {
	state.AcceptedFloor = a.floor
	state.AcceptedVersions = slices.Clip(a.versions)
	state.AcceptedDigests = slices.Clip(a.digests)
}

// restore reads the record from state. It ignores a list of digests whose length
// does not match the versions.
func (a *acceptedChanges) restore(state *meshpb.ShardState) {
	a.floor = state.AcceptedFloor
	if len(state.AcceptedVersions)*DigestSize == len(state.AcceptedDigests) {
		a.versions = slices.Clip(state.AcceptedVersions)
		a.digests = slices.Clip(state.AcceptedDigests)
	}
}

// addLegacy adds the changes that a release before the previous one recorded
// inside the configuration. It ignores blobs other than ConfigBlob.
func (a *acceptedChanges) addLegacy(b *meshpb.Blob) {
	if b.Name != ConfigBlob {
		return
	}
	var legacy meshpb.LegacyAcceptedChanges
	if (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b.Data, &legacy) != nil {
		return
	}
	if len(legacy.Accepted) >= maxLegacyAccepted && len(a.versions) == 0 {
		a.floor = legacy.Accepted[0].Version - 1
	}
	for _, c := range legacy.Accepted {
		a.add(c)
	}
}
