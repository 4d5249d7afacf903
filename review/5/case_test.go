package main

import (
	"os"
	"os/exec"
	"testing"
)

// TestReviewCase5 shows case 5: an endpoint that has signed off gets requests again. It
// runs only with CORKCOVE_REVIEW=1, after the build of the deploy file and
// review/build-2.sh.
func TestReviewCase5(t *testing.T) {
	if os.Getenv("CORKCOVE_REVIEW") != "1" {
		t.Skip("CORKCOVE_REVIEW is not 1")
	}
	if output, err := exec.Command("sh", "run.sh").CombinedOutput(); err != nil {
		t.Fatalf("review/5/run.sh: %v\n%s", err, output)
	}
}
