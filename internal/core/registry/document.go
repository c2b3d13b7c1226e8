package registry

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Document is an editable configuration. Pools and replicas are sorted by name; an edit copies
// the slices that Configuration returned.
type Document struct {
	pools       []port.Pool
	replicas    []port.Replica
	addresses   map[string]port.ReplicaID
	tenants     []port.Tenant
	machineList string

	poolsShared, replicasShared bool
}

// NewDocument returns an empty document.
func NewDocument() *Document { return &Document{addresses: map[string]port.ReplicaID{}} }

// LoadDocument returns a document with the contents of a valid configuration.
func LoadDocument(configuration port.Configuration) *Document {
	document := NewDocument()
	document.pools = slices.Clone(configuration.Pools)
	document.replicas = slices.Clone(configuration.Replicas)
	document.tenants = slices.Clone(configuration.Tenants)
	document.machineList = configuration.MachineList
	slices.SortFunc(document.pools, func(a, b port.Pool) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(document.replicas, func(a, b port.Replica) int { return cmp.Compare(a.ID, b.ID) })
	for _, replica := range document.replicas {
		document.addresses[replica.Address] = replica.ID
	}
	return document
}

// Configuration returns the current contents. Its slices are shared and must not be modified.
func (d *Document) Configuration() port.Configuration {
	d.poolsShared, d.replicasShared = true, true
	return port.Configuration{Pools: d.pools, Replicas: d.replicas, Tenants: d.tenants, MachineList: d.machineList}
}

// Pool returns a pool by name.
func (d *Document) Pool(name port.PoolName) (port.Pool, bool) {
	position, found := d.findPool(name)
	if !found {
		return port.Pool{}, false
	}
	return d.pools[position], true
}

// Apply applies all edits in order. If one is rejected, it applies none and returns the error.
func (d *Document) Apply(edits []port.Edit) *port.Error {
	if len(edits) == 0 || len(edits) > MaxEdits {
		return port.InvalidField("edits", strconv.Itoa(len(edits)), fmt.Sprintf("1 to %d edits", MaxEdits))
	}
	undo := make([]port.Edit, 0, len(edits))
	for _, edit := range edits {
		inverse, refusal := d.applyOne(edit)
		if refusal != nil {
			d.revert(undo)
			return refusal
		}
		undo = append(undo, inverse)
	}
	return nil
}

// revert applies inverse edits in reverse order. The states they restore were valid.
func (d *Document) revert(undo []port.Edit) {
	for _, inverse := range slices.Backward(undo) {
		d.Replay(inverse)
	}
}

func (d *Document) applyOne(edit port.Edit) (inverse port.Edit, refusal *port.Error) {
	if count := fieldsSet(edit); count != 1 {
		return port.Edit{}, port.InvalidField("edits", strconv.Itoa(count)+" fields set", "exactly one field in each edit")
	}
	switch {
	case edit.PutPool != nil:
		return d.checkedPutPool(*edit.PutPool)
	case edit.RemovePool != "":
		return d.checkedRemovePool(edit.RemovePool)
	case edit.PutReplica != nil:
		return d.checkedPutReplica(*edit.PutReplica)
	case edit.RemoveReplica != "":
		return d.checkedRemoveReplica(edit.RemoveReplica)
	case edit.Tenants != nil:
		return d.checkedTenants(*edit.Tenants)
	default:
		return d.checkedMachineList(*edit.MachineList)
	}
}

// Replay applies an already accepted edit without checks.
func (d *Document) Replay(edit port.Edit) {
	switch {
	case edit.PutPool != nil:
		d.putPool(*edit.PutPool)
	case edit.RemovePool != "":
		d.removePool(edit.RemovePool)
	case edit.PutReplica != nil:
		d.putReplica(*edit.PutReplica)
	case edit.RemoveReplica != "":
		d.removeReplica(edit.RemoveReplica)
	case edit.Tenants != nil:
		d.tenants = *edit.Tenants
	case edit.MachineList != nil:
		d.machineList = *edit.MachineList
	}
}

func fieldsSet(edit port.Edit) int {
	count := 0
	for _, set := range []bool{
		edit.PutPool != nil, edit.RemovePool != "", edit.PutReplica != nil,
		edit.RemoveReplica != "", edit.Tenants != nil, edit.MachineList != nil,
	} {
		if set {
			count++
		}
	}
	return count
}

func (d *Document) checkedPutPool(pool port.Pool) (port.Edit, *port.Error) {
	if refusal := validatePool(pool); refusal != nil {
		return port.Edit{}, refusal
	}
	if refusal := d.checkSharing(pool); refusal != nil {
		return port.Edit{}, refusal
	}
	position, found := d.findPool(pool.Name)
	if !found {
		if len(d.pools) >= MaxPools {
			return port.Edit{}, port.InvalidField("pools", strconv.Itoa(len(d.pools)+1), fmt.Sprintf("up to %d", MaxPools))
		}
		d.putPool(pool)
		return port.Edit{RemovePool: pool.Name}, nil
	}
	old := d.pools[position]
	if old.Kind != pool.Kind {
		return port.Edit{}, port.InvalidField(fmt.Sprintf("pools[%s].kind", pool.Name), string(pool.Kind), "the pool's kind, "+string(old.Kind))
	}
	d.putPool(pool)
	return port.Edit{PutPool: &old}, nil
}

// checkSharing checks a pool that uses the replicas of another pool: the other pool must have
// replicas of its own, and this one must have none and be used by no other pool.
func (d *Document) checkSharing(pool port.Pool) *port.Error {
	if pool.ReplicasOf == "" {
		return nil
	}
	field := fmt.Sprintf("pools[%s].replicas_of", pool.Name)
	target, found := d.Pool(pool.ReplicasOf)
	if !found || target.Kind != port.PoolGeneration || target.ReplicasOf != "" || target.Name == pool.Name {
		return port.InvalidField(field, string(pool.ReplicasOf), "another generation pool with replicas of its own")
	}
	if id, has := d.replicaOf(pool.Name); has {
		return port.InvalidField(field, string(pool.ReplicasOf), "empty while the pool has replicas; it has "+string(id))
	}
	return d.checkNotShared(field, pool.Name)
}

// checkNotShared returns an error if another pool uses the pool's replicas.
func (d *Document) checkNotShared(field string, name port.PoolName) *port.Error {
	for _, other := range d.pools {
		if other.ReplicasOf == name {
			return port.InvalidField(field, string(name), "a pool whose replicas no other uses; "+string(other.Name)+" does")
		}
	}
	return nil
}

func (d *Document) replicaOf(name port.PoolName) (port.ReplicaID, bool) {
	for _, replica := range d.replicas {
		if replica.Pool == name {
			return replica.ID, true
		}
	}
	return "", false
}

func (d *Document) checkedRemovePool(name port.PoolName) (port.Edit, *port.Error) {
	position, found := d.findPool(name)
	if !found {
		return port.Edit{}, port.NewError(port.NotRun, port.CodeNotFound, "no pool %s", name)
	}
	if id, has := d.replicaOf(name); has {
		return port.Edit{}, port.InvalidField("remove_pool", string(name), "a pool without replicas; it has "+string(id))
	}
	if refusal := d.checkNotShared("remove_pool", name); refusal != nil {
		return port.Edit{}, refusal
	}
	old := d.pools[position]
	d.removePool(name)
	return port.Edit{PutPool: &old}, nil
}

func (d *Document) checkedPutReplica(replica port.Replica) (port.Edit, *port.Error) {
	if refusal := validateReplica(replica); refusal != nil {
		return port.Edit{}, refusal
	}
	if pool, found := d.Pool(replica.Pool); !found || pool.ReplicasOf != "" {
		return port.Edit{}, port.InvalidField(fmt.Sprintf("replicas[%s].pool", replica.ID), string(replica.Pool), "a pool with replicas of its own")
	}
	if other, used := d.addresses[replica.Address]; used && other != replica.ID {
		return port.Edit{}, port.InvalidField(fmt.Sprintf("replicas[%s].address", replica.ID), replica.Address, "an address no other replica has; "+string(other)+" has it")
	}
	position, found := d.findReplica(replica.ID)
	if found {
		old := d.replicas[position]
		d.putReplica(replica)
		return port.Edit{PutReplica: &old}, nil
	}
	if len(d.replicas) >= MaxReplicas {
		return port.Edit{}, port.InvalidField("replicas", strconv.Itoa(len(d.replicas)+1), fmt.Sprintf("up to %d", MaxReplicas))
	}
	d.putReplica(replica)
	return port.Edit{RemoveReplica: replica.ID}, nil
}

func (d *Document) checkedRemoveReplica(id port.ReplicaID) (port.Edit, *port.Error) {
	position, found := d.findReplica(id)
	if !found {
		return port.Edit{}, port.NewError(port.NotRun, port.CodeNotFound, "no replica %s", id)
	}
	old := d.replicas[position]
	d.removeReplica(id)
	return port.Edit{PutReplica: &old}, nil
}

func (d *Document) checkedTenants(tenants []port.Tenant) (port.Edit, *port.Error) {
	if refusal := validateTenants(tenants); refusal != nil {
		return port.Edit{}, refusal
	}
	old := d.tenants
	d.tenants = slices.Clone(tenants)
	return port.Edit{Tenants: &old}, nil
}

func (d *Document) checkedMachineList(address string) (port.Edit, *port.Error) {
	if refusal := firstViolation("", []rule{urlRule("machine_list", address, false)}); refusal != nil {
		return port.Edit{}, refusal
	}
	old := d.machineList
	d.machineList = address
	return port.Edit{MachineList: &old}, nil
}

func (d *Document) findPool(name port.PoolName) (int, bool) {
	return slices.BinarySearchFunc(d.pools, name, func(pool port.Pool, name port.PoolName) int { return cmp.Compare(pool.Name, name) })
}

func (d *Document) findReplica(id port.ReplicaID) (int, bool) {
	return slices.BinarySearchFunc(d.replicas, id, func(replica port.Replica, id port.ReplicaID) int { return cmp.Compare(replica.ID, id) })
}

func (d *Document) unsharePools() {
	if d.poolsShared {
		d.pools, d.poolsShared = slices.Clone(d.pools), false
	}
}

func (d *Document) unshareReplicas() {
	if d.replicasShared {
		d.replicas, d.replicasShared = slices.Clone(d.replicas), false
	}
}

func (d *Document) putPool(pool port.Pool) {
	d.unsharePools()
	position, found := d.findPool(pool.Name)
	if found {
		d.pools[position] = pool
		return
	}
	d.pools = slices.Insert(d.pools, position, pool)
}

func (d *Document) removePool(name port.PoolName) {
	d.unsharePools()
	if position, found := d.findPool(name); found {
		d.pools = slices.Delete(d.pools, position, position+1)
	}
}

func (d *Document) putReplica(replica port.Replica) {
	d.unshareReplicas()
	position, found := d.findReplica(replica.ID)
	if found {
		d.releaseAddress(d.replicas[position])
		d.replicas[position] = replica
	} else {
		d.replicas = slices.Insert(d.replicas, position, replica)
	}
	d.addresses[replica.Address] = replica.ID
}

func (d *Document) removeReplica(id port.ReplicaID) {
	d.unshareReplicas()
	if position, found := d.findReplica(id); found {
		d.releaseAddress(d.replicas[position])
		d.replicas = slices.Delete(d.replicas, position, position+1)
	}
}

// releaseAddress removes a replica's address unless another replica has it, which happens while
// an exchange of addresses is reverted.
func (d *Document) releaseAddress(replica port.Replica) {
	if d.addresses[replica.Address] == replica.ID {
		delete(d.addresses, replica.Address)
	}
}
