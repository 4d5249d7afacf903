package routeconfig

import (
	"fmt"
	"slices"

	"github.com/go-faster/jx"
)

// Parse reads a configuration and checks it.
func Parse(data []byte) (Config, error) {
	if err := checkJSON(data); err != nil {
		return Config{}, err
	}
	var config Config
	hasResources := false
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, key string) (err error) {
		switch key {
		case keyVersion:
			return inField(key, decodeVersion(d, &config.Version))
		case keyResources:
			hasResources = true
			config.Resources, err = decodeResources(d)
			return inField(key, err)
		}
		return d.Skip()
	})
	switch {
	case err != nil:
		return Config{}, Error.Wrap(err)
	case config.Version == 0:
		return Config{}, errNoVersion()
	case !hasResources:
		return Config{}, Error.New("%s is missing", keyResources)
	}
	return config, config.Validate()
}

// ParsePatch reads a patch. Whether it fits a configuration, Apply tells.
func ParsePatch(data []byte) (Patch, error) {
	if err := checkJSON(data); err != nil {
		return Patch{}, err
	}
	patch := Patch{Removals: map[string][]string{}}
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, key string) error {
		switch key {
		case keyVersion:
			return inField(key, decodeVersion(d, &patch.Version))
		case keyUpserts:
			return inField(key, patch.decodeUpserts(d))
		case keyRemovals:
			return inField(key, patch.decodeRemovals(d))
		}
		return d.Skip()
	})
	switch {
	case err != nil:
		return Patch{}, Error.Wrap(err)
	case patch.Version == 0:
		return Patch{}, errNoVersion()
	}
	return patch, nil
}

func (p *Patch) decodeUpserts(d *jx.Decoder) error {
	return d.Obj(func(d *jx.Decoder, key string) (err error) {
		if key != keyResources {
			return errNoList(key)
		}
		p.Upserts, err = decodeResources(d)
		return inField(key, err)
	})
}

func (p *Patch) decodeRemovals(d *jx.Decoder) error {
	return d.Obj(func(d *jx.Decoder, variant string) error {
		if !slices.Contains(variants, variant) {
			return errNoList(variant)
		}
		return inField(variant, d.Arr(func(d *jx.Decoder) error {
			var name string
			err := decodeString(d, &name)
			p.Removals[variant] = append(p.Removals[variant], name)
			return err
		}))
	})
}

func errNoVersion() error { return Error.New("%s is missing or 0", keyVersion) }

func errNoList(key string) error { return fmt.Errorf("%q is no list that can be changed", key) }

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
			return inField(key, decodeString(d, &resource.Variant))
		case keyMetadata:
			return inField(key, decodeMetadata(d, &resource))
		case keySpecification:
			specification, err = d.Raw()
			return inField(key, err)
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

// decodeSpecification reads the fields that the resource's variant has.
func (r *Resource) decodeSpecification(specification jx.Raw) error {
	d := jx.DecodeBytes(specification)
	if r.Variant == variantLimits {
		return decodeLimits(d, &r.Limits)
	}
	if !slices.Contains(variants, r.Variant) {
		return fmt.Errorf("%s: %q is none of %s, %s, %s", keyVariant, r.Variant, variantRoute, variantService, variantLimits)
	}
	if r.Name == "" {
		return fmt.Errorf("%s.%s is missing", keyMetadata, keyName)
	}
	if r.Variant == variantService {
		r.Service.Name = r.Name
		return inField(r.Name, decodeService(d, &r.Service))
	}
	r.Route.Name = r.Name
	return inField(r.Name, decodeRoute(d, &r.Route))
}
