package soak

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

const (
	// catchUpTime is how long a machine counts as lost after its return; the next disk may be
	// lost then.
	catchUpTime = 4700 * time.Millisecond
	// diskDownTime is how long a machine that lost its disk is down.
	diskDownTime = time.Second
	// packetLoss is the share of lost packets while disks are lost.
	packetLoss = 0.025
	// jobBodyBytes is the size of an item's body while disks are lost, so that the log of a
	// few seconds has hundreds of packets.
	jobBodyBytes = 6 << 10
)

// TestSoakOfDiskLosses empties the folders of the stores in turn, while the links between all
// machines lose packets. A group of three once stood with two voters until the successor of the
// third had the log, which took longer than that, and lost its quorum with the next disk.
func TestSoakOfDiskLosses(t *testing.T) {
	if *soakTime == 0 {
		t.Skip("a soak has no fixed outcome; run it with -soak")
	}
	runSoak(t, drawSeed(), *soakTime, soakPlan{diskLosses: true, stores: 3})
}

// loseDisksInTurn kills each store in turn and empties its folder, until the time is over.
func (d *injector) loseDisksInTurn(duration time.Duration) {
	d.counts = map[string]int{}
	stores := d.site.machinesOf("store")
	d.random.Shuffle(len(stores), func(i, j int) { stores[i], stores[j] = stores[j], stores[i] })
	for _, m := range d.site.machines {
		d.setLinks(m, link{loss: packetLoss}, 2)
	}
	for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
		m := stores[i%len(stores)]
		start := time.Now()
		m.kill()
		d.record("lost disk", m, "")
		_ = os.RemoveAll(m.dataPath())
		time.Sleep(diskDownTime)
		d.site.start(m, false)
		time.Sleep(catchUpTime)
		d.disturbances.add(start, time.Now())
		d.unplanned.add(start, time.Now())
	}
	d.site.network.heal()
}

// filler returns bytes that cannot be compressed.
func filler(size int) []byte {
	content := make([]byte, size)
	for i := range content {
		content[i] = byte(rand.Uint32())
	}
	return content
}
