package fleet

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/control"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/lab/virtual"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// warmUp passes before anything is counted: nodes start, load the view and
	// find each other.
	warmUp = 15 * time.Second
	// settleTime follows the run, without changes and faults.
	settleTime = 7 * time.Second
	// wallStart is the time of day at virtual time 0, in seconds since 1970.
	wallStart = 1_800_000_000
	// maxViolations ends the collection of broken invariants.
	maxViolations = 20
)

// Violation is a broken invariant.
type Violation struct {
	Check  string        `json:"check"`
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"detail"`
}

// Fleet is one run.
type Fleet struct {
	virtual.Queue
	options    Options
	random     *rand.Rand
	network    network
	members    []*member
	nodes      []*node
	byID       map[port.NodeID]*node
	engines    map[port.ReplicaID]*engine
	byPool     [trainers][]*engine
	poolNumber map[port.PoolName]int
	trainers   [trainers]*trainer
	holders    [trainers]*worker
	store      store
	inForce    inForce
	changes    changes
	faults     faults
	weights    weights
	placements placements
	rebuilds   rebuilds
	// commits are the times that commits of batches took.
	commits    []time.Duration
	pollCosts  []pollCost
	promptText string
	changeIDs  uint64
	endFrame   int
	pingFrame  int
	settling   bool
	violations []Violation
}

// newFleet builds the processes; nothing has run yet.
func newFleet(options Options) (*Fleet, error) {
	f := &Fleet{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 0x666c656574)),
		byID: make(map[port.NodeID]*node), engines: make(map[port.ReplicaID]*engine),
		poolNumber: make(map[port.PoolName]int), promptText: strings.Repeat("p", promptBytes),
	}
	f.network = network{fleet: f, cut: -1, clients: make([][]*endpoint, options.Nodes)}
	f.store.fleet, f.changes.fleet, f.faults.fleet, f.weights.fleet = f, f, f, f
	f.inForce = inForce{fleet: f, lags: newHistogram(), catchUps: newHistogram()}
	costs, err := measurePolls()
	if err != nil {
		return nil, fmt.Errorf("measure polls of engines: %w", err)
	}
	f.pollCosts = costs
	f.measureFrames()
	f.addEngines()
	f.addNodes()
	return f, f.addMembers()
}

func (f *Fleet) addEngines() {
	for number := range trainers {
		f.poolNumber[poolName(number)] = number
	}
	for number := range f.options.Replicas {
		made := newEngine(f, replica(number))
		f.engines[made.replica.ID] = made
		f.byPool[number%trainers] = append(f.byPool[number%trainers], made)
	}
}

func (f *Fleet) addNodes() {
	for number := range f.options.Nodes {
		made := &node{
			endpoint: endpoint{place: placeOf(number % zones), number: number}, fleet: f, number: number, address: nodeAddress(number),
		}
		f.nodes = append(f.nodes, made)
		f.byID[made.address.ID] = made
	}
}

// addMembers makes the control members: up to five voters, one a region, and
// learners after them. They start from one snapshot.
func (f *Fleet) addMembers() error {
	var membership consensus.Membership
	for number := range f.options.Members {
		id := consensus.MemberID(number + 1)
		if number < regions {
			membership.Voters = append(membership.Voters, id)
		} else {
			membership.Learners = append(membership.Learners, id)
		}
	}
	membership.HighestID = consensus.MemberID(f.options.Members)
	first, err := f.firstSnapshot(membership)
	if err != nil {
		return err
	}
	for number := range f.options.Members {
		made, err := newMember(f, consensus.MemberID(number+1), placeOf(number), first)
		if err != nil {
			return err
		}
		f.members = append(f.members, made)
	}
	for _, n := range f.nodes {
		n.members = f.nearest(n.place)
	}
	return nil
}

// firstSnapshot makes the state with the first configuration, all nodes, one
// consumer for each pool and its first weights.
func (f *Fleet) firstSnapshot(membership consensus.Membership) (consensus.Snapshot, error) {
	state := controlstate.New()
	index := uint64(0)
	apply := func(command port.Command) port.Result {
		index++
		command.Time = f.wall().UnixMilli()
		return state.Apply(index, 1, command)
	}
	result := apply(port.Command{ChangeID: f.changeID(), ChangeConfiguration: &port.ChangeConfiguration{Edits: edits(f.options)}})
	if result.Error != nil {
		return consensus.Snapshot{}, result.Error
	}
	f.inForce.first = result.Revision
	for _, n := range f.nodes {
		apply(port.Command{RegisterNode: &port.RegisterNode{Node: n.address}})
	}
	for number := range trainers {
		name := poolName(number)
		apply(port.Command{PublishWeights: &port.PublishWeights{Pool: name, Version: 1, Bytes: uint64(f.options.WeightBytes)}})
		registered := apply(port.Command{ChangeID: f.changeID(), RegisterConsumer: &port.RegisterConsumer{Pool: name, Consumer: "trainer"}})
		if registered.Error != nil || registered.Consumer == nil {
			return consensus.Snapshot{}, fmt.Errorf("register consumer: %v", registered.Error)
		}
		f.trainers[number] = &trainer{fleet: f, pool: number, epoch: registered.Consumer.Epoch, next: registered.Consumer.Next}
	}
	data, err := state.Snapshot()
	return consensus.Snapshot{Index: index, Term: 1, Membership: membership, Data: data}, err
}

// nearest gives the members by their distance from a place.
func (f *Fleet) nearest(from place) []*member {
	sorted := make([]*member, len(f.members))
	copy(sorted, f.members)
	// A learner stands beside a voter; nodes of its region share the two.
	spread := from.zone / regions
	slices.SortStableFunc(sorted, func(a, b *member) int {
		return cmp.Or(cmp.Compare(latency(from, a.place), latency(from, b.place)), cmp.Compare((int(a.id)+spread)%2, (int(b.id)+spread)%2))
	})
	return sorted
}

// wall gives the time of day.
func (f *Fleet) wall() time.Time { return time.Unix(wallStart, 0).Add(f.Now()) }

// changeID gives a new id of a change.
func (f *Fleet) changeID() string {
	f.changeIDs++
	return fmt.Sprintf("%d-%016x", f.wall().UnixMilli(), f.changeIDs)
}

// between draws a time.
func (f *Fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)))
}

// exponential draws the time to the next event of a Poisson process.
func (f *Fleet) exponential(mean time.Duration) time.Duration {
	return time.Duration(f.random.ExpFloat64() * float64(mean))
}

func (f *Fleet) nodeOf(id port.NodeID) *node { return f.byID[id] }

// leader gives the leading member of the highest term, or nil.
func (f *Fleet) leader() *member {
	var found *member
	for _, m := range f.members {
		if m.up && m.core.IsLeader() && (found == nil || m.core.Status().Term > found.core.Status().Term) {
			found = m
		}
	}
	return found
}

func (f *Fleet) leaderPlace() place {
	if leader := f.leader(); leader != nil {
		return leader.place
	}
	return f.members[0].place
}

// later runs work in a coordinator some time from now, if it still is one.
func (f *Fleet) later(w *worker, delay time.Duration, run func()) {
	f.After(delay, func() {
		if !w.done && w.node.up {
			f.charge(&w.node.endpoint, workSampling, run)
		}
	})
}

// granted notes a lease's new holder: nobody else may hold it by its own clock.
func (f *Fleet) granted(to *worker) {
	if before := f.holders[to.pool]; before != to && before.holds() {
		f.violate("one holder", "%s is granted to %s with epoch %d, %s holds epoch %d", to.name,
			to.node.address.ID, to.core.Epoch(), before.node.address.ID, before.core.Epoch())
	}
	f.holders[to.pool] = to
}

// stopNode takes a node down; samples through it are lost.
func (f *Fleet) stopNode(n *node) {
	n.stop()
	for _, holder := range f.holders {
		if holder.holds() {
			holder.nodeLost(n)
		}
	}
}

func (f *Fleet) violate(check, format string, arguments ...any) {
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, Violation{Check: check, At: f.Now(), Detail: fmt.Sprintf(format, arguments...)})
	}
}

// Run runs a fleet and gives what it measured.
func Run(options Options) (*Result, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began, cpu := time.Now(), processCPU()
	f, err := newFleet(options)
	if err != nil {
		return nil, err
	}
	for _, n := range f.nodes {
		f.After(f.between(control.DefaultTick, 2*time.Second), n.start)
	}
	f.RunUntil(warmUp)
	f.beginCount()
	counted := processCPU()
	f.changes.schedule()
	f.faults.schedule()
	f.RunUntil(warmUp + options.Length)
	result := f.collect()
	result.Process.CountedCPU = processCPU() - counted
	f.settling = true
	f.network.cut = -1
	f.RunUntil(f.Now() + settleTime)
	f.checkConverged()
	f.finish(result)
	result.Process.CPU, result.Process.Wall = processCPU()-cpu, time.Since(began)
	return result, nil
}

// beginCount forgets what was counted so far.
func (f *Fleet) beginCount() {
	for _, n := range f.nodes {
		n.tally = tally{}
	}
	for _, m := range f.members {
		m.tally = tally{}
		m.syncsBefore, m.writtenBefore = m.log.Syncs(), m.disk.written
	}
	f.inForce.lags.Reset()
	f.inForce.catchUps.Reset()
	f.placements, f.rebuilds = placements{}, rebuilds{}
}
