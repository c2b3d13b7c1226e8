package sitecontrol

import (
	"cmp"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/shardplan"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// regionalShards reports whether each shard is to stay within one region, because some route
// or tenant restricts its jobs to regions. Otherwise shards span all zones.
func (s *stores) regionalShards() bool {
	table := s.control.table.Load()
	if table == nil || len(s.control.config.Zones) == 0 {
		return false
	}
	document := table.Document()
	return slices.ContainsFunc(document.Routes, func(route routing.Route) bool { return len(route.Regions) > 0 }) ||
		slices.ContainsFunc(document.Tenants, func(tenant routing.Tenant) bool { return len(tenant.Regions) > 0 })
}

func (s *stores) regionOf(zone string) string { return s.control.config.Zones[zone] }

// shardCount returns how many shards the site is to have.
func (s *stores) shardCount(alive []sitestate.Store, view *sitestate.View) int {
	wanted := shardplan.ShardCount(len(alive), s.engineSlots(view), s.limits())
	if !s.regionalShards() {
		return wanted
	}
	minimum := 0
	for _, count := range s.machinesByRegion(alive) {
		minimum += min(1, count/s.voters())
	}
	return max(wanted, minimum)
}

func (s *stores) machinesByRegion(stores []sitestate.Store) map[string]int {
	counts := map[string]int{}
	for _, store := range stores {
		counts[s.regionOf(store.Zone)]++
	}
	return counts
}

// freeInRegion lists the free machines of the region for the next shard: of the regions with
// enough machines, the one with the fewest shards.
func (s *stores) freeInRegion(free []sitestate.Store, view *sitestate.View) []sitestate.Store {
	if !s.regionalShards() {
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

// membersOf lists the machines that report a shard as theirs, and its founders that report none.
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

// withinRegions reports whether all machines of a shard are in the regions; true without any.
func (s *stores) withinRegions(view *sitestate.View, number sitestate.ShardNumber, regions []string) bool {
	if len(regions) == 0 {
		return true
	}
	members := s.membersOf(view, number)
	return len(members) > 0 && !slices.ContainsFunc(members, func(store sitestate.Store) bool {
		return !slices.Contains(regions, s.regionOf(store.Zone))
	})
}

// joinable lists the free machines that may join the members of a shard: with regional
// shards, those of its region.
func (s *stores) joinable(members []sitestate.Store, free []shardplan.Machine) []shardplan.Machine {
	if !s.regionalShards() || len(members) == 0 {
		return free
	}
	regions := s.machinesByRegion(members)
	return slices.DeleteFunc(slices.Clone(free), func(machine shardplan.Machine) bool { return regions[s.regionOf(machine.Zone)] == 0 })
}

// jobRegions returns the regions to which the jobs of a service are restricted, none for
// all. It returns false if the service's routes differ; then the first job decides.
func (s *stores) jobRegions(service string) (regions []string, consistent bool) {
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
