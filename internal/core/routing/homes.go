package routing

import (
	"slices"
	"strings"
)

// Homes are the regions in which a request may be served and its body kept. The zero Homes
// are all regions.
type Homes struct {
	bound   bool
	regions []string
}

// HomesOf gives the regions of a route's requests of a tenant, nil for nobody's. Where both
// have homes, each of them binds.
func HomesOf(route *Route, tenant *Tenant) Homes {
	homes := Homes{}.within(route.Regions)
	if tenant != nil {
		homes = homes.within(tenant.Regions)
	}
	return homes
}

// within gives the homes that are in a list too; an empty list is no bound.
func (h Homes) within(regions []string) Homes {
	switch {
	case len(regions) == 0:
		return h
	case !h.bound:
		return Homes{bound: true, regions: regions}
	default:
		both := slices.DeleteFunc(slices.Clone(h.regions), func(region string) bool { return !slices.Contains(regions, region) })
		return Homes{bound: true, regions: both}
	}
}

// Bound reports whether not all regions are homes.
func (h Homes) Bound() bool { return h.bound }

// Allow reports whether a region is a home. One that is not known is none where there are
// homes.
func (h Homes) Allow(region string) bool { return !h.bound || slices.Contains(h.regions, region) }

// Regions lists the homes; empty for all, or none.
func (h Homes) Regions() []string { return h.regions }

// String names the homes.
func (h Homes) String() string {
	if !h.bound {
		return "all regions"
	}
	return strings.Join(h.regions, ", ")
}
