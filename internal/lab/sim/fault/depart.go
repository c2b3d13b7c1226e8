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

// depart makes a back end leave: the machine list shows it after a lag, the back end
// runs until it is idle, and a replacement with a new address is configured.
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
			w.observed.rest.PlannedStops = append(w.observed.rest.PlannedStops, audit.PlannedStop{Process: address, From: listedAt, To: w.queue.Now()})
			w.trace("%s has stopped", name)
			retire()
		}
		check()
	})
	return name, 0
}

// retire stops an engine for good and configures a replacement.
func (e *modelEngine) retire() {
	w := e.world
	e.model.Crash(w.queue.Now())
	w.kill(&e.process)
	e.retired = true
	made := w.addEngine()
	w.replace(e.id, port.Edit{PutReplica: made.replica()})
}

// retire stops a back end for good and configures a replacement.
func (b *backEnd) retire() {
	w := b.world
	w.kill(&b.process)
	b.retired = true
	made := w.addBackEnd()
	w.replace(b.id, port.Edit{PutReplica: made.replica()})
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

// otherWeights draws older weights for a misdirected swap.
func (w *world) otherWeights() engine.Weights {
	newest := w.orderedVersion()
	if newest <= firstVersion {
		return engine.Weights{Version: firstVersion}
	}
	return engine.Weights{Version: port.WeightVersion(1 + w.random.faults.Int64N(int64(newest)))}
}
