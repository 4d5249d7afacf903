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

// A recording file is the magic line, then sections, then the SHA-256 of all
// before it. A section is one byte of kind, the length of its payload as a
// big-endian uint32, and the payload: a packed protobuf message. The trailer is
// the last section.
const (
	fileMagic       = "corkcove replay 2\n"
	fileMagicPrefix = "corkcove replay "
	formatVersion   = 2
)

// sectionKind tells which message a section holds.
type sectionKind byte

const (
	sectionNode    sectionKind = iota + 1 // meshpb.RequestRecordsResponse
	sectionView                           // meshpb.View
	sectionConfig                         // meshpb.ConfigSnapshot
	sectionTrailer                        // meshpb.ReplayTrailer
)

// Writer writes a recording section by section, so that no more than one node's
// records need to be in memory.
type Writer struct {
	out      io.Writer
	checksum hash.Hash
	nodes    uint32
	records  uint64
}

// NewWriter writes the file's magic line to out and returns a Writer for the
// sections. The caller must call Close; a file without a trailer is refused.
func NewWriter(out io.Writer) (*Writer, error) {
	w := &Writer{out: out, checksum: sha256.New()}
	return w, w.write([]byte(fileMagic))
}

func (w *Writer) write(b []byte) error {
	w.checksum.Write(b)
	_, err := w.out.Write(b)
	return Error.Wrap(err)
}

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

// WriteNode appends one node's request records.
func (w *Writer) WriteNode(node *meshpb.RequestRecordsResponse) error {
	w.nodes++
	w.records += uint64(len(node.Records))
	return w.writeSection(sectionNode, node)
}

// WriteView appends a view that some node had in force.
func (w *Writer) WriteView(view *meshpb.View) error { return w.writeSection(sectionView, view) }

// WriteConfig appends a configuration that some node had in force.
func (w *Writer) WriteConfig(config *meshpb.ConfigSnapshot) error {
	return w.writeSection(sectionConfig, config)
}

// Close appends the trailer, with the counts of nodes and records filled in, and
// the checksum. It does not close the underlying writer.
func (w *Writer) Close(trailer *meshpb.ReplayTrailer) error {
	trailer.Nodes, trailer.Records = w.nodes, w.records
	if err := w.writeSection(sectionTrailer, trailer); err != nil {
		return err
	}
	_, err := w.out.Write(w.checksum.Sum(nil))
	return Error.Wrap(err)
}
