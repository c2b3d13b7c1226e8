package sitestate

import "github.com/cespare/xxhash/v2"

// ShardOf returns the shard that stores a model's jobs, 0 before they are placed.
func (v *View) ShardOf(model string) ShardNumber { return v.Placed[model] }

// OwnerOf returns the only shard whose runner may send items to a replica, 0 if there is none
// yet. A single owner keeps independent runners from overfilling its slots. It is the shard of
// the replica's assigned model; replicas without weights are distributed by a hash of the id.
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
