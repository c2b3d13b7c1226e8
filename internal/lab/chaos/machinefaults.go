package chaos

import (
	"errors"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
)

// mayCrash draws whether the machine loses power here.
func (m *machine) mayCrash(where string) bool {
	if m.world.crashChance == 0 || m.world.random.Float64() >= m.world.crashChance {
		return false
	}
	m.world.faults.count++
	m.world.tracef("member %d loses power %s", m.id, where)
	m.powerLoss()
	return true
}

// powerLoss stops the process, loses what was not synced, and comes back later.
func (m *machine) powerLoss() {
	m.down()
	m.disk.Crash()
	m.world.after(m.world.between(100*time.Millisecond, 5*time.Second), m.start)
}

// kill stops the process and keeps what was written; it comes back soon.
func (m *machine) kill() { m.killFor(m.world.between(100*time.Millisecond, 5*time.Second)) }

func (m *machine) killFor(absence time.Duration) {
	m.down()
	m.disk.Stop()
	m.world.after(absence, m.start)
}

func (m *machine) down() {
	m.member, m.log = nil, nil
	m.incarnation++
	m.paused, m.backlog = false, nil
}

// diskFailed stops a member whose log refuses. After a full disk the process
// comes back once there is room; after a failed sync nobody knows what is on
// the disk, and the machine must be replaced under a new id.
func (m *machine) diskFailed(err error) {
	m.world.tracef("member %d stops: %v", m.id, err)
	m.down()
	m.disk.Stop()
	if errors.Is(err, wal.ErrFull) {
		m.world.after(m.world.between(time.Second, 10*time.Second), func() {
			m.disk.SetCapacity(0)
			m.start()
		})
		return
	}
	m.lose()
}

// lose takes the machine away for ever, or, without the safeguard of fresh ids,
// lets it come back under its id with an empty disk.
func (m *machine) lose() {
	m.down()
	if m.world.options.Weakness == WeaknessSameID && len(m.initial.Voters) > 0 {
		m.disk.RemoveAll(dataFolder)
		m.created = false
		m.world.after(time.Second, m.start)
		return
	}
	m.gone = true
}

func (m *machine) pause() { m.paused = true }

// resume lets a paused process go on: first it notes the time that passed.
func (m *machine) resume() {
	if !m.running() || !m.paused {
		return
	}
	m.paused, m.resumed = false, m.world.now
	missed, backlog := m.missed, m.backlog
	m.missed, m.backlog = 0, nil
	m.process(func() {
		for range missed {
			m.tick()
		}
	})
	for _, work := range backlog {
		m.process(work)
	}
}

// recover ends everything that is wrong with the machine and can end.
func (m *machine) recover() {
	m.disk.FailSync(0)
	m.syncFault = false
	m.disk.SetCapacity(0)
	m.resume()
	m.start()
}
