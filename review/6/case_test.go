package main

import (
	"os"
	"os/exec"
	"testing"
)

// TestReviewCase6 shows case 6: uploads of clients that have left reach the endpoint. It
// runs only with CORKCOVE_REVIEW=1, after the build of the deploy file and
// review/build-2.sh.
func TestReviewCase6(t *testing.T) {
	if os.Getenv("CORKCOVE_REVIEW") != "1" {
		t.Skip("CORKCOVE_REVIEW is not 1")
	}
	if output, err := exec.Command("sh", "run.sh").CombinedOutput(); err != nil {
		t.Fatalf("review/6/run.sh: %v\n%s", err, output)
	}
}
