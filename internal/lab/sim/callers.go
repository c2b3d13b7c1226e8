package sim

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/loomgrade/loomgrade/internal/lab/load"
	"github.com/loomgrade/loomgrade/internal/port"
)

// defaultTimeout applies to classes of callers that set no timeout.
const defaultTimeout = 10 * time.Second

// callerClass simulates a class of callers.
type callerClass struct {
	world *world
	class *load.Class
	seed  uint64
	calls uint64
	// Outcomes after the warm-up.
	answered, refused, failed int
	latency                   *hdrhistogram.Histogram
}

type call struct {
	from    *callerClass
	name    port.RequestID
	service time.Duration
	arrived time.Duration
	done    func()
	ended   bool
}

// buildCallers creates the application and the callers.
func (w *world) buildCallers() {
	if w.site.ApplicationReplicas < 1 {
		return
	}
	w.backEnds = newApplicationPool(w)
	for index := range w.site.Callers {
		class := &w.site.Callers[index]
		callers := &callerClass{
			world: w, class: class, seed: draw(w.options.Seed, nameSeed(class.Name)),
			latency: newHistogram(maxMicros),
		}
		w.callers = append(w.callers, callers)
		if class.Rate > 0 {
			callers.nextArrival(0)
			continue
		}
		for worker := range class.Workers {
			callers.think(uint64(worker), 0)
		}
	}
}

// rateFactor returns the current multiplier of the callers' rates.
func (w *world) rateFactor() float64 {
	for _, burst := range w.site.Bursts {
		if w.now >= burst.At && w.now < burst.At+burst.Length {
			return burst.Factor
		}
	}
	return 1
}

// nextArrival schedules the next open-loop call. The times depend only on the seed.
func (c *callerClass) nextArrival(number uint64) {
	gap := exponential(draw(c.seed, gapPart, number)) / (c.class.Rate * c.world.rateFactor())
	c.world.after(time.Duration(gap*float64(time.Second)), func() {
		c.startCall(number, func() {})
		c.nextArrival(number + 1)
	})
}

// think schedules the next call of a closed-loop worker.
func (c *callerClass) think(worker, turn uint64) {
	pause := exponential(draw(c.seed, thinkPart, worker, turn)) * float64(c.class.ThinkTime) / c.world.rateFactor()
	c.world.after(time.Duration(pause), func() {
		c.startCall(draw(worker, turn), func() { c.think(worker, turn+1) })
	})
}

// startCall sends a call to a node, chosen in round-robin order.
func (c *callerClass) startCall(number uint64, done func()) {
	w := c.world
	c.calls++
	newCall := &call{
		from: c, arrived: w.now, done: done,
		name:    port.RequestID(fmt.Sprintf("%s-%d", c.class.Name, c.calls)),
		service: drawTime(w.site.ServiceTime, draw(c.seed, servicePart, number)),
	}
	node := w.backEnds.nodes[c.calls%uint64(len(w.backEnds.nodes))]
	w.after(w.site.ClientLatency, func() { node.accept(newCall) })
}

func (c *callerClass) timeout() time.Duration {
	if c.class.Timeout > 0 {
		return c.class.Timeout
	}
	return defaultTimeout
}

// answer delivers the outcome of a call to its caller.
func (c *call) answer(refusal *port.Error) {
	class := c.from
	class.world.after(class.world.site.ClientLatency, func() {
		if c.ended {
			class.world.auditRecords.addViolation("call %s was answered twice", c.name)
			return
		}
		c.ended = true
		class.recordOutcome(c, refusal)
		c.done()
	})
}

// recordOutcome counts the outcome of a call.
func (c *callerClass) recordOutcome(ended *call, refusal *port.Error) {
	if !c.world.afterWarmup() {
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
		recordValue(c.latency, took.Microseconds())
	}
}

func (c *callerClass) outcome() CallerOutcome {
	return CallerOutcome{
		Name: c.class.Name, Answered: c.answered, Refused: c.refused, Failed: c.failed, Latency: c.latency,
	}
}
