package fleet

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	appnode "github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Pacing of the coordinators, as in the node process.
const (
	leaseInterval     = 200 * time.Millisecond
	rankDelay         = 500 * time.Millisecond
	workerTick        = 100 * time.Millisecond
	poolStateInterval = 500 * time.Millisecond
	poolStatePerHome  = 10 * time.Millisecond
	leaseMargin       = 10
	renewals          = 3
	orderTimeout      = 15 * time.Second
)

// coordination is one pool's work under its lease at one node.
type coordination struct {
	node        *node
	pool        int
	name        port.PoolName
	epoch       port.Epoch
	leaseUntil  time.Duration
	nextRenewal time.Duration
	renewing    bool
	done        bool
	coordinator *coordinator.Coordinator
	rollout     *rollout.Rollout
	weights     port.WeightVersion
	polling     bool
	nextPoll    time.Duration
	turn        int // of the replicas, for new samples
	runs        []*run
	finished    int // of runs
}

// lookForLeases acquires leases that nobody holds when it is this node's turn.
func (n *node) lookForLeases() time.Duration {
	if !n.confirmed() {
		return leaseInterval
	}
	view := n.observer.View()
	now := n.fleet.wall().UnixMilli()
	for number := range trainers {
		name := poolName(number)
		if n.holds(name) {
			continue
		}
		lease, exists := findLease(view, port.CoordinatorLease(name))
		if exists && lease.Holder != n.address.ID && lease.Expires > now {
			delete(n.free, name)
			continue
		}
		since, known := n.free[name]
		if !known {
			n.free[name], since = n.fleet.now, n.fleet.now
		}
		if n.isTurn(view, port.CoordinatorLease(name), int((n.fleet.now-since)/rankDelay)) {
			n.acquire(number)
		}
	}
	return leaseInterval
}

func (n *node) holds(pool port.PoolName) bool {
	return slices.ContainsFunc(n.held, func(held *coordination) bool { return held.name == pool })
}

func findLease(view *port.View, name string) (port.Lease, bool) {
	index := slices.IndexFunc(view.Leases, func(lease port.Lease) bool { return lease.Name == name })
	if index < 0 {
		return port.Lease{}, false
	}
	return view.Leases[index], true
}

// isTurn says whether at most some nodes go before this one in a lease's
// rendezvous ranking.
func (n *node) isTurn(view *port.View, lease string, before int) bool {
	ids := make([]port.NodeID, 0, len(view.Nodes))
	for _, node := range view.Nodes {
		ids = append(ids, node.ID)
	}
	for range min(before+1, len(ids)) {
		first, _ := membership.NewAssigner(ids).HomeOf(lease)
		if first == n.address.ID {
			return true
		}
		ids = slices.DeleteFunc(ids, func(id port.NodeID) bool { return id == first })
	}
	return false
}

func (n *node) acquire(pool int) {
	held := &coordination{node: n, pool: pool, name: poolName(pool)}
	n.held = append(n.held, held)
	sent := n.fleet.now
	command := port.Command{AcquireLease: &port.AcquireLease{
		Name: port.CoordinatorLease(held.name), Holder: n.address.ID, TTL: appnode.DefaultCoordinatorLease,
	}}
	n.propose(workLeases, command, appnode.DefaultCallTimeout, func(result port.Result, done bool) {
		if !done || result.Error != nil || result.Lease == nil {
			held.lose()
			return
		}
		held.epoch = result.Lease.Epoch
		held.hold(sent)
		n.fleet.granted(held)
		held.readLedger()
	})
}

// hold notes that the lease was granted or renewed by a request sent then.
func (c *coordination) hold(sent time.Duration) {
	length := appnode.DefaultCoordinatorLease
	c.leaseUntil = sent + length - length/leaseMargin
	c.nextRenewal = sent + length/renewals
}

func (c *coordination) wallAt(at time.Duration) time.Time {
	return c.node.fleet.wall().Add(at - c.node.fleet.now)
}

// readLedger reads the pool's delivery state and then begins.
func (c *coordination) readLedger() {
	command := port.Command{CommitBatch: &port.CommitBatch{Pool: c.name, CoordinatorEpoch: c.epoch}}
	c.node.propose(workSampling, command, appnode.DefaultCallTimeout, func(result port.Result, done bool) {
		if c.done || !done || result.Ledger == nil {
			c.lose()
			return
		}
		c.begin(*result.Ledger)
	})
}

// begin makes the state machines from the ledger and the view.
func (c *coordination) begin(ledger port.LedgerState) {
	f := c.node.fleet
	weights := viewWeights(c.node.observer.View(), c.name)
	c.weights = weights.Version
	made, err := rollout.New(rollout.Config{
		Pool: c.name, Fence: c.epoch, Node: c.node.address.ID, WeightStore: weightStoreURL, Weights: weights, Seed: f.options.Seed,
	}, f.wall())
	if err != nil {
		f.violate("rollout", "%v", err)
	}
	c.rollout = made
	if f.options.Samples > 0 {
		c.coordinator, err = coordinator.New(coordinator.Config{
			Pool: c.name, Sampling: *pool(c.pool, f.options.Samples).Sampling, Epoch: c.epoch, Node: c.node.address.ID,
			LeaseUntil: c.wallAt(c.leaseUntil), Ledger: ledger, Weights: weights, Seed: f.options.Seed ^ uint64(c.epoch),
		})
		if err != nil {
			f.violate("coordinator", "%v", err)
		}
	}
	f.every(&c.node.endpoint, workSampling, f.between(0, workerTick), c.tick)
	f.trainers[c.pool].found(c)
}

func viewWeights(view *port.View, pool port.PoolName) port.PublishedWeights {
	for _, weights := range view.Weights {
		if weights.Pool == pool {
			return weights
		}
	}
	return port.PublishedWeights{Pool: pool}
}

func (c *coordination) tick() time.Duration {
	if c.done {
		return day
	}
	f := c.node.fleet
	c.renew()
	c.pollStates()
	c.step(coordinator.Tick{})
	c.stepRollout(rollout.Tick{})
	f.trainers[c.pool].ask(c)
	return workerTick
}

// renew sends a renewal when it is time and stops when the lease ran out.
func (c *coordination) renew() {
	now := c.node.fleet.now
	if now >= c.leaseUntil {
		c.lose()
		return
	}
	if c.renewing || now < c.nextRenewal {
		return
	}
	c.renewing = true
	command := port.Command{AcquireLease: &port.AcquireLease{
		Name: port.CoordinatorLease(c.name), Holder: c.node.address.ID, TTL: appnode.DefaultCoordinatorLease, Epoch: c.epoch,
	}}
	c.node.propose(workLeases, command, c.leaseUntil-now, func(result port.Result, done bool) {
		c.renewing = false
		switch {
		case c.done:
		case !done:
			c.nextRenewal = c.node.fleet.now + workerTick
		case result.Error != nil:
			c.lose()
		default:
			c.hold(now)
			c.step(coordinator.LeaseRenewed{Until: c.wallAt(c.leaseUntil)})
		}
	})
}

// lose ends the work: the lease ran out or belongs to someone else.
func (c *coordination) lose() {
	if c.done {
		return
	}
	c.step(coordinator.LeaseLost{})
	c.done = true
	c.node.held = slices.DeleteFunc(c.node.held, func(held *coordination) bool { return held == c })
	delete(c.node.free, c.name)
	c.abandonRuns()
}

// loseAll ends all coordination of a node that stops.
func (n *node) loseAll() {
	for _, held := range slices.Clone(n.held) {
		held.done = true
		held.abandonRuns()
	}
	n.held = nil
}

// followView tells of new weights.
func (c *coordination) followView(view *port.View) {
	weights := viewWeights(view, c.name)
	if c.rollout == nil || weights.Version <= c.weights {
		return
	}
	c.weights = weights.Version
	c.step(coordinator.WeightsPublished{Weights: weights})
	c.stepRollout(rollout.Published{Weights: weights})
}

// pollStates asks the homes of the pool's replicas for their state.
func (c *coordination) pollStates() {
	now := c.node.fleet.now
	if c.polling || now < c.nextPoll || c.rollout == nil {
		return
	}
	c.polling = true
	states := make(map[port.ReplicaID]replicaState)
	var homes []port.NodeID
	for _, replica := range c.node.observer.View().Configuration.Replicas {
		if replica.Pool != c.name {
			continue
		}
		states[replica.ID] = replicaState{Replica: replica.ID}
		if home, found := c.node.homes.home(replica.Zone, replica.ID); found {
			homes = append(homes, home)
		}
	}
	slices.Sort(homes)
	homes = slices.Compact(homes)
	c.nextPoll = now + poolStateInterval
	if _, completed := c.rollout.Target(); completed {
		c.nextPoll = now + max(poolStateInterval, time.Duration(len(homes))*poolStatePerHome)
	}
	open := len(homes)
	for _, home := range homes {
		c.askHome(home, func(answer poolStateAnswer) {
			for _, state := range answer.Replicas {
				if _, listed := states[state.Replica]; listed {
					states[state.Replica] = state
				}
			}
			if open--; open == 0 {
				c.polling = false
				c.takeStates(states)
			}
		})
	}
	c.polling = open > 0
}

func (c *coordination) askHome(id port.NodeID, take func(poolStateAnswer)) {
	f := c.node.fleet
	home := f.nodeOf(id)
	call := message{workPoolStates, wire.KindCall, methodPoolState, poolStateCall{Pool: c.name, Fence: c.epoch}}
	f.call(&c.node.endpoint, &home.endpoint, call, appnode.DefaultCallTimeout, func(body []byte, reply func(any)) {
		var received poolStateCall
		f.decode(body, &received)
		var answer poolStateAnswer
		for _, owned := range home.owned {
			if owned.replica.Pool == received.Pool {
				answer.Replicas = append(answer.Replicas, owned.state())
			}
		}
		reply(answer)
	}, func(body []byte, answered bool) {
		var answer poolStateAnswer
		if answered {
			f.decode(body, &answer)
		}
		take(answer)
	})
}

// takeStates hands the states of all replicas to the state machines.
func (c *coordination) takeStates(states map[port.ReplicaID]replicaState) {
	if c.done {
		return
	}
	ids := make([]port.ReplicaID, 0, len(states))
	for id := range states {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var usable []policy.Replica
	members := make([]rollout.Replica, 0, len(ids))
	for _, id := range ids {
		state := states[id]
		members = append(members, rollout.Replica{ID: id, Reachable: state.Reachable})
		if state.Routable {
			usable = append(usable, policy.Replica{ID: id, Version: state.Report.Version, Running: state.Inflight, Limit: state.Limit})
		}
	}
	c.step(coordinator.CapacityChanged{Replicas: usable})
	c.stepRollout(rollout.ReplicasChanged{Replicas: members})
	for _, id := range ids {
		if state := states[id]; state.Reachable {
			c.stepRollout(rollout.LoadReported{Replica: id, Report: state.Report})
		}
	}
}

// stepRollout hands an event to the rollout and carries its actions out.
func (c *coordination) stepRollout(event rollout.Event) {
	f := c.node.fleet
	if c.done || c.rollout == nil {
		return
	}
	for _, action := range c.rollout.Step(f.wall(), event) {
		switch action := action.(type) {
		case rollout.SendOrder:
			f.weights.ordered(c.pool, action.Order)
			c.node.sendOrder(f.engines[action.Replica], action.Order, orderTimeout, func(report port.LoadReport, err *port.Error) {
				c.stepRollout(rollout.OrderAnswered{Replica: action.Replica, Order: action.Order, Report: report, Err: err})
			})
		case rollout.Completed:
			f.weights.completed(c.pool, action)
		case rollout.FencedOff:
			c.lose()
		}
	}
}
