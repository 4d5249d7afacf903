// Package replay plays carried traffic again under other rules, through the
// code that decides for live requests, and tells what would become of each
// request.
package replay

import (
	"bytes"
	"crypto/sha256"
	"io"
	"os"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/trunk"
)

var Error = errs.Class("replay")

const (
	magic   = "corkcove replay 1\n"
	version = 1
)

// Write puts the magic line, the checksum of the rest, and the packed content.
func Write(w io.Writer, c *trunk.Carried) error {
	c.Version = version
	b, err := proto.Marshal(c)
	if err != nil {
		return Error.Wrap(err)
	}
	p := trunk.Pack(b)
	sum := sha256.Sum256(p)
	for _, x := range [][]byte{[]byte(magic), sum[:], p} {
		if _, err := w.Write(x); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func Parse(b []byte) (*trunk.Carried, error) {
	rest, ok := bytes.CutPrefix(b, []byte(magic))
	switch {
	case !ok && bytes.HasPrefix(b, []byte("corkcove replay ")):
		return nil, Error.New("the file is of another version of corkcove's record")
	case !ok && bytes.HasPrefix([]byte(magic), b):
		return nil, Error.New("the file is cut short")
	case !ok:
		return nil, Error.New("this is no file of `corkcove replay save`")
	case len(rest) < sha256.Size:
		return nil, Error.New("the file is cut short")
	}
	if sum := sha256.Sum256(rest[sha256.Size:]); !bytes.Equal(sum[:], rest[:sha256.Size]) {
		return nil, Error.New("the file is cut short or changed: its checksum is wrong")
	}
	x, err := trunk.Unpack(rest[sha256.Size:])
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &trunk.Carried{}
	if err := proto.Unmarshal(x, c); err != nil {
		return nil, Error.Wrap(err)
	}
	if c.Version != version {
		return nil, Error.New("version %d is not known", c.Version)
	}
	n := 0
	for _, r := range c.Nodes {
		n += len(r.Tickets)
	}
	if n == 0 {
		return nil, Error.New("the record is empty: no node carried a request in its span, or none keeps a record")
	}
	return c, nil
}

func Read(path string) (*trunk.Carried, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return Parse(b)
}
