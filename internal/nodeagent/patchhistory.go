package nodeagent

import "github.com/cespare/xxhash/v2"

// maxPatchHistory bounds how many patches are remembered: far more than a master
// sends again while their answers are late.
const maxPatchHistory = 64

// patchHistory remembers which patches were applied since the last complete
// configuration. With it a delivery still counts whose first patches have been
// applied: on a slow link an earlier delivery arrives after its sender stopped
// waiting, so that the sender does not know of it.
type patchHistory struct {
	// digests are those of the patches, in order.
	digests []uint64
	// positions has, for each version that was in force, how many of the patches led
	// to it.
	positions map[uint64]int
}

// reset begins anew with a complete configuration.
func (h *patchHistory) reset(version uint64) {
	h.digests = nil
	h.positions = map[uint64]int{version: 0}
}

// add appends patches that led to a version.
func (h *patchHistory) add(version uint64, patches [][]byte) {
	if len(h.digests)+len(patches) > maxPatchHistory {
		h.reset(version)
		return
	}
	for _, patch := range patches {
		h.digests = append(h.digests, xxhash.Sum64(patch))
	}
	h.positions[version] = len(h.digests)
}

// missing returns those of the patches, which lead on from version base, that have
// not been applied. False means that they don't continue what was applied.
func (h *patchHistory) missing(base uint64, patches [][]byte) ([][]byte, bool) {
	position, known := h.positions[base]
	if !known {
		return nil, false
	}
	applied := h.digests[position:]
	if len(patches) <= len(applied) {
		return nil, false
	}
	for i, digest := range applied {
		if xxhash.Sum64(patches[i]) != digest {
			return nil, false
		}
	}
	return patches[len(applied):], true
}
