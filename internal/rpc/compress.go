package rpc

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of the errors that this package returns.
var Error = errs.Class("rpc")

// ErrTooLarge is returned by Decompress if the decompressed data exceeds
// maxDecompressedBytes.
var ErrTooLarge = errors.New("decompressed data too large")

// maxDecompressedBytes limits the output of Decompress so that corrupt data cannot
// exhaust memory. No valid message comes near this size.
const maxDecompressedBytes = 64 << 20

// Compress compresses data with DEFLATE (RFC 1951). It is used for data that is
// sent unchanged to many nodes or stored.
func Compress(data []byte) []byte {
	var compressed bytes.Buffer
	// Writes to a bytes.Buffer never fail, and BestSpeed is a valid level.
	writer, _ := flate.NewWriter(&compressed, flate.BestSpeed)
	_, _ = writer.Write(data)
	_ = writer.Close()
	return compressed.Bytes()
}

// Decompress returns the original of data that Compress returned. Its errors are of
// class Error: ErrTooLarge, or the decompressor's error if the data is truncated or
// corrupt.
func Decompress(compressed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	defer func() { _ = reader.Close() }()
	data, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) > maxDecompressedBytes {
		return nil, Error.Wrap(ErrTooLarge)
	}
	return data, nil
}
