package sim

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/loomgrade/loomgrade/internal/lab/load"
	"github.com/loomgrade/loomgrade/internal/port"
)

// defaultTimeout is that of a class of callers that names none.
const defaultTimeout = 10 * time.Second

// callerClass is one kind of callers.
type callerClass struct {
	world *world
	class *load.Class
	seed  uint64
	calls uint64
	// What the callers saw after the warm-up.
	answered, refused, failed int
	latency                   *hdrhistogram.Histogram
}

// call is one call of a caller.
type call struct {
	from    *callerClass
	name    port.RequestID
	service time.Duration
	arrived time.Duration
	done    func()
	ended   bool
}

// buildCallers makes the application back ends and the callers.
func (w *world) buildCallers() {
	if w.site.ApplicationReplicas < 1 {
		return
	}
	w.backEnds = newApplicationPool(w)
	for index := range w.site.Callers {
		class := &w.site.Callers[index]
		made := &callerClass{
			world: w, class: class, seed: draw(w.options.Seed, nameSeed(class.Name)),
			latency: newHistogram(maxMicros),
		}
		w.callers = append(w.callers, made)
		if class.Rate > 0 {
			made.nextArrival(0)
			continue
		}
		for worker := range class.Workers {
			made.think(uint64(worker), 0)
		}
	}
}

// factor gives by how much the callers' rates are multiplied now.
func (w *world) factor() float64 {
	for _, burst := range w.site.Bursts {
		if w.now >= burst.At && w.now < burst.At+burst.Length {
			return burst.Factor
		}
	}
	return 1
}

// nextArrival lets the next caller of an open loop come. The times hang on the
// seed alone.
func (c *callerClass) nextArrival(number uint64) {
	gap := exponential(draw(c.seed, gapPart, number)) / (c.class.Rate * c.world.factor())
	c.world.after(time.Duration(gap*float64(time.Second)), func() {
		c.begin(number, func() {})
		c.nextArrival(number + 1)
	})
}

// think lets a caller of a closed loop pause and call again.
func (c *callerClass) think(worker, turn uint64) {
	pause := exponential(draw(c.seed, thinkPart, worker, turn)) * float64(c.class.ThinkTime) / c.world.factor()
	c.world.after(time.Duration(pause), func() {
		c.begin(draw(worker, turn), func() { c.think(worker, turn+1) })
	})
}

// begin makes a call to a node, chosen in turn.
func (c *callerClass) begin(number uint64, done func()) {
	w := c.world
	c.calls++
	begun := &call{
		from: c, arrived: w.now, done: done,
		name:    port.RequestID(fmt.Sprintf("%s-%d", c.class.Name, c.calls)),
		service: spread(w.site.ServiceTime, draw(c.seed, servicePart, number)),
	}
	node := w.backEnds.nodes[c.calls%uint64(len(w.backEnds.nodes))]
	w.after(w.site.ClientLatency, func() { node.accept(begun) })
}

// timeout gives how long a caller waits.
func (c *callerClass) timeout() time.Duration {
	if c.class.Timeout > 0 {
		return c.class.Timeout
	}
	return defaultTimeout
}

// answer brings the outcome of a call to its caller.
func (c *call) answer(refusal *port.Error) {
	class := c.from
	class.world.after(class.world.site.ClientLatency, func() {
		if c.ended {
			class.world.books.violate("call %s was answered twice", c.name)
			return
		}
		c.ended = true
		class.note(c, refusal)
		c.done()
	})
}

// note enters the outcome of a call.
func (c *callerClass) note(ended *call, refusal *port.Error) {
	if !c.world.counted() {
		return
	}
	took := c.world.now - ended.arrived
	switch {
	case refusal != nil && refusal.Verdict == port.NotRun:
		c.refused++
	case refusal != nil || took > c.timeout():
		c.failed++
	default:
		c.answered++
		enter(c.latency, took.Microseconds())
	}
}

func (c *callerClass) outcome() CallerOutcome {
	return CallerOutcome{
		Name: c.class.Name, Answered: c.answered, Refused: c.refused, Failed: c.failed, Latency: c.latency,
	}
}
