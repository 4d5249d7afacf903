package settings

import (
	"errors"
	"io/fs"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

const (
	// PathVariable is the environment variable that names the settings file.
	PathVariable = "CORKCOVE_CONFIG"

	defaultPath = "/etc/corkcove/settings.toml"
)

// Path is the settings file's path.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return defaultPath
}

// Load reads a settings file and checks it for a role; an empty role checks
// what all roles need.
func Load(path, role string) (Options, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Options{}, Error.New("%s: no such file; name the settings file in %s", path, PathVariable)
	}
	if err != nil {
		return Options{}, Error.Wrap(err)
	}
	return Parse(data, role)
}

// Parse is Load for a file's content.
func Parse(data []byte, role string) (Options, error) {
	options := defaults()
	if err := toml.Unmarshal(data, &options); err != nil {
		return Options{}, decodeError(err)
	}
	return options, options.Validate(role)
}

// decodeError says where in the file the error is.
func decodeError(err error) error {
	var located *toml.DecodeError
	if !errors.As(err, &located) {
		return Error.Wrap(err)
	}
	line, column := located.Position()
	return Error.New("line %d, column %d: field %s: %v", line, column, strings.Join(located.Key(), "."), located)
}

// defaults are the settings of an empty file.
func defaults() Options {
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

// DefaultHotKeys holds where the settings give nothing else.
func DefaultHotKeys() HotKeys {
	return HotKeys{SlotShare: 0.4, MaxKeys: 64, MaxEndpoints: 32, DecaySeconds: 5, SlowStartSeconds: 2}
}

func defaultBounds() Bounds {
	return Bounds{
		SeedLagSeconds:     3,
		ReuseAfterSeconds:  2,
		ContactSeconds:     3,
		AckSeconds:         4,
		CatchUpSeconds:     4,
		DrainSeconds:       2,
		GraceSeconds:       6,
		LossSlackSeconds:   0.2,
		ConfigApplySeconds: 2,
		RevertSlackSeconds: 0.25,
		StretchSeconds:     5,
		RetryRatio:         0.2,
		RetryWindowSeconds: 10,
		RetrySlack:         50,
		RecoverSeconds:     15,
		HistorySeconds:     20,
		ReleaseSeconds:     1.5,
	}
}
