package chaos

import (
	"errors"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
)

// maybeCrash makes the machine lose power at random, and reports whether it did.
func (m *machine) maybeCrash(where string) bool {
	if m.world.crashChance == 0 || m.world.random.Float64() >= m.world.crashChance {
		return false
	}
	m.world.faults.count++
	m.world.tracef("member %d loses power %s", m.id, where)
	m.powerLoss()
	return true
}

// powerLoss stops the process, loses unsynced writes and schedules a restart.
func (m *machine) powerLoss() {
	m.stop()
	m.disk.Crash()
	m.world.after(m.world.randomDuration(100*time.Millisecond, 5*time.Second), m.start)
}

// kill stops the process without losing its writes and schedules a restart.
func (m *machine) kill() { m.killFor(m.world.randomDuration(100*time.Millisecond, 5*time.Second)) }

func (m *machine) killFor(absence time.Duration) {
	m.stop()
	m.disk.Stop()
	m.world.after(absence, m.start)
}

func (m *machine) stop() {
	m.member, m.log = nil, nil
	m.incarnation++
	m.paused, m.backlog = false, nil
}

// diskFailed stops a member whose log failed. After a full disk the process restarts once
// there is space; after a failed sync the content of the disk is unknown, and the machine
// must be replaced under a new id.
func (m *machine) diskFailed(err error) {
	m.world.tracef("member %d stops: %v", m.id, err)
	m.stop()
	m.disk.Stop()
	if errors.Is(err, wal.ErrFull) {
		m.world.after(m.world.randomDuration(time.Second, 10*time.Second), func() {
			m.disk.SetCapacity(0)
			m.start()
		})
		return
	}
	m.lose()
}

// lose loses the machine permanently, or, under WeaknessSameID, restarts it under
// its id with an empty disk.
func (m *machine) lose() {
	m.stop()
	if m.world.options.Weakness == WeaknessSameID && len(m.initial.Voters) > 0 {
		m.disk.RemoveAll(dataFolder)
		m.created = false
		m.world.after(time.Second, m.start)
		return
	}
	m.lost = true
}

func (m *machine) pause() { m.paused = true }

// resume continues a paused process: it runs the missed ticks, then the backlog.
func (m *machine) resume() {
	if !m.running() || !m.paused {
		return
	}
	m.paused, m.resumed = false, m.world.now
	missed, backlog := m.missedTicks, m.backlog
	m.missedTicks, m.backlog = 0, nil
	m.process(func() {
		for range missed {
			m.tick()
		}
	})
	for _, work := range backlog {
		m.process(work)
	}
}

// recover ends all temporary faults of the machine.
func (m *machine) recover() {
	m.disk.FailSync(0)
	m.syncFault = false
	m.disk.SetCapacity(0)
	m.resume()
	m.start()
}
