// Package replay plays carried traffic again under other rules, through the
// code that decides for live requests, and tells what would become of each
// request.
package replay

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	gohash "hash"
	"io"
	"os"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

var Error = errs.Class("replay")

const (
	magic   = "corkcove replay 2\n"
	version = 2
)

// The parts of a file: a kind, a length, the packed message. The tail comes
// last, with the checksum of all before it.
const (
	partNode byte = iota + 1
	partView
	partConfig
	partTail
)

const mostPart = 256 << 20

// Writer writes a record part by part, so that no more than one node's need be
// in memory.
type Writer struct {
	w       io.Writer
	sum     gohash.Hash
	nodes   uint32
	tickets uint64
}

func NewWriter(w io.Writer) (*Writer, error) {
	x := &Writer{w: w, sum: sha256.New()}
	return x, x.put([]byte(magic))
}

func (w *Writer) put(b []byte) error {
	w.sum.Write(b)
	_, err := w.w.Write(b)
	return Error.Wrap(err)
}

func (w *Writer) part(kind byte, m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return Error.Wrap(err)
	}
	p := rpc.Pack(b)
	if err := w.put(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(p)))); err != nil {
		return err
	}
	return w.put(p)
}

func (w *Writer) WriteNode(n *meshpb.RequestRecordsResponse) error {
	w.nodes++
	w.tickets += uint64(len(n.Records))
	return w.part(partNode, n)
}

func (w *Writer) WriteView(v *meshpb.View) error { return w.part(partView, v) }

func (w *Writer) WriteConfig(d *meshpb.ConfigSnapshot) error { return w.part(partConfig, d) }

// Close writes the tail; a file without one is cut short.
func (w *Writer) Close(t *meshpb.ReplayTrailer) error {
	t.Nodes, t.Records = w.nodes, w.tickets
	if err := w.part(partTail, t); err != nil {
		return err
	}
	_, err := w.w.Write(w.sum.Sum(nil))
	return Error.Wrap(err)
}

// Write writes a whole record.
func Write(w io.Writer, c *meshpb.ReplayFile) error {
	x, err := NewWriter(w)
	if err != nil {
		return err
	}
	for _, n := range c.Nodes {
		err = errors.Join(err, x.WriteNode(n))
	}
	for _, v := range c.Views {
		err = errors.Join(err, x.WriteView(v))
	}
	for _, d := range c.Configs {
		err = errors.Join(err, x.WriteConfig(d))
	}
	return errors.Join(err, x.Close(&meshpb.ReplayTrailer{CreatedUs: c.CreatedUs, SpanUs: c.SpanUs, Unreachable: c.Unreachable}))
}

var errCut = Error.New("the file is cut short")

func cut(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errCut
	}
	return Error.Wrap(err)
}

// ReadFrom reads a record part by part.
func ReadFrom(r io.Reader) (*meshpb.ReplayFile, error) {
	sum := sha256.New()
	in := io.TeeReader(r, sum)
	head := make([]byte, len(magic))
	n, err := io.ReadFull(in, head)
	switch {
	case err != nil && bytes.HasPrefix([]byte(magic), head[:n]):
		return nil, errCut
	case !bytes.HasPrefix(head, []byte("corkcove replay ")):
		return nil, Error.New("this is no file of `corkcove replay save`")
	case string(head) != magic:
		return nil, Error.New("the file is of another version of corkcove's record")
	}
	c := &meshpb.ReplayFile{Version: version}
	t := &meshpb.ReplayTrailer{}
	for kind := byte(0); kind != partTail; {
		if kind, err = readPart(in, c, t); err != nil {
			return nil, err
		}
	}
	want := sum.Sum(nil)
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(r, got); err != nil {
		return nil, cut(err)
	}
	if !bytes.Equal(want, got) {
		return nil, Error.New("the file was changed: its checksum is wrong")
	}
	tickets := uint64(0)
	for _, x := range c.Nodes {
		tickets += uint64(len(x.Records))
	}
	if uint32(len(c.Nodes)) != t.Nodes || tickets != t.Records {
		return nil, Error.New("the file was changed: it has %d nodes and %d requests where its tail names %d and %d", len(c.Nodes), tickets, t.Nodes, t.Records)
	}
	c.CreatedUs, c.SpanUs, c.Unreachable = t.CreatedUs, t.SpanUs, t.Unreachable
	if tickets == 0 {
		return nil, Error.New("the record is empty: no node carried a request in its span, or none keeps a record")
	}
	return c, nil
}

func readPart(in io.Reader, c *meshpb.ReplayFile, t *meshpb.ReplayTrailer) (byte, error) {
	var h [5]byte
	if _, err := io.ReadFull(in, h[:]); err != nil {
		return 0, cut(err)
	}
	size := binary.BigEndian.Uint32(h[1:])
	if size > mostPart {
		return 0, Error.New("the file was changed: a part of %d bytes", size)
	}
	var p bytes.Buffer
	if _, err := io.CopyN(&p, in, int64(size)); err != nil {
		return 0, cut(err)
	}
	b, err := rpc.Unpack(p.Bytes())
	if err != nil {
		return 0, Error.New("the file was changed: a part can't be unpacked: %v", err)
	}
	var m proto.Message
	switch h[0] {
	case partNode:
		x := &meshpb.RequestRecordsResponse{}
		c.Nodes, m = append(c.Nodes, x), x
	case partView:
		x := &meshpb.View{}
		c.Views, m = append(c.Views, x), x
	case partConfig:
		x := &meshpb.ConfigSnapshot{}
		c.Configs, m = append(c.Configs, x), x
	case partTail:
		m = t
	default:
		return 0, Error.New("the file was changed: a part of kind %d", h[0])
	}
	if err := proto.Unmarshal(b, m); err != nil {
		return 0, Error.New("the file was changed: %v", err)
	}
	return h[0], nil
}

func Parse(b []byte) (*meshpb.ReplayFile, error) { return ReadFrom(bytes.NewReader(b)) }

func ReadFile(path string) (*meshpb.ReplayFile, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer f.Close()
	c, err := ReadFrom(bufio.NewReaderSize(f, 1<<20))
	if err != nil {
		return nil, Error.New("%s: %v", path, errs.Unwrap(err))
	}
	return c, nil
}
