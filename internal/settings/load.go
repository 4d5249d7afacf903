package settings

import (
	"errors"
	"io/fs"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

const (
	// PathVariable is the environment variable that holds the path of the settings
	// file.
	PathVariable = "CORKCOVE_CONFIG"

	defaultPath = "/etc/corkcove/settings.toml"
)

// Path returns the path of the settings file: the value of PathVariable, or
// /etc/corkcove/settings.toml if it is unset or empty.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return defaultPath
}

// Load reads the settings file at path and validates it for role; see
// Options.Validate. It fails with class Error if the file cannot be read or
// parsed, or if the settings are invalid.
func Load(path, role string) (Options, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Options{}, Error.New("settings file %s does not exist; set %s to its path", path, PathVariable)
	}
	if err != nil {
		return Options{}, Error.Wrap(err)
	}
	return Parse(data, role)
}

// Parse is like Load for the content of a settings file.
func Parse(data []byte, role string) (Options, error) {
	options := defaultOptions()
	if err := toml.Unmarshal(data, &options); err != nil {
		return Options{}, decodeError(err)
	}
	return options, options.Validate(role)
}

// decodeError adds the line, column and field to a TOML error where they are
// known.
func decodeError(err error) error {
	var located *toml.DecodeError
	if !errors.As(err, &located) {
		return Error.Wrap(err)
	}
	line, column := located.Position()
	return Error.New("line %d, column %d: field %s: %v", line, column, strings.Join(located.Key(), "."), located)
}

// defaultOptions returns the settings that an empty file yields.
func defaultOptions() Options {
	return Options{
		Affinity:   Affinity{IdleSeconds: 600, MaxSessions: 100000},
		HotKeys:    DefaultHotKeys(),
		RequestLog: RequestLog{MaxRequests: 4096, RetentionSeconds: 120},
		Platform: Platform{
			HeartbeatSeconds: 1.5, Discovery: SourceHeartbeats, ClientEntry: EntryLocal,
			Cloud: CloudAPI{RequestsPerSecond: 10, MaxLagSeconds: 1},
		},
		Requirements: Requirements{Bounds: defaultBounds()},
	}
}

// DefaultHotKeys returns the hot-key settings that apply to fields missing from
// the file.
func DefaultHotKeys() HotKeys {
	return HotKeys{SlotShare: 0.4, MaxKeys: 64, MaxEndpoints: 32, DecaySeconds: 5, SlowStartSeconds: 2}
}

func defaultBounds() Bounds {
	return Bounds{
		SeedLagSeconds:              3,
		ReuseAfterSeconds:           2,
		MinUndisturbedSeconds:       3,
		AckSeconds:                  4,
		CatchUpSeconds:              4,
		DrainSeconds:                2,
		GraceSeconds:                6,
		LossSlackSeconds:            0.2,
		ConfigApplySeconds:          2,
		RevertSlackSeconds:          0.25,
		ConfigApplyExtensionSeconds: 5,
		RetryRatio:                  0.2,
		RetryWindowSeconds:          10,
		RetrySlack:                  50,
		RecoverySeconds:             15,
		HistorySeconds:              20,
		LockReleaseSeconds:          1.5,
	}
}
