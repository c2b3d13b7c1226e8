package sim

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Timing of the simulated processes; the intervals are the defaults of the nodes.
const (
	loadInterval     = 200 * time.Millisecond
	loadLag          = 200 * time.Millisecond
	cacheLag         = 500 * time.Millisecond
	stateInterval    = 500 * time.Millisecond
	tickInterval     = 100 * time.Millisecond
	progressInterval = time.Second
	seriesInterval   = time.Second
	progressEvery    = 10 * time.Second
)

// origin is the wall-clock time at virtual time 0.
var origin = time.Unix(1_750_000_000, 0).UTC()

// world is the state of one run.
type world struct {
	options Options
	site    *Site
	now     time.Duration
	queue   eventQueue

	control      *controlLog
	store        *engine.Store
	replicas     []*replica
	byID         map[port.ReplicaID]*replica
	pools        []*samplePool
	router       router
	backEnds     *applicationPool
	callers      []*callerClass
	rollouts     []*weightRollout
	auditRecords auditRecords
	series       []Point
}

// Run simulates one run of a site. It returns an error if an option is invalid.
func Run(options Options) (Outcome, error) {
	if err := options.validate(); err != nil {
		return Outcome{}, err
	}
	w := &world{options: options, site: &options.Site, byID: make(map[port.ReplicaID]*replica)}
	w.auditRecords = newAuditRecords()
	if err := w.build(); err != nil {
		return Outcome{}, err
	}
	w.runUntil(options.Length)
	return w.outcome(), nil
}

// validate checks the options that the run depends on.
func (o *Options) validate() error {
	site := &o.Site
	switch {
	case o.Length <= 0:
		return port.InvalidField("length", o.Length.String(), "more than 0")
	case o.Warmup < 0 || o.Warmup >= o.Length:
		return port.InvalidField("warmup", o.Warmup.String(), "0 up to less than length")
	case len(site.Zones) == 0:
		return port.InvalidField("site.zones", "", "one zone or more")
	case site.Engines < 1:
		return port.InvalidField("site.engines", fmt.Sprint(site.Engines), "1 or more")
	case site.NodesPerZone < 1:
		return port.InvalidField("site.nodes_per_zone", fmt.Sprint(site.NodesPerZone), "1 or more")
	case len(site.Trainers) == 0:
		return port.InvalidField("site.trainers", "", "one trainer or more")
	case site.StoreRate == 0:
		return port.InvalidField("site.store_rate", "0", "bytes a second, more than 0")
	}
	return o.Variant.validate()
}

// validate checks the routing and the parts.
func (v *Variant) validate() error {
	switch v.Routing {
	case RoutingRoundRobin, RoutingRandom, RoutingLeastInFlight, RoutingLoomgrade:
	default:
		return port.InvalidField("variant.routing", string(v.Routing), "round_robin, random, least_in_flight, loomgrade")
	}
	for _, part := range v.Without {
		switch part {
		case PartPrefixAffinity, PartLongSamples, PartStaging, PartPriorities, PartAdmission:
		default:
			return port.InvalidField("variant.without", string(part),
				"prefix_affinity, long_samples, staging, priorities, adaptive_admission")
		}
	}
	return nil
}

// enabled reports whether a part of loomgrade is enabled; the baselines have none.
func (v *Variant) enabled(part Part) bool {
	if v.Routing != RoutingLoomgrade {
		return false
	}
	for _, without := range v.Without {
		if without == part {
			return false
		}
	}
	return true
}

// build creates the site and schedules its periodic work.
func (w *world) build() error {
	w.store = engine.NewStore(int64(w.site.StoreRate))
	w.buildReplicas()
	if err := w.buildControl(); err != nil {
		return err
	}
	if err := w.buildPools(); err != nil {
		return err
	}
	w.buildRouter()
	if err := w.buildRollouts(); err != nil {
		return err
	}
	w.buildCallers()
	w.every(seriesInterval, 0, w.recordPoint)
	w.every(progressEvery, 0, w.reportProgress)
	w.after(w.options.Warmup, w.recordWarmupTokens)
	for _, pool := range w.pools {
		pool.trainer.start()
	}
	return nil
}

// clock returns the wall-clock time, which is the same everywhere.
func (w *world) clock() time.Time { return origin.Add(w.now) }

// after schedules work after a delay.
func (w *world) after(delay time.Duration, run func()) { w.queue.push(w.now+max(delay, 0), run) }

// every schedules periodic work, first at offset.
func (w *world) every(interval, offset time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		w.after(interval, again)
	}
	w.after(offset, again)
}

// runUntil runs all work up to a time.
func (w *world) runUntil(end time.Duration) {
	for {
		next, found := w.queue.pop()
		if !found || next.at > end {
			break
		}
		w.now = next.at
		next.run()
	}
	w.now = end
	for _, replica := range w.replicas {
		replica.advance()
	}
}

// latency returns the one-way latency between two zones.
func (w *world) latency(from, to port.ZoneName) time.Duration {
	if from == to {
		return 0
	}
	return w.site.ZoneLatency
}

// zoneOf returns the zone of the replica or node with an index.
func (w *world) zoneOf(index int) port.ZoneName { return w.site.Zones[index%len(w.site.Zones)] }

func (w *world) reportProgress() {
	if w.options.Progress != nil {
		w.options.Progress(w.now)
	}
}

// afterWarmup reports whether the warm-up is over.
func (w *world) afterWarmup() bool { return w.now >= w.options.Warmup }

// recordPoint appends the state of the site to the series.
func (w *world) recordPoint() {
	point := Point{At: w.now}
	used, total := 0, 0
	for _, replica := range w.replicas {
		load := replica.model.Load()
		point.InFlight += load.Running
		point.Waiting += load.Waiting
		used += load.KVUsed
		total += load.KVTotal
	}
	point.Waiting += w.router.waiting()
	point.MemoryShare = float64(used) / float64(max(total, 1))
	for _, pool := range w.pools {
		point.Version = max(point.Version, pool.trainer.version)
	}
	w.series = append(w.series, point)
}
