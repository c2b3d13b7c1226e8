package fleet

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Range of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(time.Hour / time.Microsecond)
	digits        = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

func record(histogram *hdrhistogram.Histogram, passed time.Duration) {
	_ = histogram.RecordValue(max(lowestMicros, passed.Microseconds()))
}

// inForce measures the time from a change's acceptance to its being in force at
// each node. A node that was down or cut off at some time between the two is not
// counted there, but by the time from its return to its being up to date.
type inForce struct {
	fleet *Fleet
	// accepted holds when each revision was accepted, from the first on.
	first    port.Revision
	accepted []time.Duration
	lags     *hdrhistogram.Histogram
	catchUps *hdrhistogram.Histogram
}

// accept notes that the leader accepted a revision.
func (i *inForce) accept(revision port.Revision) {
	if int(revision-i.first) > len(i.accepted) {
		i.accepted = append(i.accepted, i.fleet.Now())
	}
}

// newest gives the newest accepted revision.
func (i *inForce) newest() port.Revision { return i.first + port.Revision(len(i.accepted)) }

// shows notes that a node's view has moved on.
func (i *inForce) shows(n *node, before, view *port.View) {
	if view.Revision < before.Revision || view.Position < before.Position {
		i.fleet.violate("never back", "%s goes from revision %d to %d", n.address.ID, before.Revision, view.Revision)
	}
	if n.behindSince >= 0 {
		if view.Revision >= i.newest() && i.fleet.network.reaches(n.place, i.fleet.leaderPlace()) {
			record(i.catchUps, i.fleet.Now()-n.behindSince)
			n.behindSince = -1
		}
		return
	}
	for revision := max(before.Revision, i.first) + 1; revision <= view.Revision; revision++ {
		if index := int(revision - i.first - 1); index < len(i.accepted) {
			record(i.lags, i.fleet.Now()-i.accepted[index])
		}
	}
}
