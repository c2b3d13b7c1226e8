package home

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Serving counts the replicas of records by pool and version. A replica counts
// for every pool that it serves: its own, and those that share it under an
// adapter, with the version of that adapter. Version 0 stands for not known, and
// for an adapter that is not loaded.
func Serving(now time.Time, pools []port.Pool, records iter.Seq[*Record]) []port.ServingCount {
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
	place := slices.IndexFunc(counts, func(known port.ServingCount) bool {
		return known.Pool == pool && known.Version == version
	})
	if place < 0 {
		return append(counts, port.ServingCount{Pool: pool, Version: version, Replicas: 1})
	}
	counts[place].Replicas++
	return counts
}
