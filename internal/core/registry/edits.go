package registry

import (
	"reflect"
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// ApplyEdits returns the configuration after all edits without modifying its argument, or a
// *port.Error if an edit is rejected. Pools and replicas of the result are sorted by name.
func ApplyEdits(configuration port.Configuration, edits []port.Edit) (port.Configuration, error) {
	document := LoadDocument(configuration)
	if len(edits) == 0 {
		return document.Configuration(), nil
	}
	if refusal := document.Apply(edits); refusal != nil {
		return port.Configuration{}, refusal
	}
	return document.Configuration(), nil
}

// DiffConfiguration returns the edits that turn one configuration into another, in an order that
// ApplyEdits accepts: replicas are removed before their pools and added after them.
func DiffConfiguration(from, to port.Configuration) []port.Edit {
	var edits []port.Edit
	oldReplicas := indexBy(from.Replicas, func(replica port.Replica) port.ReplicaID { return replica.ID })
	newReplicas := indexBy(to.Replicas, func(replica port.Replica) port.ReplicaID { return replica.ID })
	oldPools := indexBy(from.Pools, func(pool port.Pool) port.PoolName { return pool.Name })
	newPools := indexBy(to.Pools, func(pool port.Pool) port.PoolName { return pool.Name })

	for _, replica := range from.Replicas {
		next, remains := newReplicas[replica.ID]
		// Remove replicas whose address or pool changes first, so that replicas can
		// exchange addresses and a pool can give up its replicas.
		moved := next.Address != replica.Address || next.Pool != replica.Pool
		if !remains || moved || poolReplaced(replica.Pool, oldPools, newPools) {
			edits = append(edits, port.Edit{RemoveReplica: replica.ID})
			delete(oldReplicas, replica.ID)
		}
	}
	edits = append(edits, poolEdits(from.Pools, to.Pools, oldPools, newPools)...)
	for _, replica := range to.Replicas {
		if old, exists := oldReplicas[replica.ID]; !exists || old != replica {
			edits = append(edits, port.Edit{PutReplica: &replica})
		}
	}
	edits = append(edits, removedPools(from.Pools, newPools)...)
	return append(edits, settingEdits(from, to)...)
}

func indexBy[K comparable, V any](values []V, key func(V) K) map[K]V {
	index := make(map[K]V, len(values))
	for _, value := range values {
		index[key(value)] = value
	}
	return index
}

// poolReplaced reports whether a pool's kind changes, which requires removing and adding it.
func poolReplaced(name port.PoolName, old, next map[port.PoolName]port.Pool) bool {
	before, existed := old[name]
	after, exists := next[name]
	return existed && exists && before.Kind != after.Kind
}

// poolEdits orders the pool edits so that a pool exists before another one uses its replicas:
// it removes pools that use others' replicas, then puts pools with replicas of their own, and
// then pools that use others' replicas, of which those that others used before come last.
func poolEdits(from, to []port.Pool, old, next map[port.PoolName]port.Pool) []port.Edit {
	var edits []port.Edit
	wasShared := map[port.PoolName]bool{}
	for _, pool := range from {
		wasShared[pool.ReplicasOf] = true
		_, remains := next[pool.Name]
		if poolReplaced(pool.Name, old, next) || (!remains && pool.ReplicasOf != "") {
			edits = append(edits, port.Edit{RemovePool: pool.Name})
			delete(old, pool.Name)
		}
	}
	stages := make([][]port.Edit, 3)
	for _, pool := range to {
		if before, exists := old[pool.Name]; exists && reflect.DeepEqual(before, pool) {
			continue
		}
		stage := 0
		if pool.ReplicasOf != "" {
			stage = 1
			if wasShared[pool.Name] {
				stage = 2
			}
		}
		stages[stage] = append(stages[stage], port.Edit{PutPool: &pool})
	}
	return append(edits, slices.Concat(stages...)...)
}

// removedPools returns the edits that remove pools with replicas of their own.
func removedPools(from []port.Pool, next map[port.PoolName]port.Pool) []port.Edit {
	var edits []port.Edit
	for _, pool := range from {
		if _, remains := next[pool.Name]; !remains && pool.ReplicasOf == "" {
			edits = append(edits, port.Edit{RemovePool: pool.Name})
		}
	}
	return edits
}

func settingEdits(from, to port.Configuration) []port.Edit {
	var edits []port.Edit
	if !slices.Equal(from.Tenants, to.Tenants) {
		tenants := slices.Clone(to.Tenants)
		edits = append(edits, port.Edit{Tenants: &tenants})
	}
	if from.MachineList != to.MachineList {
		address := to.MachineList
		edits = append(edits, port.Edit{MachineList: &address})
	}
	return edits
}

// buildEdits returns the edits that create a configuration from an empty one.
func buildEdits(configuration port.Configuration) []port.Edit {
	return DiffConfiguration(port.Configuration{}, configuration)
}
