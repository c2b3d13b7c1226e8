package registry

import (
	"reflect"
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// ApplyEdits gives the configuration after all edits, leaving the given one as
// it is. The error is a *port.Error; then no edit counts. Pools and replicas of
// the result are sorted by name.
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

// DiffConfiguration gives the edits that lead from one configuration to
// another, in an order that ApplyEdits accepts: replicas leave before pools go,
// and pools come before their replicas.
func DiffConfiguration(from, to port.Configuration) []port.Edit {
	var edits []port.Edit
	oldReplicas := indexBy(from.Replicas, func(replica port.Replica) port.ReplicaID { return replica.ID })
	newReplicas := indexBy(to.Replicas, func(replica port.Replica) port.ReplicaID { return replica.ID })
	oldPools := indexBy(from.Pools, func(pool port.Pool) port.PoolName { return pool.Name })
	newPools := indexBy(to.Pools, func(pool port.Pool) port.PoolName { return pool.Name })

	for _, replica := range from.Replicas {
		next, kept := newReplicas[replica.ID]
		// A replica whose address or pool changes leaves first, so that two
		// replicas may exchange addresses and a pool may give up its replicas.
		moved := next.Address != replica.Address || next.Pool != replica.Pool
		if !kept || moved || poolReplaced(replica.Pool, oldPools, newPools) {
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
	return append(edits, rest(from, to)...)
}

func indexBy[K comparable, V any](values []V, key func(V) K) map[K]V {
	index := make(map[K]V, len(values))
	for _, value := range values {
		index[key(value)] = value
	}
	return index
}

// poolReplaced says that a pool changes its kind, for which it must leave and
// come back.
func poolReplaced(name port.PoolName, old, next map[port.PoolName]port.Pool) bool {
	before, existed := old[name]
	after, exists := next[name]
	return existed && exists && before.Kind != after.Kind
}

// poolEdits puts the pools in an order in which each borrower of replicas finds
// its lender ready: borrowers that go leave first, then come pools with replicas
// of their own, then borrowers, last those that lent before.
func poolEdits(from, to []port.Pool, old, next map[port.PoolName]port.Pool) []port.Edit {
	var edits []port.Edit
	lent := map[port.PoolName]bool{}
	for _, pool := range from {
		lent[pool.ReplicasOf] = true
		_, kept := next[pool.Name]
		if poolReplaced(pool.Name, old, next) || (!kept && pool.ReplicasOf != "") {
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
			if lent[pool.Name] {
				stage = 2
			}
		}
		stages[stage] = append(stages[stage], port.Edit{PutPool: &pool})
	}
	return append(edits, slices.Concat(stages...)...)
}

// removedPools removes the pools with replicas of their own that go.
func removedPools(from []port.Pool, next map[port.PoolName]port.Pool) []port.Edit {
	var edits []port.Edit
	for _, pool := range from {
		if _, kept := next[pool.Name]; !kept && pool.ReplicasOf == "" {
			edits = append(edits, port.Edit{RemovePool: pool.Name})
		}
	}
	return edits
}

func rest(from, to port.Configuration) []port.Edit {
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

// buildEdits gives the edits that build a configuration from nothing.
func buildEdits(configuration port.Configuration) []port.Edit {
	return DiffConfiguration(port.Configuration{}, configuration)
}
