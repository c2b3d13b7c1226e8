package routing

import (
	"slices"
	"strings"
)

// Homes is the set of regions in which a request may be served and its body stored. The
// zero Homes allows all regions.
type Homes struct {
	restricted bool
	regions    []string
}

// HomesOf returns the regions allowed by both the route and the tenant of a request.
// Tenant is nil for requests without one.
func HomesOf(route *Route, tenant *Tenant) Homes {
	homes := Homes{}.intersect(route.Regions)
	if tenant != nil {
		homes = homes.intersect(tenant.Regions)
	}
	return homes
}

// intersect returns the regions that are also in the list; an empty list allows all.
func (h Homes) intersect(regions []string) Homes {
	switch {
	case len(regions) == 0:
		return h
	case !h.restricted:
		return Homes{restricted: true, regions: regions}
	default:
		common := slices.DeleteFunc(slices.Clone(h.regions), func(region string) bool { return !slices.Contains(regions, region) })
		return Homes{restricted: true, regions: common}
	}
}

// Bound reports whether some regions are not allowed.
func (h Homes) Bound() bool { return h.restricted }

// Allow reports whether a region is allowed. An unknown region is allowed only if all
// regions are.
func (h Homes) Allow(region string) bool { return !h.restricted || slices.Contains(h.regions, region) }

// Regions returns the allowed regions; it is empty if all or none are allowed.
func (h Homes) Regions() []string { return h.regions }

// String returns the allowed regions for messages.
func (h Homes) String() string {
	if !h.restricted {
		return "all regions"
	}
	return strings.Join(h.regions, ", ")
}
