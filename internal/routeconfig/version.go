package routeconfig

import (
	"strconv"
	"strings"
)

// versionPrefix begins a version's text, as in r12.
const versionPrefix = "r"

// ParseVersion reads a version such as r12. It also takes one in quotes and one
// without the prefix, as headers may have it.
func ParseVersion(text string) (uint64, error) {
	digits := strings.TrimPrefix(strings.Trim(strings.TrimSpace(text), `"`), versionPrefix)
	version, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, Error.New("%q is no %s such as r12", text, keyVersion)
	}
	return version, nil
}

// FormatVersion writes a version as ParseVersion reads it.
func FormatVersion(version uint64) string {
	return versionPrefix + strconv.FormatUint(version, 10)
}
