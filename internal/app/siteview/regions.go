package siteview

import (
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// RegionOf gives the region of a zone, empty if it is not known.
func (v *View) RegionOf(zone string) string { return v.zones[zone] }

// KeepsWithin reports whether all machines that keep a shard's jobs stand in homes: those
// of its group, and before they told so its founders.
func (v *View) StoredWithin(shard sitestate.ShardNumber, homes routing.AllowedRegions) bool {
	if !homes.Restricted() {
		return true
	}
	members := 0
	for _, store := range v.Stores {
		if store.Shard == shard || v.founds(shard, store.Name) {
			members++
			if !homes.Allows(v.RegionOf(store.Zone)) {
				return false
			}
		}
	}
	return members > 0
}

// KeepsWithin asks the present view.
func (w *Watcher) StoredWithin(shard sitestate.ShardNumber, homes routing.AllowedRegions) bool {
	view := w.View()
	return view != nil && view.StoredWithin(shard, homes)
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
