package rpc

import (
	"bytes"
	"compress/flate"
	"io"
)

const mostUnpacked = 64 << 20

// Pack deflates what goes to many nodes alike.
func Pack(b []byte) []byte {
	var w bytes.Buffer
	f, _ := flate.NewWriter(&w, flate.BestSpeed)
	f.Write(b)
	f.Close()
	return w.Bytes()
}

func Unpack(b []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(b))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, mostUnpacked+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(out) > mostUnpacked {
		return nil, Error.New("more than %d bytes once unpacked", mostUnpacked)
	}
	return out, nil
}
