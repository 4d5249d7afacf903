package coordination

import (
	"bytes"
	"slices"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc/meshpb"
)

const (
	// ConfigBlob holds the configuration in force; an earlier release kept the
	// record of taken orders inside it.
	ConfigBlob = "configuration"
	// MostTaken orders are known when they come again, the newest ones.
	MaxAcceptedChanges = 4096
	// SumSize is how much of an order's sum is kept.
	DigestSize = 16

	mostWithin = 256
)

// taken is the record of orders that were taken, by rising version. It only
// ever grows behind what a dump holds, so dumps share it.
type taken struct {
	versions []uint64
	sums     []byte
	floor    uint64
}

func (k *taken) has(sum []byte) bool {
	for b := k.sums; len(b) >= DigestSize; b = b[DigestSize:] {
		if bytes.Equal(b[:DigestSize], sum) {
			return true
		}
	}
	return false
}

func (k *taken) add(x *meshpb.AcceptedChange) {
	n := len(k.versions)
	if len(x.GetDigest()) < DigestSize || n > 0 && x.Version <= k.versions[n-1] {
		return
	}
	k.versions, k.sums = append(k.versions, x.Version), append(k.sums, x.Digest[:DigestSize]...)
	if n++; n > MaxAcceptedChanges {
		k.floor = k.versions[n-MaxAcceptedChanges-1]
		k.versions, k.sums = k.versions[n-MaxAcceptedChanges:], k.sums[(n-MaxAcceptedChanges)*DigestSize:]
	}
}

func (k *taken) dump(s *meshpb.ShardState) {
	s.AcceptedFloor = k.floor
	s.AcceptedVersions, s.AcceptedDigests = slices.Clip(k.versions), slices.Clip(k.sums)
}

func (k *taken) load(s *meshpb.ShardState) {
	k.floor = s.AcceptedFloor
	if n := len(s.AcceptedVersions); n*DigestSize == len(s.AcceptedDigests) {
		k.versions, k.sums = slices.Clip(s.AcceptedVersions), slices.Clip(s.AcceptedDigests)
	}
}

// read takes in what an earlier release kept inside the configuration.
func (k *taken) read(b *meshpb.Blob) {
	if b.Name != ConfigBlob {
		return
	}
	var x meshpb.LegacyAcceptedChanges
	if (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b.Data, &x) != nil {
		return
	}
	if len(x.Accepted) >= mostWithin && len(k.versions) == 0 {
		k.floor = x.Accepted[0].Version - 1
	}
	for _, o := range x.Accepted {
		k.add(o)
	}
}

// Taken tells whether an order of this sum was taken.
func (t *Table) HasAccepted(sum []byte) bool { return t.taken.has(sum[:DigestSize]) }

// Forgotten is the version up to which taken orders may no longer be known.
func (t *Table) AcceptedFloor() uint64 { return t.taken.floor }
