package home

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// ServingCounts counts the replicas by pool and served version. A replica counts for its own
// pool and for the pools that share it with an adapter, under the version of that adapter.
// Version 0 means unknown or not loaded.
func ServingCounts(now time.Time, pools []port.Pool, records iter.Seq[*Record]) []port.ServingCount {
	var counts []port.ServingCount
	for record := range records {
		if !record.Polled {
			continue
		}
		for index := range pools {
			pool := &pools[index]
			if pool.EnginePool() == record.Replica.Pool {
				counts = count(counts, pool.Name, record.Version(now, pool.Adapter))
			}
		}
	}
	slices.SortFunc(counts, func(a, b port.ServingCount) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Version, b.Version))
	})
	return counts
}

// count adds one replica to the count of a pool and version.
func count(counts []port.ServingCount, pool port.PoolName, version port.WeightVersion) []port.ServingCount {
	index := slices.IndexFunc(counts, func(c port.ServingCount) bool {
		return c.Pool == pool && c.Version == version
	})
	if index < 0 {
		return append(counts, port.ServingCount{Pool: pool, Version: version, Replicas: 1})
	}
	counts[index].Replicas++
	return counts
}
