package routing

import (
	"slices"
	"strings"
)

// AllowedRegions is the set of regions in which a request may be served and its body stored. The
// zero AllowedRegions allows all regions.
type AllowedRegions struct {
	restricted bool
	regions    []string
}

// AllowedRegionsOf returns the regions allowed by both the route and the tenant of a request.
// Tenant is nil for requests without one.
func AllowedRegionsOf(route *Route, tenant *Tenant) AllowedRegions {
	allowed := AllowedRegions{}.intersect(route.Regions)
	if tenant != nil {
		allowed = allowed.intersect(tenant.Regions)
	}
	return allowed
}

// intersect returns the regions that regions contains too; an empty list allows all.
func (h AllowedRegions) intersect(regions []string) AllowedRegions {
	switch {
	case len(regions) == 0:
		return h
	case !h.restricted:
		return AllowedRegions{restricted: true, regions: regions}
	default:
		common := slices.DeleteFunc(slices.Clone(h.regions), func(region string) bool { return !slices.Contains(regions, region) })
		return AllowedRegions{restricted: true, regions: common}
	}
}

// Restricted reports whether some regions are not allowed.
func (h AllowedRegions) Restricted() bool { return h.restricted }

// Allows reports whether a region is allowed. The empty (unknown) region is allowed only
// if all regions are.
func (h AllowedRegions) Allows(region string) bool {
	return !h.restricted || slices.Contains(h.regions, region)
}

// Regions returns the allowed regions; it is empty if all or none are allowed.
func (h AllowedRegions) Regions() []string { return h.regions }

// String returns the allowed regions for messages.
func (h AllowedRegions) String() string {
	if !h.restricted {
		return "all regions"
	}
	return strings.Join(h.regions, ", ")
}
