package fault

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

// machineList simulates the machine list, which shows departures with a lag.
type machineList struct {
	process
	world   *world
	leaving []port.Machine
}

func (l *machineList) list() []port.Machine { return l.leaving }

// leave lists a machine as leaving after a lag.
func (l *machineList) leave(address string, lag time.Duration, onListed func()) {
	l.world.after(lag, func() {
		l.leaving = append(l.leaving[:len(l.leaving):len(l.leaving)], port.Machine{Address: address, State: port.MachineLeaving})
		l.recordDeparture(address)
		onListed()
	})
}

// departureGrace is how long a leaving back end may receive new work.
const departureGrace = 3 * time.Second

// recordDeparture records for the audit when each zone could see the departure.
func (l *machineList) recordDeparture(address string) {
	for index := range zones {
		l.recordZoneDeparture(address, l.world.zone(index))
	}
}

// recordZoneDeparture records when a zone could see the departure. For a
// partitioned zone, the grace period starts when the partition ends.
func (l *machineList) recordZoneDeparture(address string, zone port.ZoneName) {
	w := l.world
	from := w.queue.Now()
	var check func()
	check = func() {
		switch {
		case w.partitionedZones[zone]:
			from = w.queue.Now()
		case w.queue.Now()-from >= departureGrace:
			w.observed.rest.Departures = append(w.observed.rest.Departures, audit.Departure{
				BackEnd: address, From: string(zone), SignalledAt: from,
			})
			return
		}
		w.after(idleCheckInterval, check)
	}
	check()
}

// scorer simulates the scoring service.
type scorer struct {
	process
	world     *world
	lateUntil time.Duration
	failNext  int
}

func (c *scorer) score(s *stream, scored func(), failed func(*port.Error)) {
	took := 20 * time.Millisecond
	if c.world.queue.Now() < c.lateUntil {
		took = 8 * time.Second
	}
	fails := c.failNext > 0
	if fails {
		c.failNext--
	}
	c.world.after(took, func() {
		if fails {
			s.answer(true, func() { failed(port.NewError(port.Ran, port.CodeBackEnd, "no score")) })
			return
		}
		s.answer(true, scored)
	})
}

// promptsFrom returns count prompts with distinct texts.
func (w *world) promptsFrom(from port.PromptIndex, count int) []port.Prompt {
	prompts := make([]port.Prompt, 0, count)
	for offset := range count {
		index := from + port.PromptIndex(offset)
		text := fmt.Sprintf("prompt %d of the training pool, with a common beginning that engines cache", index)
		prompts = append(prompts, port.Prompt{Index: index, Text: text, Tokens: engine.CountTokens(text)})
	}
	return prompts
}
