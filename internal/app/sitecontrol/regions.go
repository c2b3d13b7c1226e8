package sitecontrol

import (
	"cmp"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/shardplan"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// byRegion reports whether each shard is to be kept in one region: some jobs may be kept in
// some regions only. Where none are bound, shards are spread over all zones.
func (s *stores) byRegion() bool {
	table := s.control.table.Load()
	if table == nil || len(s.control.config.Zones) == 0 {
		return false
	}
	document := table.Document()
	return slices.ContainsFunc(document.Routes, func(route routing.Route) bool { return len(route.Regions) > 0 }) ||
		slices.ContainsFunc(document.Tenants, func(tenant routing.Tenant) bool { return len(tenant.Regions) > 0 })
}

func (s *stores) regionOf(zone string) string { return s.control.config.Zones[zone] }

// wanted gives how many shards the site is to have.
func (s *stores) wanted(alive []sitestate.Store, view *sitestate.View) int {
	wanted := shardplan.ShardCount(len(alive), s.places(view), s.limits())
	if !s.byRegion() {
		return wanted
	}
	enough := 0
	for _, count := range s.machinesByRegion(alive) {
		enough += min(1, count/s.voters())
	}
	return max(wanted, enough)
}

func (s *stores) machinesByRegion(stores []sitestate.Store) map[string]int {
	counts := map[string]int{}
	for _, store := range stores {
		counts[s.regionOf(store.Zone)]++
	}
	return counts
}

// withinRegion lists the free machines of the region in which the next shard is founded: of
// those that have enough, the one with the fewest shards.
func (s *stores) withinRegion(free []sitestate.Store, view *sitestate.View) []sitestate.Store {
	if !s.byRegion() {
		return free
	}
	shards := map[string]int{}
	for _, shard := range view.Shards {
		for region := range s.machinesByRegion(s.membersOf(view, shard.Number)) {
			shards[region]++
		}
	}
	counts := s.machinesByRegion(free)
	best, found := "", false
	for region, count := range counts {
		if count < s.voters() {
			continue
		}
		better := cmp.Or(cmp.Compare(shards[region], shards[best]), cmp.Compare(counts[best], count), cmp.Compare(region, best)) < 0
		if !found || better {
			best, found = region, true
		}
	}
	if !found {
		return free
	}
	return slices.DeleteFunc(free, func(store sitestate.Store) bool { return s.regionOf(store.Zone) != best })
}

// membersOf lists the machines of a shard: those that said so, and its founders.
func (s *stores) membersOf(view *sitestate.View, number sitestate.ShardNumber) []sitestate.Store {
	founders := map[string]bool{}
	for _, shard := range view.Shards {
		if shard.Number == number {
			for _, founder := range shard.Founders {
				founders[founder.Name] = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(view.Stores), func(store sitestate.Store) bool {
		return store.Shard != number && (store.Shard != 0 || !founders[store.Name])
	})
}

// keptIn reports whether all machines of a shard stand in the regions, any if none are given.
func (s *stores) keptIn(view *sitestate.View, number sitestate.ShardNumber, regions []string) bool {
	if len(regions) == 0 {
		return true
	}
	members := s.membersOf(view, number)
	return len(members) > 0 && !slices.ContainsFunc(members, func(store sitestate.Store) bool {
		return !slices.Contains(regions, s.regionOf(store.Zone))
	})
}

// besides lists the free machines that may join the members of a shard: those of its region
// where jobs are bound to regions.
func (s *stores) besides(members []sitestate.Store, free []shardplan.Machine) []shardplan.Machine {
	if !s.byRegion() || len(members) == 0 {
		return free
	}
	regions := s.machinesByRegion(members)
	return slices.DeleteFunc(slices.Clone(free), func(machine shardplan.Machine) bool { return regions[s.regionOf(machine.Zone)] == 0 })
}

// jobRegions gives the regions in which the jobs of a service may be kept, none for all. It
// is not clear if its routes say different things: then the first job decides.
func (s *stores) jobRegions(service string) (regions []string, clear bool) {
	first := true
	for _, route := range s.control.table.Load().Document().Routes {
		if route.Kind != routing.KindJobs || !route.RoutesTo(service) {
			continue
		}
		if !first && !slices.Equal(regions, route.Regions) {
			return nil, false
		}
		regions, first = route.Regions, false
	}
	return regions, true
}
