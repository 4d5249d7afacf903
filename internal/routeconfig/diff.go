package routeconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/go-faster/jx"
)

// Since writes the patch that leads from an older configuration to this one.
func (c Config) PatchFrom(old Config) []byte {
	type part struct{ variant, name string }
	had := make(map[part]jx.Raw, len(old.Resources))
	for _, it := range old.Resources {
		had[part{it.Variant, it.Name}] = it.Raw
	}
	has := make(map[part]bool, len(c.Resources))
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("stamp")
	e.Str(FormatVersion(c.Version))
	e.FieldStart("upserts")
	e.ObjStart()
	e.FieldStart("resourceList")
	e.ArrStart()
	for _, it := range c.Resources {
		p := part{it.Variant, it.Name}
		has[p] = true
		if o, ok := had[p]; !ok || !bytes.Equal(o, it.Raw) {
			e.Raw(it.Raw)
		}
	}
	e.ArrEnd()
	e.ObjEnd()
	e.FieldStart("removals")
	e.ObjStart()
	for _, v := range []string{varBinding, varService, varLimits} {
		e.FieldStart(v)
		e.ArrStart()
		for _, it := range old.Resources {
			if it.Variant == v && !has[part{v, it.Name}] {
				e.Str(it.Name)
			}
		}
		e.ArrEnd()
	}
	e.ObjEnd()
	e.ObjEnd()
	return append([]byte(nil), e.Bytes()...)
}

// Sum tells configurations apart by their content, whatever their version and the
// order of their entries.
func (c Config) ContentDigest() string {
	var all [][]byte
	for _, it := range c.Resources {
		var b bytes.Buffer
		if json.Compact(&b, it.Raw) != nil {
			b.Write(it.Raw)
		}
		all = append(all, b.Bytes())
	}
	slices.SortFunc(all, bytes.Compare)
	h := sha256.New()
	for _, b := range all {
		h.Write(b)
		h.Write([]byte{'\n'})
	}
	return hex.EncodeToString(h.Sum(nil))
}
