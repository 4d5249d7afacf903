package main

import (
	"testing"

	"corkcove/review/harness"
)

func TestReviewCase3(t *testing.T) { harness.RunScript(t, "review/3") }
