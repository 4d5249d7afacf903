package nodeagent

import "github.com/cespare/xxhash/v2"

// maxPatchHistory is the maximum number of patches in a patchHistory. It is far more
// than a master resends while responses are delayed.
const maxPatchHistory = 64

// patchHistory records the patches applied since the last complete configuration, so
// that a delivery whose first patches have already been applied is accepted. Such
// deliveries come over slow links: an earlier delivery arrives after its call has
// timed out at the sender, which therefore sends the same patches again.
type patchHistory struct {
	// digests are the hashes of the applied patches, oldest first.
	digests []uint64
	// positions maps each version that was active to the number of patches applied
	// up to it.
	positions map[uint64]int
}

// reset clears the history, which then starts from the given version.
func (h *patchHistory) reset(version uint64) {
	h.digests = nil
	h.positions = map[uint64]int{version: 0}
}

// add appends the patches that led to a version. If that would exceed
// maxPatchHistory, it resets the history to that version.
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

// unapplied takes patches that start from version base and returns those that have
// not been applied yet. It returns false if base is unknown, if the patches differ
// from those applied since base, or if none is new.
func (h *patchHistory) unapplied(base uint64, patches [][]byte) ([][]byte, bool) {
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
