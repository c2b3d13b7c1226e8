package engine

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Load is the state that an engine reports.
type Load struct {
	At          time.Duration
	Up          bool
	Incarnation uint64
	Running     int
	Waiting     int // includes importing requests
	KVUsed      int // blocks referenced by sequences
	KVTotal     int // blocks
	Weights     Weights
	Swapping    bool
	Staged      []Weights
	Staging     []Weights
	Adapters    map[string]port.WeightVersion
	Role        Role
	Fence       uint64
	Totals      Totals
}

// Load returns the engine's state as of the last call.
func (m *Model) Load() Load {
	load := Load{
		At: m.clock, Up: m.up, Incarnation: m.incarnation,
		KVTotal: m.config.KVBlocks, KVUsed: m.memory.used - m.memory.cached,
		Running: len(m.running), Waiting: len(m.sequences) - len(m.running),
		Weights: m.weights, Swapping: m.swapping,
		Staged: slices.Clone(m.staged), Staging: slices.Clone(m.staging),
		Role: m.role, Fence: m.fence, Totals: m.totals,
	}
	if len(m.adapters) > 0 {
		load.Adapters = make(map[string]port.WeightVersion, len(m.adapters))
		for name, version := range m.adapters {
			load.Adapters[name] = version
		}
	}
	return load
}

// InFlight returns the number of requests on the engine.
func (m *Model) InFlight() int { return len(m.sequences) }

// CacheSnapshot returns the hashes of all reusable blocks in ascending order and the
// sequence number of the last cache event, which they reflect.
func (m *Model) CacheSnapshot() (hashes []uint64, sequence uint64) {
	hashes = m.memory.hashes()
	slices.Sort(hashes)
	return hashes, m.cacheCounter
}

// Crash stops the engine and returns the ids of the lost requests in ascending order. All
// state is lost.
func (m *Model) Crash(now time.Duration) []string {
	m.interrupt(now)
	lost := make([]string, 0, len(m.sequences))
	for id := range m.sequences {
		lost = append(lost, id)
	}
	slices.Sort(lost)
	m.totals.LostInCrashes += uint64(len(lost))
	*m = Model{
		config: m.config, clock: m.clock, incarnation: m.incarnation,
		memory: newMemory(m.config.KVBlocks, m.cacheChanged), slowdown: m.slowdown,
		events: m.events, spare: m.spare, totals: m.totals,
	}
	return lost
}

// Restart starts a crashed engine with the weights and role of its configuration, as the
// next incarnation.
func (m *Model) Restart(now time.Duration) {
	if m.up {
		return
	}
	m.clock = max(m.clock, now)
	m.start()
}

// SetSlowdown sets the factor by which all steps that start after now take longer.
func (m *Model) SetSlowdown(now time.Duration, factor float64) {
	m.interrupt(now)
	m.slowdown = factor
}

// FailNextSwap makes the next activation fail partway: the engine then serves and
// reports UnknownVersion.
func (m *Model) FailNextSwap() { m.swapFault = swapFails }

// MisdirectNextSwap makes the next activation serve the given weights instead of the ordered
// ones. The engine reports the weights that it serves.
func (m *Model) MisdirectNextSwap(weights Weights) {
	m.swapFault, m.misdirectedTo = swapMisdirected, weights
}
