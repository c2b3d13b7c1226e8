package fault

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/core/poolworker"
	"github.com/loomgrade/loomgrade/internal/core/retry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Timing of the nodes; the values are the defaults of the production node.
const (
	nodeTick           = 50 * time.Millisecond
	machineInterval    = time.Second
	configurationLease = 5 * time.Second
	callTimeout        = 2 * time.Second
	summaryInterval    = 200 * time.Millisecond
	aggregateInterval  = time.Second
	reportInterval     = time.Second
	// rebuildCost is the reported cost of a snapshot rebuild, which limits their rate.
	rebuildCost = time.Millisecond
	// summaryBytes is the size of one replica in a summary.
	summaryBytes = 60
)

// node is a node process with the production decision code.
type node struct {
	process
	world *world
	id    port.NodeID
	// The fields below are lost when the process dies.
	state            *nodestate.State
	snapshot         *nodestate.Snapshot
	chooser          *placement.Chooser
	random           *rand.Rand
	budgets          map[port.PoolName]*retry.Budget
	replicaCounts    map[port.ReplicaID]*counter
	zoneCounts       map[nodestate.ZonePool]*counter
	polled           map[port.ReplicaID]int
	workers          map[port.PoolName]*worker
	leaseSelector    *poolworker.LeaseSelector
	confirmedUntil   time.Time
	machinesPolledAt time.Time
	requests         uint64
	polls            int
	// inflight counts accepted requests without a response.
	inflight  int
	draining  bool
	onStopped func()
}

// counter counts the attempts sent to a replica or zone.
type counter struct{ sent, finished int64 }

// Counts implements nodestate.Counter.
func (c *counter) Counts() placement.Counts {
	return placement.Counts{Sent: c.sent, Finished: c.finished}
}

func (w *world) newNode(index int) *node {
	zone := w.zone(index)
	n := &node{
		process: process{name: fmt.Sprintf("node-%d", index), zone: zone, internal: true},
		world:   w, id: port.NodeID(fmt.Sprintf("n%d", index)),
	}
	return n
}

// start starts the process with empty state.
func (n *node) start() {
	w := n.world
	n.up = true
	n.draining, n.inflight, n.onStopped = false, 0, nil
	n.random = rand.New(rand.NewPCG(w.options.Seed, uint64(len(n.name))*1000+uint64(n.incarnation)*17+hashOf(n.name)))
	n.chooser = placement.New(n.random)
	n.budgets = make(map[port.PoolName]*retry.Budget)
	n.replicaCounts = make(map[port.ReplicaID]*counter)
	n.zoneCounts = make(map[nodestate.ZonePool]*counter)
	n.polled = make(map[port.ReplicaID]int)
	n.workers = make(map[port.PoolName]*worker)
	n.leaseSelector = poolworker.NewLeaseSelector(n.id)
	n.confirmedUntil, n.machinesPolledAt = time.Time{}, time.Time{}
	n.snapshot = nodestate.EmptySnapshot(n.zone)
	n.state = nodestate.New(nodestate.Config{
		Self: n.id, Zone: n.zone, Region: "region", PeerAddress: n.peerAddress(), HTTPAddress: n.peerAddress(),
		Incarnation: uint64(w.clock().UnixMilli()),
		Summary:     summaryInterval, Aggregate: aggregateInterval, Report: reportInterval,
		NewGate:        n.newGate,
		ReplicaCounter: func(id port.ReplicaID) nodestate.Counter { return n.replicaCounter(id) },
		ZoneCounter:    func(key nodestate.ZonePool) nodestate.Counter { return n.zoneCounter(key) },
		MessageBytes:   func(summary membership.HomeSummary) int { return summaryBytes * len(summary.Replicas) },
	}, w.clock())
	n.state.SetRebuildCost(rebuildCost)
	w.control.watch(n)
	n.every(nodeTick, n.tick)
	n.every(nodestate.MachinePollCheckInterval(machineInterval), n.pollMachines)
	n.every(workerTick, n.tickWorkers)
	n.every(leaseInterval, n.acquireLeases)
}

func (n *node) peerAddress() string { return "10.0.0." + string(n.id[1:]) + ":7000" }

// every runs work periodically while the process lives.
func (n *node) every(interval time.Duration, run func()) {
	incarnation := n.incarnation
	var again func()
	again = func() {
		if n.incarnation == incarnation && n.up {
			run()
			n.world.after(interval, again)
		}
	}
	n.world.after(time.Duration(n.random.Int64N(int64(interval))), again)
}

func (n *node) replicaCounter(id port.ReplicaID) *counter {
	if n.replicaCounts[id] == nil {
		n.replicaCounts[id] = &counter{}
	}
	return n.replicaCounts[id]
}

func (n *node) zoneCounter(key nodestate.ZonePool) *counter {
	if n.zoneCounts[key] == nil {
		n.zoneCounts[key] = &counter{}
	}
	return n.zoneCounts[key]
}

func (n *node) tick() {
	n.state.Tick(n.world.clock(), true)
	n.carryOut()
}

// carryOut executes the outputs of the state.
func (n *node) carryOut() {
	output := n.state.Flush()
	for _, message := range output.Messages {
		n.sendTo(message)
	}
	for _, decided := range output.Decisions {
		n.world.recordDecision(n, decided)
	}
	if output.Snapshot != nil {
		n.snapshot = output.Snapshot
	}
	for _, id := range output.Stopped {
		delete(n.polled, id)
	}
	for _, poll := range output.Started {
		n.polls++
		n.polled[poll.Replica.ID] = n.polls
		n.poll(poll, n.polls)
	}
	if output.Report != nil {
		report := *output.Report
		n.world.sendMessage(&n.process, &n.world.control.process, func() { n.world.control.report(report) })
	}
}

// sendTo sends a one-way message to another node.
func (n *node) sendTo(message nodestate.Envelope) {
	target := n.world.node(message.To.ID)
	if target == nil {
		return
	}
	n.world.sendMessage(&n.process, &target.process, func() {
		now := n.world.clock()
		switch body := message.Body.(type) {
		case membership.Message:
			target.state.HandleMembership(now, body)
		case membership.HomeSummary:
			target.state.HandleSummary(now, body)
		case nodestate.AggregatesMessage:
			target.state.HandleAggregates(now, body)
		case nodestate.MachinesMessage:
			target.state.HandleMachines(now, body)
		case nodestate.OutcomesMessage:
			target.state.HandleOutcomes(now, body.Outcomes)
		}
		target.state.RebuildIfDue(now)
		target.carryOut()
	})
}

// viewUpdate applies a view of the control state.
func (n *node) viewUpdate(update port.ViewUpdate) {
	_, confirmed, err := n.state.ViewUpdate(n.world.clock(), update)
	if err == nil && confirmed {
		n.confirmedUntil = n.world.clock().Add(configurationLease)
	}
	n.state.RebuildIfDue(n.world.clock())
	n.carryOut()
}

func (n *node) confirmed() bool { return n.world.clock().Before(n.confirmedUntil) }

// poll polls an engine's load and cache events while this node is its home.
func (n *node) poll(replicaPoll nodestate.Poll, number int) {
	incarnation := n.incarnation
	target := n.world.engineAt(replicaPoll.Replica.Address)
	poolGate := replicaPoll.Gate.(*nodeGate)
	var again func()
	again = func() {
		if n.incarnation != incarnation || !n.up || n.polled[replicaPoll.Replica.ID] != number {
			return
		}
		n.pollOnce(target, poolGate)
		n.world.after(loadInterval, again)
	}
	again()
}

func (n *node) pollOnce(target *modelEngine, poolGate *nodeGate) {
	w := n.world
	sentAt := w.clock()
	incarnation := n.incarnation
	answered := false
	w.after(callTimeout, func() {
		if !answered && n.incarnation == incarnation {
			n.handleLoadReport(sentAt, target.id, port.LoadReport{}, port.NewError(port.MayHaveRun, port.CodeUnavailable, "no answer"))
		}
	})
	after := poolGate.gate.LastCacheEvent(target.id)
	w.sendMessage(&n.process, &target.process, func() {
		report, visible := target.load()
		events, gap := target.cacheEvents(after)
		w.after(w.pollDelay(target), func() {
			w.sendMessage(&target.process, &n.process, func() {
				if n.incarnation != incarnation || !visible {
					return
				}
				answered = true
				poolGate.gate.CacheEvents(target.id, events, gap)
				n.handleLoadReport(sentAt, target.id, report, nil)
			})
		})
	})
}

func (n *node) handleLoadReport(sentAt time.Time, replica port.ReplicaID, report port.LoadReport, failure *port.Error) {
	now := n.world.clock()
	n.state.HandleLoadReport(now, sentAt, replica, report, failure)
	n.state.RebuildIfDue(now)
	n.carryOut()
}

// pollMachines polls the machine list if it is this node's turn.
func (n *node) pollMachines() {
	w := n.world
	now := w.clock()
	if !nodestate.ShouldPollMachines(now, machineInterval, n.snapshot.ZoneNodes, n.id, n.machinesPolledAt, n.state.MachinesReceivedAt()) {
		return
	}
	n.machinesPolledAt = now
	w.sendMessage(&n.process, &w.machines.process, func() {
		leaving := home.FilterLeaving(w.machines.list())
		w.sendMessage(&w.machines.process, &n.process, func() { n.broadcastMachines(leaving) })
	})
}

func (n *node) broadcastMachines(leaving []port.Machine) {
	now := n.world.clock()
	message := nodestate.MachinesMessage{Node: n.id, Leaving: leaving}
	n.state.HandleMachines(now, message)
	n.state.RebuildIfDue(now)
	n.carryOut()
	for _, id := range n.snapshot.ZoneNodes {
		if address, found := n.snapshot.Nodes[id]; found && id != n.id {
			n.sendTo(nodestate.Envelope{To: address, Body: message})
		}
	}
}

// decide returns the retry decision function of a pool.
func (n *node) decide(pool *port.Pool) func(retry.Attempt) retry.Decision {
	return func(last retry.Attempt) retry.Decision {
		return retry.FromConfiguration(pool.Retry).Decide(n.world.clock(), last, n.budget(pool), n.random)
	}
}

func (n *node) budget(pool *port.Pool) *retry.Budget {
	budget := n.budgets[pool.Name]
	if budget == nil {
		budget = retry.NewBudget(pool.Retry.BudgetRatio, n.world.clock())
		n.budgets[pool.Name] = budget
	}
	return budget
}

// kill ends the process immediately.
func (n *node) kill() {
	if n.up {
		n.world.kill(&n.process)
	}
}

// drain stops the process gracefully and calls done when it has stopped.
func (n *node) drain(done func()) {
	n.draining = true
	n.onStopped = done
	n.state.Drain(n.world.clock())
	n.carryOut()
	for _, pool := range n.workerPools() {
		run := n.workers[pool]
		run.carryOut(run.machine.Drain(n.world.clock()))
	}
	n.stopIfIdle()
}

// stopIfIdle ends a draining process once no requests or workers remain.
func (n *node) stopIfIdle() {
	if n.onStopped == nil || n.inflight > 0 || len(n.workers) > 0 {
		return
	}
	done := n.onStopped
	n.onStopped = nil
	incarnation := n.incarnation
	// Wait for the last responses to arrive.
	n.world.after(latencyBetween+2*latencyJitter, func() {
		if n.incarnation == incarnation && n.up {
			n.kill()
			done()
		}
	})
}

// trackRequest counts a request as in flight until end is called.
func (n *node) trackRequest() (end func()) {
	n.inflight++
	incarnation := n.incarnation
	return func() {
		if n.incarnation == incarnation {
			n.inflight--
			n.stopIfIdle()
		}
	}
}
