package routeconfig

import (
	"bytes"
	"slices"

	"github.com/go-faster/jx"
)

// Patch replaces, adds and removes resources of a configuration.
type Patch struct {
	// Version is the version of the patched configuration.
	Version uint64
	// Upserts replace the resources with the same variant and name, or are added. Of
	// several for one resource the last applies.
	Upserts []Resource
	// Removals are names, by variant. A resource that is also in Upserts is not
	// removed.
	Removals map[string][]string
}

// Apply returns the patched configuration and leaves c unchanged. It returns an error
// of class Error if the patched configuration is not valid. Removals of resources
// that do not exist are ignored.
func (c Config) Apply(p Patch) (Config, error) {
	removed := map[resourceID]bool{}
	for variant, names := range p.Removals {
		for _, name := range names {
			removed[resourceID{variant, name}] = true
		}
	}
	// upserts holds the index of the last upsert of each resource; the entry is
	// deleted once the upsert has replaced a resource.
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

// ApplyPatches applies the encoded patches to c in order and returns the result. It
// returns an error of class Error if a patch is invalid or the result does not have
// the given version.
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
		return Config{}, Error.New("patches produce version %s, expected %s", FormatVersion(c.Version), FormatVersion(version))
	}
	return c, nil
}

// PatchFrom encodes the patch that changes the configuration old into c, in the form
// that ParsePatch reads. The patch does not carry the order of the resources.
func (c Config) PatchFrom(old Config) []byte {
	oldRaw := make(map[resourceID]jx.Raw, len(old.Resources))
	for _, r := range old.Resources {
		oldRaw[r.id()] = r.Raw
	}
	present := make(map[resourceID]bool, len(c.Resources))
	for _, r := range c.Resources {
		present[r.id()] = true
	}
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart(keyVersion)
	e.Str(FormatVersion(c.Version))
	e.FieldStart(keyUpserts)
	c.writeUpserts(&e, oldRaw)
	e.FieldStart(keyRemovals)
	old.writeRemovals(&e, present)
	e.ObjEnd()
	return slices.Clone(e.Bytes())
}

// writeUpserts encodes the resources that are not in oldRaw or whose bytes differ
// from it.
func (c Config) writeUpserts(e *jx.Encoder, oldRaw map[resourceID]jx.Raw) {
	e.ObjStart()
	e.FieldStart(keyResources)
	e.ArrStart()
	for _, r := range c.Resources {
		if raw, known := oldRaw[r.id()]; !known || !bytes.Equal(raw, r.Raw) {
			e.Raw(r.Raw)
		}
	}
	e.ArrEnd()
	e.ObjEnd()
}

// writeRemovals encodes the names of the resources of c that are not present.
func (c Config) writeRemovals(e *jx.Encoder, present map[resourceID]bool) {
	e.ObjStart()
	for _, variant := range variants {
		e.FieldStart(variant)
		e.ArrStart()
		for _, r := range c.Resources {
			if r.Variant == variant && !present[r.id()] {
				e.Str(r.Name)
			}
		}
		e.ArrEnd()
	}
	e.ObjEnd()
}
