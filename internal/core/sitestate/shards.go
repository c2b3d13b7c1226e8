package sitestate

import "github.com/cespare/xxhash/v2"

// ShardOf gives the shard that keeps a model's jobs, 0 before they were placed.
func (v *View) ShardOf(model string) ShardNumber { return v.Placed[model] }

// OwnerOf gives the shard whose runner alone sends items to a replica, 0 if none does
// yet. Every replica has one owner, so that two runners that know nothing of each other
// never fill its slots twice. It is the shard of the model that the replica is kept at;
// replicas without weights are divided by their ids.
func (v *View) OwnerOf(replica *Replica) ShardNumber {
	switch {
	case len(v.Shards) < 2:
		return ShardNumber(len(v.Shards))
	case replica.Model != "" || len(replica.Models) > 0:
		return v.Placed[replica.Model]
	default:
		return ShardNumber(xxhash.Sum64String(replica.ID)%uint64(len(v.Shards))) + 1
	}
}
