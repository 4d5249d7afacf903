package replay

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"corkcove/internal/jsontest"
)

// TestJSONKeysOfPreviousReleaseAreKept guards against renamed or removed JSON keys,
// which would break consumers of stored reports. The fixtures were written by the
// previous release from values with every field set.
func TestJSONKeysOfPreviousReleaseAreKept(t *testing.T) {
	for file, v := range map[string]any{
		"report.json":     &Report{},
		"comparison.json": &Comparison{},
		"forecast.json":   &Forecast{},
	} {
		t.Run(file, func(t *testing.T) { jsontest.AssertRoundTrip(t, filepath.Join(storedDir, file), v) })
	}
}

// TestForecastOfPreviousReleaseIsReadAndSavedUnchanged checks that a stored forecast
// can still be read, and that saving it gives the same bytes.
func TestForecastOfPreviousReleaseIsReadAndSavedUnchanged(t *testing.T) {
	stored := filepath.Join(storedDir, "forecast.json")
	f, err := ReadForecast(stored)
	qt.Assert(t, err, qt.IsNil)
	copied := filepath.Join(t.TempDir(), "forecast.json")
	qt.Assert(t, f.Save(copied), qt.IsNil)
	want, err := os.ReadFile(stored)
	qt.Assert(t, err, qt.IsNil)
	got, err := os.ReadFile(copied)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, string(want))
}
