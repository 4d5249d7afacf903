package replay

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"os"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// Error is the class of all errors of this package.
var Error = errs.Class("replay")

// maxSectionBytes limits the compressed payload of one section, so that a corrupt
// length field cannot make the reader allocate without bound.
const maxSectionBytes = 256 << 20

// readBufferBytes is the size of the buffered reader that ReadFile uses.
const readBufferBytes = 1 << 20

// sectionHeaderBytes is the size of a section header: the kind and the length.
const sectionHeaderBytes = 1 + 4

// errTruncated is returned for a file that ends before the end of its checksum.
var errTruncated = Error.New("recording is truncated")

// wrapReadError returns errTruncated for an unexpected end of file, and err in
// class Error otherwise.
func wrapReadError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTruncated
	}
	return Error.Wrap(err)
}

// ReadFile reads the recording in the file at path. See ReadFrom for its checks;
// its errors are of class Error.
func ReadFile(path string) (*meshpb.ReplayFile, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = f.Close() }() // opened for reading only
	recording, err := ReadFrom(bufio.NewReaderSize(f, readBufferBytes))
	if err != nil {
		return nil, Error.New("%s: %w", path, errors.Unwrap(err))
	}
	return recording, nil
}

// ReadFrom reads a recording section by section and verifies its checksum and the
// counts in its trailer. It returns an error of class Error if the recording is
// truncated, corrupt, of another format version, or has no requests.
func ReadFrom(in io.Reader) (*meshpb.ReplayFile, error) {
	checksum := sha256.New()
	body := io.TeeReader(in, checksum)
	if err := readMagic(body); err != nil {
		return nil, err
	}
	recording := &meshpb.ReplayFile{Version: formatVersion}
	trailer := &meshpb.ReplayTrailer{}
	for kind := sectionKind(0); kind != sectionTrailer; {
		var err error
		if kind, err = readSection(body, recording, trailer); err != nil {
			return nil, err
		}
	}
	if err := verifyChecksum(in, checksum.Sum(nil)); err != nil {
		return nil, err
	}
	if err := verifyCounts(recording, trailer); err != nil {
		return nil, err
	}
	recording.CreatedUs, recording.SpanUs, recording.Unreachable = trailer.CreatedUs, trailer.SpanUs, trailer.Unreachable
	return recording, nil
}

// readMagic reads the magic line and checks the format version in it.
func readMagic(in io.Reader) error {
	magic := make([]byte, len(fileMagic))
	n, err := io.ReadFull(in, magic)
	switch {
	case err != nil && bytes.HasPrefix([]byte(fileMagic), magic[:n]):
		return errTruncated
	case !bytes.HasPrefix(magic, []byte(fileMagicPrefix)):
		return Error.New("not a recording written by `corkcove replay save`")
	case string(magic) != fileMagic:
		return Error.New("unsupported recording format version %q, expected %q", magic, fileMagic)
	}
	return nil
}

// readSection reads the next section and adds it to recording, or decodes it into
// trailer if it is the last section.
func readSection(in io.Reader, recording *meshpb.ReplayFile, trailer *meshpb.ReplayTrailer) (sectionKind, error) {
	kind, payload, err := readPayload(in)
	if err != nil {
		return 0, err
	}
	message, err := addSection(kind, recording, trailer)
	if err != nil {
		return 0, err
	}
	if err := proto.Unmarshal(payload, message); err != nil {
		return 0, Error.New("recording is corrupt: decoding section of kind %d: %v", kind, err)
	}
	return kind, nil
}

// readPayload reads the next section and returns its kind and its decompressed
// payload.
func readPayload(in io.Reader) (sectionKind, []byte, error) {
	var header [sectionHeaderBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, nil, wrapReadError(err)
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > maxSectionBytes {
		return 0, nil, Error.New("recording is corrupt: section of %d bytes exceeds the limit of %d", size, maxSectionBytes)
	}
	var compressed bytes.Buffer
	if _, err := io.CopyN(&compressed, in, int64(size)); err != nil {
		return 0, nil, wrapReadError(err)
	}
	payload, err := rpc.Decompress(compressed.Bytes())
	if err != nil {
		return 0, nil, Error.New("recording is corrupt: decompressing section: %v", err)
	}
	return sectionKind(header[0]), payload, nil
}

// addSection returns the message to decode a section of the given kind into: a new
// message that it appends to recording, or trailer.
func addSection(kind sectionKind, recording *meshpb.ReplayFile, trailer *meshpb.ReplayTrailer) (proto.Message, error) {
	switch kind {
	case sectionNode:
		node := &meshpb.RequestRecordsResponse{}
		recording.Nodes = append(recording.Nodes, node)
		return node, nil
	case sectionView:
		view := &meshpb.View{}
		recording.Views = append(recording.Views, view)
		return view, nil
	case sectionConfig:
		config := &meshpb.ConfigSnapshot{}
		recording.Configs = append(recording.Configs, config)
		return config, nil
	case sectionTrailer:
		return trailer, nil
	}
	return nil, Error.New("recording is corrupt: unknown section kind %d", kind)
}

// verifyChecksum reads the stored checksum from in and compares it with want.
func verifyChecksum(in io.Reader, want []byte) error {
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(in, got); err != nil {
		return wrapReadError(err)
	}
	if !bytes.Equal(want, got) {
		return Error.New("recording is corrupt: checksum mismatch")
	}
	return nil
}

// verifyCounts compares the numbers of nodes and requests in recording with those in
// trailer, and returns an error if there are no requests.
func verifyCounts(recording *meshpb.ReplayFile, trailer *meshpb.ReplayTrailer) error {
	records := uint64(0)
	for _, node := range recording.Nodes {
		records += uint64(len(node.Records))
	}
	if uint32(len(recording.Nodes)) != trailer.Nodes || records != trailer.Records {
		return Error.New("recording is corrupt: it has %d nodes and %d requests, but its trailer says %d and %d", len(recording.Nodes), records, trailer.Nodes, trailer.Records)
	}
	if records == 0 {
		return Error.New("recording is empty: no node forwarded a request in the time span, or request recording is off on all nodes")
	}
	return nil
}
