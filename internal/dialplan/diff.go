package dialplan

import (
	"bytes"

	"github.com/go-faster/jx"
)

type part struct{ variant, name string }

func parts(b []byte) (stamp uint64, order []part, raws map[part]jx.Raw, err error) {
	raws = map[part]jx.Raw{}
	err = jx.DecodeBytes(b).Obj(func(d *jx.Decoder, k string) error {
		switch k {
		case "stamp":
			return readStamp(d, &stamp)
		case "resourceList":
			return d.Arr(func(d *jx.Decoder) error {
				r, err := d.Raw()
				if err != nil {
					return err
				}
				var p part
				if err := jx.DecodeBytes(r).Obj(func(d *jx.Decoder, k string) error {
					switch k {
					case "variant":
						return text(d, &p.variant)
					case "metadata":
						return d.Obj(func(d *jx.Decoder, k string) error {
							if k == "name" {
								return text(d, &p.name)
							}
							return d.Skip()
						})
					}
					return d.Skip()
				}); err != nil {
					return err
				}
				order = append(order, p)
				raws[p] = r
				return nil
			})
		}
		return d.Skip()
	})
	return stamp, order, raws, err
}

// Diff writes the patch that leads from one whole configuration to another, and
// tells the stamp it stands on. Both have been read and checked before.
func Diff(old, next []byte) (base uint64, patch []byte, err error) {
	base, was, had, err := parts(old)
	if err != nil {
		return 0, nil, Error.Wrap(err)
	}
	stamp, order, raws, err := parts(next)
	if err != nil {
		return 0, nil, Error.Wrap(err)
	}
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("stamp")
	e.Str(FormatStamp(stamp))
	e.FieldStart("upserts")
	e.ObjStart()
	e.FieldStart("resourceList")
	e.ArrStart()
	for _, p := range order {
		if o, ok := had[p]; !ok || !bytes.Equal(o, raws[p]) {
			e.Raw(raws[p])
		}
	}
	e.ArrEnd()
	e.ObjEnd()
	e.FieldStart("removals")
	e.ObjStart()
	for _, v := range []string{varBinding, varService, varLimits} {
		e.FieldStart(v)
		e.ArrStart()
		for _, p := range was {
			if _, ok := raws[p]; !ok && p.variant == v {
				e.Str(p.name)
			}
		}
		e.ArrEnd()
	}
	e.ObjEnd()
	e.ObjEnd()
	return base, append([]byte(nil), e.Bytes()...), nil
}
