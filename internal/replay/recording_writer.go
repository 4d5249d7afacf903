package replay

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"

	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

// A recording file consists of the magic line, the sections, and the SHA-256
// checksum of everything before it. A section consists of a kind byte, the payload
// length as a big-endian uint32, and the payload, a compressed protobuf message. The
// last section is the trailer.
const (
	fileMagic       = "corkcove replay 2\n"
	fileMagicPrefix = "corkcove replay "
	formatVersion   = 2
)

// sectionKind identifies the type of message in a section.
type sectionKind byte

const (
	sectionNode    sectionKind = iota + 1 // meshpb.RequestRecordsResponse
	sectionView                           // meshpb.View
	sectionConfig                         // meshpb.ConfigSnapshot
	sectionTrailer                        // meshpb.ReplayTrailer
)

// Writer writes a recording section by section, so that the caller needs to hold
// the records of only one node in memory at a time. Its errors are of class Error.
type Writer struct {
	out      io.Writer
	checksum hash.Hash
	nodes    uint32
	records  uint64
}

// NewWriter writes the magic line to out and returns a Writer for the sections. The
// caller must call Close, because ReadFrom rejects a file without a trailer.
func NewWriter(out io.Writer) (*Writer, error) {
	w := &Writer{out: out, checksum: sha256.New()}
	return w, w.write([]byte(fileMagic))
}

// write writes b and adds it to the checksum.
func (w *Writer) write(b []byte) error {
	w.checksum.Write(b)
	_, err := w.out.Write(b)
	return Error.Wrap(err)
}

// writeSection writes message as a section of the given kind.
func (w *Writer) writeSection(kind sectionKind, message proto.Message) error {
	b, err := proto.Marshal(message)
	if err != nil {
		return Error.Wrap(err)
	}
	payload := rpc.Compress(b)
	header := binary.BigEndian.AppendUint32([]byte{byte(kind)}, uint32(len(payload)))
	if err := w.write(header); err != nil {
		return err
	}
	return w.write(payload)
}

// WriteNode appends the request records of one node.
func (w *Writer) WriteNode(node *meshpb.RequestRecordsResponse) error {
	w.nodes++
	w.records += uint64(len(node.Records))
	return w.writeSection(sectionNode, node)
}

// WriteView appends a view that was active on at least one node.
func (w *Writer) WriteView(view *meshpb.View) error { return w.writeSection(sectionView, view) }

// WriteConfig appends a configuration that was active on at least one node.
func (w *Writer) WriteConfig(config *meshpb.ConfigSnapshot) error {
	return w.writeSection(sectionConfig, config)
}

// Close sets the node and record counts in trailer, then writes the trailer and the
// checksum. It does not close the underlying writer.
func (w *Writer) Close(trailer *meshpb.ReplayTrailer) error {
	trailer.Nodes, trailer.Records = w.nodes, w.records
	if err := w.writeSection(sectionTrailer, trailer); err != nil {
		return err
	}
	_, err := w.out.Write(w.checksum.Sum(nil))
	return Error.Wrap(err)
}
