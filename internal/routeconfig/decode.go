package routeconfig

import (
	"fmt"
	"slices"

	"github.com/go-faster/jx"
)

// Parse decodes and validates a configuration. It returns an error of class Error if
// data is not a JSON document, the version or the resource list is missing, a field
// is invalid, or Validate fails.
func Parse(data []byte) (Config, error) {
	if err := checkJSON(data); err != nil {
		return Config{}, err
	}
	var config Config
	hasResources := false
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, key string) (err error) {
		switch key {
		case keyVersion:
			return wrapFieldError(key, decodeVersion(d, &config.Version))
		case keyResources:
			hasResources = true
			config.Resources, err = decodeResources(d)
			return wrapFieldError(key, err)
		}
		return d.Skip()
	})
	switch {
	case err != nil:
		return Config{}, Error.Wrap(err)
	case config.Version == 0:
		return Config{}, errMissingVersion()
	case !hasResources:
		return Config{}, Error.New("%s is missing", keyResources)
	}
	return config, config.Validate()
}

// ParsePatch decodes a patch. It returns an error of class Error if data is not a
// JSON document, the version is missing or a field is invalid. Whether the patch
// leads to a valid configuration is checked by Config.Apply.
func ParsePatch(data []byte) (Patch, error) {
	if err := checkJSON(data); err != nil {
		return Patch{}, err
	}
	patch := Patch{Removals: map[string][]string{}}
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, key string) error {
		switch key {
		case keyVersion:
			return wrapFieldError(key, decodeVersion(d, &patch.Version))
		case keyUpserts:
			return wrapFieldError(key, patch.decodeUpserts(d))
		case keyRemovals:
			return wrapFieldError(key, patch.decodeRemovals(d))
		}
		return d.Skip()
	})
	switch {
	case err != nil:
		return Patch{}, Error.Wrap(err)
	case patch.Version == 0:
		return Patch{}, errMissingVersion()
	}
	return patch, nil
}

func (p *Patch) decodeUpserts(d *jx.Decoder) error {
	return d.Obj(func(d *jx.Decoder, key string) (err error) {
		if key != keyResources {
			return errNotPatchable(key)
		}
		p.Upserts, err = decodeResources(d)
		return wrapFieldError(key, err)
	})
}

func (p *Patch) decodeRemovals(d *jx.Decoder) error {
	return d.Obj(func(d *jx.Decoder, variant string) error {
		if !slices.Contains(variants, variant) {
			return errNotPatchable(variant)
		}
		return wrapFieldError(variant, d.Arr(func(d *jx.Decoder) error {
			var name string
			err := decodeString(d, &name)
			p.Removals[variant] = append(p.Removals[variant], name)
			return err
		}))
	})
}

func errMissingVersion() error { return Error.New("%s is missing or 0", keyVersion) }

func errNotPatchable(key string) error {
	return fmt.Errorf("%q is not a list that a patch can change", key)
}

func decodeResources(d *jx.Decoder) ([]Resource, error) {
	var resources []Resource
	err := d.Arr(func(d *jx.Decoder) error {
		raw, err := d.Raw()
		if err != nil {
			return err
		}
		resource, err := decodeResource(raw)
		if err != nil {
			return fmt.Errorf("entry %d: %w", len(resources), err)
		}
		resources = append(resources, resource)
		return nil
	})
	return resources, err
}

func decodeResource(raw jx.Raw) (Resource, error) {
	resource := Resource{Raw: slices.Clone(raw)}
	var specification jx.Raw
	err := jx.DecodeBytes(raw).Obj(func(d *jx.Decoder, key string) (err error) {
		switch key {
		case keyVariant:
			return wrapFieldError(key, decodeString(d, &resource.Variant))
		case keyMetadata:
			return wrapFieldError(key, decodeMetadata(d, &resource))
		case keySpecification:
			specification, err = d.Raw()
			return wrapFieldError(key, err)
		}
		return d.Skip()
	})
	if err != nil {
		return resource, err
	}
	if specification == nil {
		return resource, fmt.Errorf("%s is missing", keySpecification)
	}
	return resource, resource.decodeSpecification(specification)
}

func decodeMetadata(d *jx.Decoder, resource *Resource) error {
	return d.Obj(func(d *jx.Decoder, key string) error {
		if key == keyName {
			return decodeString(d, &resource.Name)
		}
		return d.Skip()
	})
}

// decodeSpecification decodes the specification according to the resource's variant.
// Limits need no name.
func (r *Resource) decodeSpecification(specification jx.Raw) error {
	d := jx.DecodeBytes(specification)
	if r.Variant == variantLimits {
		return decodeLimits(d, &r.Limits)
	}
	if !slices.Contains(variants, r.Variant) {
		return fmt.Errorf("%s: %q is not one of %s, %s, %s", keyVariant, r.Variant, variantRoute, variantService, variantLimits)
	}
	if r.Name == "" {
		return fmt.Errorf("%s.%s is missing", keyMetadata, keyName)
	}
	if r.Variant == variantService {
		r.Service.Name = r.Name
		return wrapFieldError(r.Name, decodeService(d, &r.Service))
	}
	r.Route.Name = r.Name
	return wrapFieldError(r.Name, decodeRoute(d, &r.Route))
}
