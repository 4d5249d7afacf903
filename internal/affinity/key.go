package affinity

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// sessionKeyBytes is how much of its hash names a session.
const sessionKeyBytes = 12

// SessionKey returns the name of a session in the control state and in reports:
// a hash, so that the value that clients send is not shown. Source says where
// the value comes from.
func SessionKey(source, value string) string {
	hash := sha256.Sum256([]byte(source + "\x00" + value))
	return hex.EncodeToString(hash[:sessionKeyBytes])
}

// Position returns a number from 0 to 1 by which a session picks one of several
// weighted services, the same at every node.
func Position(key string) float64 {
	const mantissaBits = 53
	return float64(xxhash.Sum64String("draw "+key)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// Candidate returns the endpoint for a new session, by rendezvous hashing, or
// the empty string if there is none.
func Candidate(key string, endpoints []string) string {
	best, bestHash := "", uint64(0)
	for _, id := range endpoints {
		hash := xxhash.Sum64String(key + " " + id)
		if best == "" || hash > bestHash || hash == bestHash && id < best {
			best, bestHash = id, hash
		}
	}
	return best
}
