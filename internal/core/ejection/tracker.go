package ejection

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Config holds the rules of a pool.
type Config struct {
	// ConsecutiveFailures ejects; 0 switches the rule off.
	ConsecutiveFailures int
	// LatencyFactor ejects a replica slower than this many times the median; 0
	// switches the rule off.
	LatencyFactor float64
	// BaseDuration is the first time out, doubled on each repeat up to
	// MaxDuration; zero values take the defaults.
	BaseDuration time.Duration
	MaxDuration  time.Duration
	// MaxShare bounds the share of the pool that is out.
	MaxShare float64
	// ProbeSuccesses bring a probed replica back; 0 takes the default.
	ProbeSuccesses int
}

// Defaults and constants of the rules.
const (
	DefaultBaseDuration   = 5 * time.Second
	DefaultMaxDuration    = 5 * time.Minute
	DefaultProbeSuccesses = 2
	// minLatencySamples is the number of answers before latency is judged.
	minLatencySamples = 20
	// minReplicasForMedian is the least number of replicas that make a median.
	minReplicasForMedian = 3
	latencySmoothing     = 0.1
	// forgetAfter is the time without ejection after which the doubling of the
	// time out steps back once, in multiples of the base duration.
	forgetAfter = 10
)

// FromConfiguration takes the rules out of a pool's settings.
func FromConfiguration(settings port.Ejection) Config {
	return Config{
		ConsecutiveFailures: settings.ConsecutiveFailures,
		LatencyFactor:       settings.LatencyFactor,
		BaseDuration:        time.Duration(settings.BaseDuration),
		MaxShare:            settings.MaxShare,
	}
}

// State is a replica's standing.
type State uint8

// The states.
const (
	Healthy State = iota
	Ejected
	Probing
)

// String names the state.
func (s State) String() string {
	return [...]string{"healthy", "ejected", "probing"}[s]
}

// Cause says why a replica's state changed, in words for records.
type Cause string

// The causes.
const (
	CauseFailures    Cause = "consecutive failures"
	CauseLatency     Cause = "slower than the pool"
	CauseProbeFailed Cause = "failed its probe"
	CauseProbe       Cause = "time out is over"
	CauseProbed      Cause = "passed its probes"
)

// Change tells of one replica's new state.
type Change struct {
	Replica port.ReplicaID
	State   State
	Cause   Cause
	// Until is the end of the time out, when State is Ejected.
	Until time.Time
}

// Pool is what the judge knows of the rest of the pool, perhaps some time late.
type Pool struct {
	// Size counts all the pool's replicas; less than the tracked ones means the
	// tracked ones.
	Size int
	// OutElsewhere counts replicas that other homes have ejected or probe.
	OutElsewhere int
	// MedianLatency is the pool's; 0 means to take that of the tracked replicas.
	MedianLatency time.Duration
}

// Tracker judges the replicas that one home owns in one pool. It is not safe
// for concurrent use.
type Tracker struct {
	config   Config
	pool     Pool
	replicas map[port.ReplicaID]*health
}

// health is one replica's record.
type health struct {
	state     State
	failures  int
	successes int
	// repeats counts the ejections that double the next time out.
	repeats int
	until   time.Time
	latency time.Duration
	samples int
}

// New makes a tracker without replicas.
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

// SetReplicas says which replicas this home owns. A replica new to it starts
// healthy; the record of one that left is dropped.
func (t *Tracker) SetReplicas(replicas []port.ReplicaID) {
	wanted := make(map[port.ReplicaID]bool, len(replicas))
	for _, replica := range replicas {
		wanted[replica] = true
		if t.replicas[replica] == nil {
			t.replicas[replica] = &health{}
		}
	}
	for replica := range t.replicas {
		if !wanted[replica] {
			delete(t.replicas, replica)
		}
	}
}

// SetPool tells of the rest of the pool.
func (t *Tracker) SetPool(pool Pool) { t.pool = pool }

// State gives a replica's state; one that is not tracked is healthy.
func (t *Tracker) State(replica port.ReplicaID) State {
	if record := t.replicas[replica]; record != nil {
		return record.state
	}
	return Healthy
}

// Latency gives a replica's mean latency; 0 when not known.
func (t *Tracker) Latency(replica port.ReplicaID) time.Duration {
	if record := t.replicas[replica]; record != nil && record.samples >= minLatencySamples {
		return record.latency
	}
	return 0
}

// Observe reports the end of one request at a replica. Failed means a fault of
// the replica, not of the request or the caller. A change of state, if any,
// comes back with true.
func (t *Tracker) Observe(now time.Time, replica port.ReplicaID, failed bool, latency time.Duration) (Change, bool) {
	record := t.replicas[replica]
	if record == nil {
		return Change{}, false
	}
	if failed {
		return t.failed(now, replica, record)
	}
	return t.succeeded(now, replica, record, latency)
}

// Tick moves replicas whose time out is over to probing.
func (t *Tracker) Tick(now time.Time) []Change {
	var changes []Change
	for replica, record := range t.replicas {
		if record.state == Ejected && !now.Before(record.until) {
			record.state = Probing
			record.successes = 0
			changes = append(changes, Change{Replica: replica, State: Probing, Cause: CauseProbe})
		}
		t.forget(now, record)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Replica, b.Replica) })
	return changes
}

// Out counts the tracked replicas that are ejected or probed.
func (t *Tracker) Out() int {
	count := 0
	for _, record := range t.replicas {
		if record.state != Healthy {
			count++
		}
	}
	return count
}

// failed counts a failure and ejects where the rules say so. A replica that is
// kept in by the bound stays a candidate for ejection on its next failure.
func (t *Tracker) failed(now time.Time, replica port.ReplicaID, record *health) (Change, bool) {
	record.failures++
	switch record.state {
	case Probing:
		return t.eject(now, replica, record, CauseProbeFailed), true
	case Healthy:
		limit := t.config.ConsecutiveFailures
		if limit > 0 && record.failures >= limit && t.room() {
			return t.eject(now, replica, record, CauseFailures), true
		}
	}
	return Change{}, false
}

// succeeded counts an answer, brings a probed replica back and judges latency.
func (t *Tracker) succeeded(now time.Time, replica port.ReplicaID, record *health, latency time.Duration) (Change, bool) {
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
		return Change{Replica: replica, State: Healthy, Cause: CauseProbed}, true
	case Healthy:
		if t.slow(record) && t.room() {
			return t.eject(now, replica, record, CauseLatency), true
		}
	}
	return Change{}, false
}

// eject takes a replica out for a time that doubles with each repeat.
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

// room says whether one more replica may go out.
func (t *Tracker) room() bool {
	size := max(t.pool.Size, len(t.replicas))
	return t.Out()+t.pool.OutElsewhere < Bound(size, t.config.MaxShare)
}

// slow says whether the replica is much slower than the pool.
func (t *Tracker) slow(record *health) bool {
	if t.config.LatencyFactor <= 0 || record.samples < minLatencySamples {
		return false
	}
	median := t.pool.MedianLatency
	if median <= 0 {
		median = t.median()
	}
	return median > 0 && float64(record.latency) > t.config.LatencyFactor*float64(median)
}

// median gives the median latency of the tracked replicas, 0 if too few.
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

// forget steps the doubling back after a long time without ejection.
func (t *Tracker) forget(now time.Time, record *health) {
	calm := forgetAfter * t.config.BaseDuration
	if record.state == Healthy && record.repeats > 0 && now.Sub(record.until) >= calm {
		record.repeats--
		record.until = now
	}
}

// observe moves the mean latency.
func (h *health) observe(latency time.Duration) {
	h.samples++
	if h.samples == 1 {
		h.latency = latency
		return
	}
	h.latency += time.Duration(latencySmoothing * float64(latency-h.latency))
}
