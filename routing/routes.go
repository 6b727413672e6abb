package routing

import (
	"cmp"
	"slices"
	"strings"

	"azurestair.example/azurestair"
)

// Routes finds the route of a request by host and path. It is immutable. The
// zero value has no routes.
type Routes struct {
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]azurestair.Route
}

// NewRoutes indexes the routes of a configuration.
func NewRoutes(cfg *azurestair.Config) *Routes {
	routes := &Routes{byHost: map[string][]azurestair.Route{}}
	for _, r := range cfg.Routes {
		host := strings.ToLower(r.Host)
		routes.byHost[host] = append(routes.byHost[host], r)
	}
	for _, list := range routes.byHost {
		slices.SortStableFunc(list, func(a, b azurestair.Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return routes
}

// Find returns the route of the host with the longest matching path prefix. The
// host may include a port.
func (routes *Routes) Find(host, path string) (azurestair.Route, bool) {
	if routes == nil {
		return azurestair.Route{}, false
	}
	list, ok := routes.byHost[strings.ToLower(host)]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		list = routes.byHost[strings.ToLower(name)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return azurestair.Route{}, false
}
