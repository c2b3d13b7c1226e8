package fault

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

// machineList stands in for the list of machines. A departure shows some time
// after it began.
type machineList struct {
	process
	world   *world
	leaving []port.Machine
}

func (l *machineList) list() []port.Machine { return l.leaving }

// leave lets the list show, after its lag, that a machine is leaving.
func (l *machineList) leave(address string, lag time.Duration, shown func()) {
	l.world.after(lag, func() {
		l.leaving = append(l.leaving[:len(l.leaving):len(l.leaving)], port.Machine{Address: address, State: port.MachineLeaving})
		l.signal(address)
		shown()
	})
}

// departureGrace is how long a leaving back end may get new work.
const departureGrace = 3 * time.Second

// signal notes for the audit when each zone could see the departure.
func (l *machineList) signal(address string) {
	for index := range zones {
		l.signalZone(address, l.world.zone(index))
	}
}

// signalZone notes when a zone could see the departure: while it is cut off from
// the list it hears of nothing, and its nodes may use the back end as soon as the
// cut ends, so that the time counts from there.
func (l *machineList) signalZone(address string, zone port.ZoneName) {
	w := l.world
	from := w.queue.Now()
	var look func()
	look = func() {
		switch {
		case w.cutZones[zone]:
			from = w.queue.Now()
		case w.queue.Now()-from >= departureGrace:
			w.seen.rest.Departures = append(w.seen.rest.Departures, audit.Departure{
				BackEnd: address, From: string(zone), SignalledAt: from,
			})
			return
		}
		w.after(lookForIdle, look)
	}
	look()
}

// scorer stands in for the scoring service.
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

// promptsFrom gives prompts, each with a text of its own.
func (w *world) promptsFrom(from port.PromptIndex, count int) []port.Prompt {
	prompts := make([]port.Prompt, 0, count)
	for offset := range count {
		index := from + port.PromptIndex(offset)
		text := fmt.Sprintf("prompt %d of the training pool, with a common beginning that engines cache", index)
		prompts = append(prompts, port.Prompt{Index: index, Text: text, Tokens: engine.CountTokens(text)})
	}
	return prompts
}
