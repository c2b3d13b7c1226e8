package siteview

import (
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// RegionOf returns the region of a zone, empty if unknown.
func (v *View) RegionOf(zone string) string { return v.zones[zone] }

// StoredWithin reports whether all machines that store a shard's jobs, the members of its group
// and its founders, are in the allowed regions.
func (v *View) StoredWithin(shard sitestate.ShardNumber, allowed routing.AllowedRegions) bool {
	if !allowed.Restricted() {
		return true
	}
	members := 0
	for _, store := range v.Stores {
		if store.Shard == shard || v.founds(shard, store.Name) {
			members++
			if !allowed.Allows(v.RegionOf(store.Zone)) {
				return false
			}
		}
	}
	return members > 0
}

// StoredWithin calls StoredWithin of the current view; it returns false without a view.
func (w *Watcher) StoredWithin(shard sitestate.ShardNumber, allowed routing.AllowedRegions) bool {
	view := w.View()
	return view != nil && view.StoredWithin(shard, allowed)
}

// founds reports whether a machine is a founder of a shard.
func (v *View) founds(number sitestate.ShardNumber, machine string) bool {
	for _, shard := range v.Shards {
		if shard.Number != number {
			continue
		}
		for _, founder := range shard.Founders {
			if founder.Name == machine {
				return true
			}
		}
	}
	return false
}
