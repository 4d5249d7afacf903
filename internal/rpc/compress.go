package rpc

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("rpc")

// ErrTooLarge is the error of Unpack for data of more than maxUnpacked bytes.
var ErrTooLarge = errors.New("unpacked data too large")

// maxUnpacked is the largest size in bytes that Unpack returns: no message comes
// near it, and a corrupt one must not use up the memory.
const maxUnpacked = 64 << 20

// Pack compresses data (DEFLATE, RFC 1951) that goes to many nodes alike.
func Pack(data []byte) []byte {
	var packed bytes.Buffer
	// A bytes.Buffer never fails, and the level is valid.
	writer, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = writer.Write(data)
	_ = writer.Close()
	return packed.Bytes()
}

// Unpack returns the data that Pack compressed. It fails with the class Error:
// with ErrTooLarge, or with the decompressor's error for data that Pack did not
// write.
func Unpack(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = reader.Close() }()
	data, err := io.ReadAll(io.LimitReader(reader, maxUnpacked+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) > maxUnpacked {
		return nil, Error.Wrap(ErrTooLarge)
	}
	return data, nil
}
