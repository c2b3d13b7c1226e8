package ejection

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Config holds the ejection rules of a pool.
type Config struct {
	// ConsecutiveFailures is the number of failures that ejects; 0 disables the rule.
	ConsecutiveFailures int
	// LatencyFactor is the multiple of the median latency that ejects; 0 disables the
	// rule.
	LatencyFactor float64
	// BaseDuration is the first ejection time, doubled on each repetition up to
	// MaxDuration; 0 selects the default.
	BaseDuration time.Duration
	MaxDuration  time.Duration
	// MaxShare limits the share of the pool that is ejected or probed.
	MaxShare float64
	// ProbeSuccesses is the number of successes that ends probing; 0 selects the default.
	ProbeSuccesses int
}

// Defaults and parameters of the rules.
const (
	DefaultBaseDuration   = 5 * time.Second
	DefaultMaxDuration    = 5 * time.Minute
	DefaultProbeSuccesses = 2
	// minLatencySamples is the number of answers required to evaluate latency.
	minLatencySamples = 20
	// minReplicasForMedian is the number of replicas required for a median.
	minReplicasForMedian = 3
	latencySmoothing     = 0.1
	// repeatDecayPeriods is the time without ejection after which repeats decreases
	// by one, in multiples of BaseDuration.
	repeatDecayPeriods = 10
)

// FromConfiguration returns the rules of a pool's settings.
func FromConfiguration(settings port.Ejection) Config {
	return Config{
		ConsecutiveFailures: settings.ConsecutiveFailures,
		LatencyFactor:       settings.LatencyFactor,
		BaseDuration:        time.Duration(settings.BaseDuration),
		MaxShare:            settings.MaxShare,
	}
}

// State is a replica's health state.
type State uint8

// The states.
const (
	Healthy State = iota
	Ejected
	Probing
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"healthy", "ejected", "probing"}[s]
}

// Cause is the reason for a change of state, as stored in decision records.
type Cause string

// The causes.
const (
	CauseFailures     Cause = "consecutive failures"
	CauseLatency      Cause = "slower than the pool"
	CauseProbeFailed  Cause = "failed its probe"
	CauseEjectionOver Cause = "time out is over"
	CauseProbesPassed Cause = "passed its probes"
)

// Change is a replica's change of state.
type Change struct {
	Replica port.ReplicaID
	State   State
	Cause   Cause
	// Until is the end of the ejection if State is Ejected.
	Until time.Time
}

// Pool describes all replicas of the pool, also those of other homes. It may be outdated.
type Pool struct {
	// Size is the number of replicas of the pool, at least that of the tracked
	// replicas.
	Size int
	// UnhealthyElsewhere counts the replicas that other homes eject or probe.
	UnhealthyElsewhere int
	// MedianLatency is the median of the pool; 0 selects that of the tracked replicas.
	MedianLatency time.Duration
}

// Tracker tracks the health of the replicas of one pool that one home owns. It is not safe
// for concurrent use.
type Tracker struct {
	config   Config
	pool     Pool
	replicas map[port.ReplicaID]*health
}

// health is the state of one replica.
type health struct {
	state     State
	failures  int
	successes int
	// repeats is the number of times that the next ejection time is doubled.
	repeats int
	// until is the end of the ejection or, if healthy, the start of the decay period.
	until   time.Time
	latency time.Duration
	samples int
}

// New returns a tracker without replicas.
func New(config Config) *Tracker {
	tracker := &Tracker{replicas: make(map[port.ReplicaID]*health)}
	tracker.Configure(config)
	return tracker
}

// Configure replaces the rules.
func (t *Tracker) Configure(config Config) {
	config.BaseDuration = cmp.Or(max(config.BaseDuration, 0), DefaultBaseDuration)
	config.MaxDuration = max(cmp.Or(config.MaxDuration, DefaultMaxDuration), config.BaseDuration)
	config.ProbeSuccesses = cmp.Or(max(config.ProbeSuccesses, 0), DefaultProbeSuccesses)
	t.config = config
}

// SetReplicas sets the tracked replicas. New replicas start as healthy; the state of
// removed ones is dropped.
func (t *Tracker) SetReplicas(replicas []port.ReplicaID) {
	tracked := make(map[port.ReplicaID]bool, len(replicas))
	for _, replica := range replicas {
		tracked[replica] = true
		if t.replicas[replica] == nil {
			t.replicas[replica] = &health{}
		}
	}
	for replica := range t.replicas {
		if !tracked[replica] {
			delete(t.replicas, replica)
		}
	}
}

// SetPool updates the description of the pool.
func (t *Tracker) SetPool(pool Pool) { t.pool = pool }

// State returns a replica's state; a replica that is not tracked is healthy.
func (t *Tracker) State(replica port.ReplicaID) State {
	if record := t.replicas[replica]; record != nil {
		return record.state
	}
	return Healthy
}

// Latency returns a replica's mean latency; 0 means unknown.
func (t *Tracker) Latency(replica port.ReplicaID) time.Duration {
	if record := t.replicas[replica]; record != nil && record.samples >= minLatencySamples {
		return record.latency
	}
	return 0
}

// Observe records the outcome of one request at a replica. Failed means a fault of the
// replica, not of the request or the caller. It returns true with a change of state.
func (t *Tracker) Observe(now time.Time, replica port.ReplicaID, failed bool, latency time.Duration) (Change, bool) {
	record := t.replicas[replica]
	if record == nil {
		return Change{}, false
	}
	if failed {
		return t.recordFailure(now, replica, record)
	}
	return t.recordSuccess(now, replica, record, latency)
}

// Tick starts probing the replicas whose ejection is over.
func (t *Tracker) Tick(now time.Time) []Change {
	var changes []Change
	for replica, record := range t.replicas {
		if record.state == Ejected && !now.Before(record.until) {
			record.state = Probing
			record.successes = 0
			changes = append(changes, Change{Replica: replica, State: Probing, Cause: CauseEjectionOver})
		}
		t.decayRepeats(now, record)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Replica, b.Replica) })
	return changes
}

// Unhealthy counts the tracked replicas that are ejected or probed.
func (t *Tracker) Unhealthy() int {
	count := 0
	for _, record := range t.replicas {
		if record.state != Healthy {
			count++
		}
	}
	return count
}

// recordFailure counts a failure and ejects the replica if the rules require it. A replica
// that can't be ejected because of MaxShare may be ejected on its next failure.
func (t *Tracker) recordFailure(now time.Time, replica port.ReplicaID, record *health) (Change, bool) {
	record.failures++
	switch record.state {
	case Probing:
		return t.eject(now, replica, record, CauseProbeFailed), true
	case Healthy:
		limit := t.config.ConsecutiveFailures
		if limit > 0 && record.failures >= limit && t.canEject() {
			return t.eject(now, replica, record, CauseFailures), true
		}
	}
	return Change{}, false
}

// recordSuccess counts a success, which may end probing or eject a slow replica.
func (t *Tracker) recordSuccess(now time.Time, replica port.ReplicaID, record *health, latency time.Duration) (Change, bool) {
	record.failures = 0
	record.observe(latency)
	switch record.state {
	case Probing:
		record.successes++
		if record.successes < t.config.ProbeSuccesses {
			return Change{}, false
		}
		record.state = Healthy
		record.until = now
		record.samples = 0
		return Change{Replica: replica, State: Healthy, Cause: CauseProbesPassed}, true
	case Healthy:
		if t.isSlow(record) && t.canEject() {
			return t.eject(now, replica, record, CauseLatency), true
		}
	}
	return Change{}, false
}

// eject ejects a replica for a time that doubles with each repetition.
func (t *Tracker) eject(now time.Time, replica port.ReplicaID, record *health, cause Cause) Change {
	duration := t.config.BaseDuration
	for count := 0; count < record.repeats && duration < t.config.MaxDuration; count++ {
		duration *= 2
	}
	record.repeats++
	record.state = Ejected
	record.until = now.Add(min(duration, t.config.MaxDuration))
	record.failures = 0
	record.samples = 0
	return Change{Replica: replica, State: Ejected, Cause: cause, Until: record.until}
}

// canEject reports whether one more replica may be ejected.
func (t *Tracker) canEject() bool {
	size := max(t.pool.Size, len(t.replicas))
	return t.Unhealthy()+t.pool.UnhealthyElsewhere < MaxEjected(size, t.config.MaxShare)
}

// isSlow reports whether the replica is much slower than the median.
func (t *Tracker) isSlow(record *health) bool {
	if t.config.LatencyFactor <= 0 || record.samples < minLatencySamples {
		return false
	}
	median := t.pool.MedianLatency
	if median <= 0 {
		median = t.median()
	}
	return median > 0 && float64(record.latency) > t.config.LatencyFactor*float64(median)
}

// median returns the median latency of the tracked replicas, or 0 if there are too few.
func (t *Tracker) median() time.Duration {
	var latencies []time.Duration
	for _, record := range t.replicas {
		if record.samples >= minLatencySamples {
			latencies = append(latencies, record.latency)
		}
	}
	if len(latencies) < minReplicasForMedian {
		return 0
	}
	return Median(latencies)
}

// decayRepeats decreases repeats after a long time without ejection.
func (t *Tracker) decayRepeats(now time.Time, record *health) {
	period := repeatDecayPeriods * t.config.BaseDuration
	if record.state == Healthy && record.repeats > 0 && now.Sub(record.until) >= period {
		record.repeats--
		record.until = now
	}
}

// observe updates the mean latency.
func (h *health) observe(latency time.Duration) {
	h.samples++
	if h.samples == 1 {
		h.latency = latency
		return
	}
	h.latency += time.Duration(latencySmoothing * float64(latency-h.latency))
}
