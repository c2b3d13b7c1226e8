package registry

import (
	"cmp"
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Weights holds each pool's published version, sorted by pool. It never modifies a slice that it
// returned.
type Weights struct {
	list   []port.PublishedWeights
	shared bool
}

// Current returns a pool's published version, 0 if there is none.
func (w *Weights) Current(pool port.PoolName) port.WeightVersion {
	position, found := w.find(pool)
	if !found {
		return 0
	}
	return w.list[position].Version
}

// Publish makes a version current; it must be higher than the current one.
func (w *Weights) Publish(request port.PublishWeights, now int64) (port.PublishedWeights, *port.Error) {
	position, found := w.find(request.Pool)
	var current port.WeightVersion
	if found {
		current = w.list[position].Version
	}
	if request.Version <= current {
		return port.PublishedWeights{}, port.NewError(port.NotRun, port.CodeConflict,
			"version %d of pool %s is not above the current version %d", request.Version, request.Pool, current)
	}
	published := port.PublishedWeights{Pool: request.Pool, Version: request.Version, Bytes: request.Bytes, Time: now}
	w.Put(published)
	return published, nil
}

// Put sets a pool's version without checks, for replay by an observer.
func (w *Weights) Put(published port.PublishedWeights) {
	position, found := w.find(published.Pool)
	w.unshare()
	if found {
		w.list[position] = published
		return
	}
	w.list = slices.Insert(w.list, position, published)
}

// Remove removes a pool's version.
func (w *Weights) Remove(pool port.PoolName) {
	if position, found := w.find(pool); found {
		w.unshare()
		w.list = slices.Delete(w.list, position, position+1)
	}
}

// List returns the versions by pool. The slice must not be modified.
func (w *Weights) List() []port.PublishedWeights {
	w.shared = true
	return w.list
}

// Import replaces the versions with a sorted list.
func (w *Weights) Import(list []port.PublishedWeights) { w.list, w.shared = slices.Clone(list), false }

func (w *Weights) find(pool port.PoolName) (int, bool) {
	return slices.BinarySearchFunc(w.list, pool, func(weights port.PublishedWeights, pool port.PoolName) int {
		return cmp.Compare(weights.Pool, pool)
	})
}

func (w *Weights) unshare() {
	if w.shared {
		w.list, w.shared = slices.Clone(w.list), false
	}
}
