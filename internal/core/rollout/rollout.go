package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Rollout is the state of one pool's weights under one fence. It is not safe
// for concurrent use.
type Rollout struct {
	config   Config
	now      time.Time
	actions  []Action
	fenced   bool
	replicas []*replica // by id
	byID     map[port.ReplicaID]*replica

	// target is the version being rolled out, next a newer one that waits for it.
	target         port.WeightVersion
	receivedAt     time.Time
	next           port.WeightVersion
	nextReceivedAt time.Time
	// skipped counts targets replaced before their switch since the last completed one.
	skipped int
	// maxStaged is the highest number of replicas that had staged the target, lastProgress
	// the time at which it was reached.
	maxStaged    int
	lastProgress time.Time
	// switching is set once the activation of the target has started.
	switching     bool
	switchStarted time.Time
	completed     bool
	// ordered is set once an order was sent for the target, announced once Completed was
	// emitted.
	ordered   bool
	announced bool
	counter   uint64
	// nextRepeat is the index in replicas at which repeatOrders continues.
	nextRepeat int
}

// replica is the known state of one replica.
type replica struct {
	id        port.ReplicaID
	reachable bool
	// lastReport is the time of the last report; zero before the first.
	lastReport  time.Time
	incarnation uint64
	version     port.WeightVersion
	staged      port.WeightVersion

	order     *pendingOrder
	tries     int
	notBefore time.Time
	// unknownSince is when the replica's version became unknown; zero if it is known.
	unknownSince time.Time
	routedOut    bool
}

// pendingOrder is an order whose effect has not been reported.
type pendingOrder struct {
	kind      port.OrderKind
	version   port.WeightVersion
	firstSent time.Time
	// loading is set once a report showed that the replica is loading the version.
	loading bool
	// accepted is set once the engine answered the order without an error.
	accepted bool
	// lastSent is when the order was last sent or repeated; awaitingAnswer is set until
	// that is answered.
	lastSent       time.Time
	awaitingAnswer bool
}

// maxSkipped limits how many consecutive targets a newer publication may replace during
// staging; otherwise weights published faster than they can be staged would never be
// served.
const maxSkipped = 1

// New returns a rollout; the error is ErrNoFence.
func New(config Config, now time.Time) (*Rollout, error) {
	if config.Fence == 0 {
		return nil, ErrNoFence
	}
	return &Rollout{
		config: config.withDefaults(), byID: make(map[port.ReplicaID]*replica),
		target: config.Weights.Version, receivedAt: now, lastProgress: now, completed: config.Weights.Version == 0,
	}, nil
}

// Step handles one event and returns the actions to carry out, in order.
func (r *Rollout) Step(now time.Time, event Event) []Action {
	r.now = now
	r.actions = nil
	if r.fenced {
		return nil
	}
	switch event := event.(type) {
	case Published:
		r.published(event.Weights.Version)
	case ReplicasChanged:
		r.replicasChanged(event.Replicas)
	case LoadReported:
		r.loadReported(event.Replica, event.Report)
	case OrderAnswered:
		r.orderAnswered(event)
	}
	r.advance()
	return r.actions
}

// Target returns the version being rolled out, and whether all reachable replicas serve
// it.
func (r *Rollout) Target() (version port.WeightVersion, completed bool) { return r.target, r.completed }

// published makes a newer version the target, or the next one if the current target is
// being activated or has already replaced another.
func (r *Rollout) published(version port.WeightVersion) {
	if version <= max(r.target, r.next) {
		return
	}
	busy := !r.completed && (r.switching || r.skipped >= maxSkipped)
	if busy {
		r.next, r.nextReceivedAt = version, r.now
		return
	}
	if !r.completed {
		r.skipped++
		r.record("", fmt.Sprintf("version %d replaced by version %d before the switch", r.target, version))
	}
	r.start(version, r.now)
}

// start makes a version the target.
func (r *Rollout) start(version port.WeightVersion, receivedAt time.Time) {
	r.target, r.receivedAt = version, receivedAt
	r.next = 0
	r.maxStaged, r.lastProgress = 0, receivedAt
	r.switching, r.completed = false, false
	r.ordered, r.announced = false, false
	for _, replica := range r.replicas {
		replica.tries, replica.notBefore = 0, time.Time{}
		if replica.order != nil && replica.order.kind == port.OrderStage {
			replica.order = nil
		}
	}
}

func (r *Rollout) replicasChanged(listed []Replica) {
	listedByID := make(map[port.ReplicaID]*replica, len(listed))
	r.replicas = r.replicas[:0]
	for _, entry := range listed {
		member := r.byID[entry.ID]
		if member == nil {
			member = &replica{id: entry.ID}
		}
		if listedByID[entry.ID] != nil {
			continue
		}
		member.reachable = entry.Reachable
		listedByID[entry.ID] = member
		r.replicas = append(r.replicas, member)
	}
	slices.SortFunc(r.replicas, func(a, b *replica) int { return cmp.Compare(a.id, b.id) })
	r.byID = listedByID
}

// advance sends the orders that are due.
func (r *Rollout) advance() {
	if r.target == 0 || r.fenced {
		return
	}
	for _, replica := range r.replicas {
		r.expireOrder(replica)
	}
	r.maybeSwitch()
	mayStage := r.mayStage()
	staging := r.countStaging()
	for _, replica := range r.replicas {
		if !r.needsOrder(replica) {
			continue
		}
		switch {
		case replica.staged == r.target && (r.switching || r.config.Rolling):
			r.send(replica, port.OrderActivate)
		case replica.staged != r.target && mayStage && staging < r.config.MaxStaging:
			staging++
			r.send(replica, port.OrderStage)
		}
	}
	r.repeatOrders()
	r.checkCompleted()
}

// mayStage acquires the staging lock before the switch and releases it afterwards.
// Staging after the switch, on a replica that joined late, needs no lock, since it does
// not wait for other replicas.
func (r *Rollout) mayStage() bool {
	if r.switching || r.completed {
		r.config.StagingLock.release(r.config.Pool)
		return true
	}
	behind := func(member *replica) bool {
		return member.reachable && !member.lastReport.IsZero() && member.version != r.target
	}
	if !slices.ContainsFunc(r.replicas, behind) {
		r.config.StagingLock.release(r.config.Pool)
		return true
	}
	return r.config.StagingLock.acquire(r.now, r.config.Pool, r.config.StageDeadline)
}

// Stop releases the staging lock; Step must not be called afterwards.
func (r *Rollout) Stop() {
	r.fenced = true
	r.config.StagingLock.release(r.config.Pool)
}

// needsOrder reports whether a replica is due for an order.
func (r *Rollout) needsOrder(member *replica) bool {
	eligible := member.reachable && !member.lastReport.IsZero()
	return eligible && member.version != r.target && member.order == nil && !r.now.Before(member.notBefore)
}

func (r *Rollout) countStaging() int {
	count := 0
	for _, replica := range r.replicas {
		if replica.order != nil && replica.order.kind == port.OrderStage {
			count++
		}
	}
	return count
}

// progressDivisor sets the fraction of StageDeadline within which a replica must have
// staged for the switch to wait beyond the deadline.
const progressDivisor = 4

// maybeSwitch starts the activation when all reachable replicas have staged, or enough
// of them at the deadline.
func (r *Rollout) maybeSwitch() {
	if r.switching || r.completed {
		return
	}
	reachable, staged, behind := 0, 0, 0
	for _, replica := range r.replicas {
		if !replica.reachable {
			continue
		}
		reachable++
		if replica.staged == r.target || replica.version == r.target {
			staged++
		}
		if replica.version != r.target {
			behind++
		}
	}
	if reachable == 0 || behind == 0 {
		return
	}
	if staged > r.maxStaged {
		r.maxStaged, r.lastProgress = staged, r.now
	}
	late := r.now.Sub(r.receivedAt) >= r.config.StageDeadline && r.now.Sub(r.lastProgress) >= r.config.StageDeadline/progressDivisor
	enough := staged > 0 && float64(staged) >= r.config.ActivateShare*float64(reachable)
	if staged == reachable || (late && enough) {
		r.switching, r.switchStarted = true, r.now
		r.record("", fmt.Sprintf("switch to version %d on %d of %d reachable replicas", r.target, staged, reachable))
	}
}

// checkCompleted emits Completed once every reachable replica serves the target, and
// starts the next version.
func (r *Rollout) checkCompleted() {
	if r.completed {
		r.restartSwitch()
		return
	}
	serving := 0
	for _, replica := range r.replicas {
		if !replica.reachable {
			continue
		}
		if replica.version != r.target || replica.lastReport.IsZero() {
			r.abandonSwitch()
			return
		}
		serving++
	}
	if serving == 0 {
		return
	}
	completed := Completed{Version: r.target, Replicas: serving, Duration: r.now.Sub(r.receivedAt)}
	if r.switching {
		completed.Switch = r.now.Sub(r.switchStarted)
	}
	r.completed, r.skipped = true, 0
	if r.ordered && !r.announced {
		r.announced = true
		r.actions = append(r.actions, completed)
	}
	r.startNext()
}

// restartSwitch resumes the activation if a replica no longer serves the target.
func (r *Rollout) restartSwitch() {
	for _, replica := range r.replicas {
		if replica.reachable && !replica.lastReport.IsZero() && replica.version != r.target {
			r.completed, r.switching, r.switchStarted = false, true, r.now
			return
		}
	}
}

// abandonSwitch starts the next version if some replicas do not serve the target within
// ActivateTimeout.
func (r *Rollout) abandonSwitch() {
	if r.next != 0 && r.switching && r.now.Sub(r.switchStarted) >= r.config.ActivateTimeout {
		r.record("", fmt.Sprintf("version %d is not served by all replicas; continuing with version %d", r.target, r.next))
		r.skipped = 0
		r.startNext()
	}
}

func (r *Rollout) startNext() {
	if r.next != 0 {
		r.start(r.next, r.nextReceivedAt)
	}
}

// send sends an order and records it.
func (r *Rollout) send(to *replica, kind port.OrderKind) {
	r.ordered = true
	to.order = &pendingOrder{kind: kind, version: r.target, firstSent: r.now, lastSent: r.now, awaitingAnswer: true}
	r.actions = append(r.actions, SendOrder{Replica: to.id, Order: r.config.order(kind, r.target)})
	r.record(to.id, fmt.Sprintf("%s version %d, serves %d", kind, r.target, to.version))
}

// record records a decision on a replica, or on the pool's weights if id is empty.
func (r *Rollout) record(id port.ReplicaID, detail string) {
	subject := string(id)
	if id == "" {
		subject = fmt.Sprintf("w-%s-%d", r.config.Pool, r.target)
	}
	r.actions = append(r.actions, Record{Decision: port.Decision{
		Kind: port.DecisionOrdered, Subject: subject, Time: r.now.UnixMilli(), Node: r.config.Node,
		Pool: r.config.Pool, Replica: id, Version: r.target, Detail: detail,
	}})
}
