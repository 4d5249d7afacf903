package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// RunScript builds the programs and plays the script of a case; the test fails if the
// rule was broken. Unless CORKCOVE_REVIEW=1 is set, the test is skipped.
func RunScript(t *testing.T, folder string) {
	t.Helper()
	if os.Getenv("CORKCOVE_REVIEW") != "1" {
		t.Skip("a case under review; CORKCOVE_REVIEW=1 shows it")
	}
	root := filepath.Join("..", "..")
	for _, command := range [][]string{
		{"go", "build", "-ldflags=-linkmode=external", "-o", "target/", "./cmd/..."},
		{"sh", "review/build.sh"},
		{"sh", filepath.Join(folder, "run.sh")},
	} {
		cmd := exec.Command(command[0], command[1:]...)
		cmd.Dir = root
		output, err := cmd.CombinedOutput()
		t.Logf("%v: %s", command, output)
		if err != nil {
			t.Fatalf("%v: %v", command, err)
		}
	}
}
