package affinity

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// sessionKeyBytes is how many leading bytes of the SHA-256 hash form a session key.
const sessionKeyBytes = 12

// SessionKey returns the key that identifies a session in the control state and
// in reports: the hexadecimal form of a hash, so that the value that clients send
// is not disclosed. The source says where the value comes from, such as a header.
func SessionKey(source, value string) string {
	hash := sha256.Sum256([]byte(source + "\x00" + value))
	return hex.EncodeToString(hash[:sessionKeyBytes])
}

// HashFraction maps a session key to a number in [0, 1), the same at every node.
// It selects one of several weighted services for the session.
func HashFraction(key string) float64 {
	const mantissaBits = 53
	return float64(xxhash.Sum64String("draw "+key)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// RendezvousEndpoint returns the ID of the endpoint for a new session, chosen by
// rendezvous hashing, or the empty string if there are no endpoints.
func RendezvousEndpoint(key string, endpoints []string) string {
	best, bestHash := "", uint64(0)
	for _, id := range endpoints {
		hash := xxhash.Sum64String(key + " " + id)
		if best == "" || hash > bestHash || hash == bestHash && id < best {
			best, bestHash = id, hash
		}
	}
	return best
}
