package fault

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Timing of a departure.
const (
	maxListLag        = 2 * time.Second
	minDeparture      = 6 * time.Second
	idleCheckInterval = 100 * time.Millisecond
)

// depart takes an engine or back end out of service: the machine list shows it after a
// lag, it runs until it is idle, and retire replaces it.
func (w *world) depart(name, address string, zone port.ZoneName, idle func() bool, retire func()) (string, time.Duration) {
	if w.departing[address] || w.partitionedZones[zone] {
		return "", 0 // a partitioned zone receives no machine list
	}
	w.departing[address] = true
	w.machines.leave(address, w.randomDuration(0, maxListLag), func() {
		listedAt := w.queue.Now()
		var check func()
		check = func() {
			if w.queue.Now()-listedAt < minDeparture || !idle() {
				w.after(idleCheckInterval, check)
				return
			}
			w.observed.rest.GracefulStops = append(w.observed.rest.GracefulStops, audit.GracefulStop{Process: address, From: listedAt, To: w.queue.Now()})
			w.trace("%s has stopped", name)
			retire()
		}
		check()
	})
	return name, 0
}

// retire permanently stops an engine and configures a replacement.
func (e *modelEngine) retire() {
	w := e.world
	e.model.Crash(w.queue.Now())
	w.kill(&e.process)
	e.retired = true
	replacement := w.addEngine()
	w.replace(e.id, port.Edit{PutReplica: replacement.replica()})
}

// retire permanently stops a back end and configures a replacement.
func (b *backEnd) retire() {
	w := b.world
	w.kill(&b.process)
	b.retired = true
	replacement := w.addBackEnd()
	w.replace(b.id, port.Edit{PutReplica: replacement.replica()})
}

// replace swaps a replica in the configuration once control is available.
func (w *world) replace(old port.ReplicaID, added port.Edit) {
	if !w.control.available() {
		w.after(time.Second, func() { w.replace(old, added) })
		return
	}
	if err := w.change("replace "+string(old), []port.Edit{{RemoveReplica: old}, added}); err != nil {
		w.fail("replace %s: %v", old, err)
	}
}

// randomWeights draws the weights that a misdirected swap loads.
func (w *world) randomWeights() engine.Weights {
	newest := w.orderedVersion()
	if newest <= firstVersion {
		return engine.Weights{Version: firstVersion}
	}
	return engine.Weights{Version: port.WeightVersion(1 + w.random.faults.Int64N(int64(newest)))}
}
