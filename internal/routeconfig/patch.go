package routeconfig

import (
	"bytes"
	"slices"

	"github.com/go-faster/jx"
)

// Patch changes some resources of a configuration.
type Patch struct {
	// Version is that of the configuration after the patch.
	Version uint64
	// Upserts replace the resources of the same variant and name, or are added.
	Upserts []Resource
	// Removals are names, by variant. One that is also in Upserts is not removed.
	Removals map[string][]string
}

// Apply returns the configuration after the patch, and whether that is valid.
func (c Config) Apply(p Patch) (Config, error) {
	removed := map[resourceID]bool{}
	for variant, names := range p.Removals {
		for _, name := range names {
			removed[resourceID{variant, name}] = true
		}
	}
	// upserts holds what is not placed yet; of several for one resource the last.
	upserts := map[resourceID]int{}
	for i, r := range p.Upserts {
		upserts[r.id()] = i
	}
	next := Config{Version: p.Version}
	for _, r := range c.Resources {
		if i, ok := upserts[r.id()]; ok {
			next.Resources = append(next.Resources, p.Upserts[i])
			delete(upserts, r.id())
			continue
		}
		if !removed[r.id()] {
			next.Resources = append(next.Resources, r)
		}
	}
	for i, r := range p.Upserts {
		if last, ok := upserts[r.id()]; ok && last == i {
			next.Resources = append(next.Resources, r)
		}
	}
	return next, next.Validate()
}

// ApplyPatches returns the configuration that the patches, applied in their order,
// make of c. It is an error if that does not have the version.
func (c Config) ApplyPatches(version uint64, patches [][]byte) (Config, error) {
	for _, data := range patches {
		patch, err := ParsePatch(data)
		if err != nil {
			return Config{}, err
		}
		if c, err = c.Apply(patch); err != nil {
			return Config{}, err
		}
	}
	if c.Version != version {
		return Config{}, Error.New("the patches lead to %s, not %s", FormatVersion(c.Version), FormatVersion(version))
	}
	return c, nil
}

// PatchFrom writes the patch that leads from an older configuration to this
// one, as ParsePatch reads it.
func (c Config) PatchFrom(old Config) []byte {
	before := make(map[resourceID]jx.Raw, len(old.Resources))
	for _, r := range old.Resources {
		before[r.id()] = r.Raw
	}
	kept := make(map[resourceID]bool, len(c.Resources))
	for _, r := range c.Resources {
		kept[r.id()] = true
	}
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart(keyVersion)
	e.Str(FormatVersion(c.Version))
	e.FieldStart(keyUpserts)
	c.writeUpserts(&e, before)
	e.FieldStart(keyRemovals)
	old.writeRemovals(&e, kept)
	e.ObjEnd()
	return slices.Clone(e.Bytes())
}

// writeUpserts writes the resources that are new or not what they were before.
func (c Config) writeUpserts(e *jx.Encoder, before map[resourceID]jx.Raw) {
	e.ObjStart()
	e.FieldStart(keyResources)
	e.ArrStart()
	for _, r := range c.Resources {
		if raw, known := before[r.id()]; !known || !bytes.Equal(raw, r.Raw) {
			e.Raw(r.Raw)
		}
	}
	e.ArrEnd()
	e.ObjEnd()
}

// writeRemovals writes the names of the resources that are not kept.
func (c Config) writeRemovals(e *jx.Encoder, kept map[resourceID]bool) {
	e.ObjStart()
	for _, variant := range variants {
		e.FieldStart(variant)
		e.ArrStart()
		for _, r := range c.Resources {
			if r.Variant == variant && !kept[r.id()] {
				e.Str(r.Name)
			}
		}
		e.ArrEnd()
	}
	e.ObjEnd()
}
