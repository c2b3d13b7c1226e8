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

	// target is the version being rolled out, next a newer one that waits.
	target    port.WeightVersion
	heard     time.Time
	next      port.WeightVersion
	nextHeard time.Time
	// skipped counts targets given up for a newer one since the last switch.
	skipped int
	// mostStaged is the largest number of replicas that had staged the target, and
	// progressed when it was reached.
	mostStaged int
	progressed time.Time
	// switching is set once activation of the target began.
	switching   bool
	switchBegan time.Time
	completed   bool
	// ordered is set once an order was given for the target, announced once
	// Completed was.
	ordered   bool
	announced bool
	counter   uint64
	// nextAsk is the place in replicas where asking again goes on.
	nextAsk int
}

// replica is what is known of one replica.
type replica struct {
	id        port.ReplicaID
	reachable bool
	// reported is when the last report was made; zero before the first.
	reported    time.Time
	incarnation uint64
	version     port.WeightVersion
	staged      port.WeightVersion

	order *outstanding
	tries int
	after time.Time
	// doubt is when it became unknown what the replica serves; zero if it is
	// known.
	doubt     time.Time
	routedOut bool
}

// outstanding is an order whose effect has not been reported.
type outstanding struct {
	kind    port.OrderKind
	version port.WeightVersion
	sent    time.Time
	// loading is set once a report showed that the replica loads the version.
	loading bool
	// accepted is set once the engine answered the order without an error.
	accepted bool
	// asked is when the order was last given, and asking whether the answer to
	// that is still out.
	asked  time.Time
	asking bool
}

// maxSkipped bounds how often in a row a newer publication replaces a target
// that is still being staged: without the bound, weights published faster than
// they can be staged would never be served.
const maxSkipped = 1

// New makes a rollout; the error is ErrNoFence.
func New(config Config, now time.Time) (*Rollout, error) {
	if config.Fence == 0 {
		return nil, ErrNoFence
	}
	return &Rollout{
		config: config.withDefaults(), byID: make(map[port.ReplicaID]*replica),
		target: config.Weights.Version, heard: now, progressed: now, completed: config.Weights.Version == 0,
	}, nil
}

// Step handles one event and returns what to do, in order.
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

// Target gives the version being rolled out, and whether all reachable replicas
// serve it.
func (r *Rollout) Target() (version port.WeightVersion, completed bool) { return r.target, r.completed }

// published takes a newer version as target, or lets it wait while the present
// target has already been put off for a newer one or is being switched to.
func (r *Rollout) published(version port.WeightVersion) {
	if version <= max(r.target, r.next) {
		return
	}
	busy := !r.completed && (r.switching || r.skipped >= maxSkipped)
	if busy {
		r.next, r.nextHeard = version, r.now
		return
	}
	if !r.completed {
		r.skipped++
		r.note("", fmt.Sprintf("version %d gives way to version %d before it was switched to", r.target, version))
	}
	r.begin(version, r.now)
}

// begin makes a version the target.
func (r *Rollout) begin(version port.WeightVersion, heard time.Time) {
	r.target, r.heard = version, heard
	r.next = 0
	r.mostStaged, r.progressed = 0, heard
	r.switching, r.completed = false, false
	r.ordered, r.announced = false, false
	for _, replica := range r.replicas {
		replica.tries, replica.after = 0, time.Time{}
		if replica.order != nil && replica.order.kind == port.OrderStage {
			replica.order = nil
		}
	}
}

func (r *Rollout) replicasChanged(listed []Replica) {
	known := make(map[port.ReplicaID]*replica, len(listed))
	r.replicas = r.replicas[:0]
	for _, entry := range listed {
		member := r.byID[entry.ID]
		if member == nil {
			member = &replica{id: entry.ID}
		}
		if known[entry.ID] != nil {
			continue
		}
		member.reachable = entry.Reachable
		known[entry.ID] = member
		r.replicas = append(r.replicas, member)
	}
	slices.SortFunc(r.replicas, func(a, b *replica) int { return cmp.Compare(a.id, b.id) })
	r.byID = known
}

// advance gives the orders that are due.
func (r *Rollout) advance() {
	if r.target == 0 || r.fenced {
		return
	}
	for _, replica := range r.replicas {
		r.expire(replica)
	}
	r.decideSwitch()
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
	r.askAgain()
	r.decideCompleted()
}

// mayStage takes the staging turn before the switch, and gives it back after.
// What must be staged again later, on a replica that came late, needs no turn:
// it waits for no other replica.
func (r *Rollout) mayStage() bool {
	if r.switching || r.completed {
		r.config.Turn.pass(r.config.Pool)
		return true
	}
	behind := func(member *replica) bool {
		return member.reachable && !member.reported.IsZero() && member.version != r.target
	}
	if !slices.ContainsFunc(r.replicas, behind) {
		r.config.Turn.pass(r.config.Pool)
		return true
	}
	return r.config.Turn.take(r.now, r.config.Pool, r.config.StageDeadline)
}

// Stop gives the staging turn back; the rollout must not be stepped any more.
func (r *Rollout) Stop() {
	r.fenced = true
	r.config.Turn.pass(r.config.Pool)
}

// needsOrder says whether a replica could be given an order now.
func (r *Rollout) needsOrder(member *replica) bool {
	known := member.reachable && !member.reported.IsZero()
	return known && member.version != r.target && member.order == nil && !r.now.Before(member.after)
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

// progressShare divides StageDeadline: past the deadline the switch still waits
// while another replica has staged within this share of it.
const progressShare = 4

// decideSwitch begins the activation when all reachable replicas have staged,
// or enough of them at the deadline.
func (r *Rollout) decideSwitch() {
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
	if staged > r.mostStaged {
		r.mostStaged, r.progressed = staged, r.now
	}
	late := r.now.Sub(r.heard) >= r.config.StageDeadline && r.now.Sub(r.progressed) >= r.config.StageDeadline/progressShare
	enough := staged > 0 && float64(staged) >= r.config.ActivateShare*float64(reachable)
	if staged == reachable || (late && enough) {
		r.switching, r.switchBegan = true, r.now
		r.note("", fmt.Sprintf("switch to version %d on %d of %d reachable replicas", r.target, staged, reachable))
	}
}

// decideCompleted says once that every reachable replica serves the target, and
// goes on to the version that waits.
func (r *Rollout) decideCompleted() {
	if r.completed {
		r.reopen()
		return
	}
	serving := 0
	for _, replica := range r.replicas {
		if !replica.reachable {
			continue
		}
		if replica.version != r.target || replica.reported.IsZero() {
			r.giveWay()
			return
		}
		serving++
	}
	if serving == 0 {
		return
	}
	done := Completed{Version: r.target, Replicas: serving, Duration: r.now.Sub(r.heard)}
	if r.switching {
		done.Switch = r.now.Sub(r.switchBegan)
	}
	r.completed, r.skipped = true, 0
	if r.ordered && !r.announced {
		r.announced = true
		r.actions = append(r.actions, done)
	}
	r.takeNext()
}

// reopen begins the switch anew when a replica fell off the target.
func (r *Rollout) reopen() {
	for _, replica := range r.replicas {
		if replica.reachable && !replica.reported.IsZero() && replica.version != r.target {
			r.completed, r.switching, r.switchBegan = false, true, r.now
			return
		}
	}
}

// giveWay lets a waiting version begin although some replicas never came to
// serve the target: its switch has had its time.
func (r *Rollout) giveWay() {
	if r.next != 0 && r.switching && r.now.Sub(r.switchBegan) >= r.config.ActivateTimeout {
		r.note("", fmt.Sprintf("version %d is not served everywhere; going on to version %d", r.target, r.next))
		r.skipped = 0
		r.takeNext()
	}
}

func (r *Rollout) takeNext() {
	if r.next != 0 {
		r.begin(r.next, r.nextHeard)
	}
}

// send gives an order and records it.
func (r *Rollout) send(to *replica, kind port.OrderKind) {
	r.ordered = true
	to.order = &outstanding{kind: kind, version: r.target, sent: r.now, asked: r.now, asking: true}
	r.actions = append(r.actions, SendOrder{Replica: to.id, Order: r.config.order(kind, r.target)})
	r.note(to.id, fmt.Sprintf("%s version %d, serves %d", kind, r.target, to.version))
}

// note records a decision on a replica, or on the pool's weights.
func (r *Rollout) note(about port.ReplicaID, detail string) {
	subject := string(about)
	if about == "" {
		subject = fmt.Sprintf("w-%s-%d", r.config.Pool, r.target)
	}
	r.actions = append(r.actions, Record{Decision: port.Decision{
		Kind: port.DecisionOrdered, Subject: subject, Time: r.now.UnixMilli(), Node: r.config.Node,
		Pool: r.config.Pool, Replica: about, Version: r.target, Detail: detail,
	}})
}
