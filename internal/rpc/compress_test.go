package rpc

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDecompressRejectsTruncatedData(t *testing.T) {
	original := strings.Repeat("bindingList", 1000)
	compressed := Compress([]byte(original))
	qt.Assert(t, len(compressed) < len(original)/10, qt.IsTrue)
	decompressed, err := Decompress(compressed)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(decompressed), qt.Equals, original)
	_, err = Decompress(compressed[:len(compressed)/2])
	qt.Assert(t, err, qt.IsNotNil)
}
