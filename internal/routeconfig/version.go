package routeconfig

import (
	"strconv"
	"strings"
)

// versionPrefix is the prefix of a version in text form, such as r12.
const versionPrefix = "r"

// ParseVersion parses a version such as r12. It also accepts a version in quotes or
// without the prefix, because headers may contain these forms. It returns an error of
// class Error if the text is not a version.
func ParseVersion(text string) (uint64, error) {
	digits := strings.TrimPrefix(strings.Trim(strings.TrimSpace(text), `"`), versionPrefix)
	version, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, Error.New("%q is not a %s such as r12", text, keyVersion)
	}
	return version, nil
}

// FormatVersion returns the text form of a version, such as r12.
func FormatVersion(version uint64) string {
	return versionPrefix + strconv.FormatUint(version, 10)
}
