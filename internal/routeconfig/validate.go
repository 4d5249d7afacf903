package routeconfig

// Validate checks the constraints between resources. It returns an error of class
// Error if two resources have the same variant and name, two routes have the same
// host and path prefix, or a route refers to a service that does not exist.
func (c Config) Validate() error {
	services, err := c.collectServiceNames()
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
				return Error.New("%s %q: unknown service %q", variantRoute, route.Name, s.Service)
			}
		}
		key := matchKey{route.Host, route.PathPrefix}
		if other, exists := routes[key]; exists {
			return Error.New("%s %q and %q have the same host %s and path prefix %s", variantRoute, other, route.Name, route.Host, route.PathPrefix)
		}
		routes[key] = route.Name
	}
	return nil
}

// collectServiceNames returns the names of the services, or an error if two resources
// have the same variant and name.
func (c Config) collectServiceNames() (services map[string]bool, err error) {
	seen := map[resourceID]bool{}
	services = map[string]bool{}
	for _, r := range c.Resources {
		if seen[r.id()] {
			return nil, Error.New("duplicate %s %q", r.Variant, r.Name)
		}
		seen[r.id()] = true
		if r.Variant == variantService {
			services[r.Name] = true
		}
	}
	return services, nil
}
