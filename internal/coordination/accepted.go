package coordination

import (
	"bytes"
	"slices"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

const (
	// ConfigBlob names the blob that holds the configuration in force.
	ConfigBlob = "configuration"
	// MaxAcceptedChanges is how many accepted configuration changes, the newest
	// ones, are recognized when they are sent again.
	MaxAcceptedChanges = 4096
	// DigestSize is how many bytes of a change's digest are kept.
	DigestSize = 16

	// maxLegacyAccepted is how many changes a release before 242832a recorded
	// inside the configuration; a full record may have lost older ones.
	maxLegacyAccepted = 256
)

// acceptedChanges is the record of accepted configuration changes, by rising
// version. Its slices only ever grow behind what a snapshot holds, so that
// snapshots share them.
type acceptedChanges struct {
	versions []uint64
	// digests holds DigestSize bytes for each version.
	digests []byte
	// floor is the highest version that may have been forgotten.
	floor uint64
}

// HasAccepted tells whether a configuration change of this digest was accepted,
// as far back as the record goes.
func (t *Table) HasAccepted(digest []byte) bool { return t.accepted.has(digest[:DigestSize]) }

// AcceptedFloor is the version up to which accepted changes may have been
// forgotten.
func (t *Table) AcceptedFloor() uint64 { return t.accepted.floor }

func (a *acceptedChanges) has(digest []byte) bool {
	for remaining := a.digests; len(remaining) >= DigestSize; remaining = remaining[DigestSize:] {
		if bytes.Equal(remaining[:DigestSize], digest) {
			return true
		}
	}
	return false
}

// add records a change unless its version is not above the newest one.
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

func (a *acceptedChanges) snapshot(to *meshpb.ShardState) {
	to.AcceptedFloor = a.floor
	to.AcceptedVersions = slices.Clip(a.versions)
	to.AcceptedDigests = slices.Clip(a.digests)
}

func (a *acceptedChanges) restore(from *meshpb.ShardState) {
	a.floor = from.AcceptedFloor
	if len(from.AcceptedVersions)*DigestSize == len(from.AcceptedDigests) {
		a.versions = slices.Clip(from.AcceptedVersions)
		a.digests = slices.Clip(from.AcceptedDigests)
	}
}

// addLegacy takes over what an earlier release recorded inside the
// configuration.
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
