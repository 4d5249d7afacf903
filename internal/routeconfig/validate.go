package routeconfig

// Validate checks what concerns several resources: that names and the places of
// routes are unique, and that each route's services exist.
func (c Config) Validate() error {
	services, err := c.uniqueNames()
	if err != nil {
		return err
	}
	type matchKey struct{ host, prefix string }
	routes := map[matchKey]string{}
	for _, r := range c.Resources {
		if r.Variant != variantRoute {
			continue
		}
		route := r.Route
		for _, s := range route.Split {
			if !services[s.Service] {
				return Error.New("binding %s: service %q is unknown", route.Name, s.Service)
			}
		}
		at := matchKey{route.Host, route.Prefix}
		if other, taken := routes[at]; taken {
			return Error.New("bindings %s and %s share host %s and prefix %s", other, route.Name, route.Host, route.Prefix)
		}
		routes[at] = route.Name
	}
	return nil
}

// uniqueNames checks that no resource stands in the configuration twice, and
// returns the names of the services.
func (c Config) uniqueNames() (services map[string]bool, err error) {
	seen := map[resourceID]bool{}
	services = map[string]bool{}
	for _, r := range c.Resources {
		if seen[r.id()] {
			return nil, Error.New("%s: %q stands there twice", r.Variant, r.Name)
		}
		seen[r.id()] = true
		if r.Variant == variantService {
			services[r.Name] = true
		}
	}
	return services, nil
}
