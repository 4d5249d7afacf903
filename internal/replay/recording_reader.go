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

// maxSectionBytes bounds the payload of one section, so that a damaged length
// does not make the reader allocate without limit.
const maxSectionBytes = 256 << 20

// readBufferBytes is the size of the buffer that a recording is read through.
const readBufferBytes = 1 << 20

// sectionHeaderBytes is the size of a section's kind and length.
const sectionHeaderBytes = 1 + 4

// errTruncated tells that a file ends before its checksum.
var errTruncated = Error.New("the file is cut short")

// wrapReadError turns an end of file in the midst of a recording into
// errTruncated.
func wrapReadError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTruncated
	}
	return Error.Wrap(err)
}

// ReadFile reads a recording from the named file.
func ReadFile(path string) (*meshpb.ReplayFile, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = f.Close() }() // nothing was written
	recording, err := ReadFrom(bufio.NewReaderSize(f, readBufferBytes))
	if err != nil {
		return nil, Error.New("%s: %w", path, errors.Unwrap(err))
	}
	return recording, nil
}

// ReadFrom reads a recording section by section and verifies its checksum and
// its counts. It refuses a recording without a request.
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

func readMagic(in io.Reader) error {
	magic := make([]byte, len(fileMagic))
	n, err := io.ReadFull(in, magic)
	switch {
	case err != nil && bytes.HasPrefix([]byte(fileMagic), magic[:n]):
		return errTruncated
	case !bytes.HasPrefix(magic, []byte(fileMagicPrefix)):
		return Error.New("this is no file of `corkcove replay save`")
	case string(magic) != fileMagic:
		return Error.New("the file is of another version of corkcove's record")
	}
	return nil
}

// readSection reads one section into the recording, or into the trailer if it is
// the last one.
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
		return 0, Error.New("the file was changed: %v", err)
	}
	return kind, nil
}

func readPayload(in io.Reader) (sectionKind, []byte, error) {
	var header [sectionHeaderBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, nil, wrapReadError(err)
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > maxSectionBytes {
		return 0, nil, Error.New("the file was changed: a part of %d bytes", size)
	}
	var packed bytes.Buffer
	if _, err := io.CopyN(&packed, in, int64(size)); err != nil {
		return 0, nil, wrapReadError(err)
	}
	payload, err := rpc.Decompress(packed.Bytes())
	if err != nil {
		return 0, nil, Error.New("the file was changed: a part can't be unpacked: %v", err)
	}
	return sectionKind(header[0]), payload, nil
}

// addSection returns the message that a section of this kind is decoded into,
// after it was appended to the recording.
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
	return nil, Error.New("the file was changed: a part of kind %d", kind)
}

func verifyChecksum(in io.Reader, want []byte) error {
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(in, got); err != nil {
		return wrapReadError(err)
	}
	if !bytes.Equal(want, got) {
		return Error.New("the file was changed: its checksum is wrong")
	}
	return nil
}

func verifyCounts(recording *meshpb.ReplayFile, trailer *meshpb.ReplayTrailer) error {
	records := uint64(0)
	for _, node := range recording.Nodes {
		records += uint64(len(node.Records))
	}
	if uint32(len(recording.Nodes)) != trailer.Nodes || records != trailer.Records {
		return Error.New("the file was changed: it has %d nodes and %d requests where its tail names %d and %d", len(recording.Nodes), records, trailer.Nodes, trailer.Records)
	}
	if records == 0 {
		return Error.New("the record is empty: no node carried a request in its span, or none keeps a record")
	}
	return nil
}
