package node

import (
	"context"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/core/poolworker"
	"github.com/loomgrade/loomgrade/internal/port"
)

// statesPolled is the polled state of the pool's replicas.
type statesPolled struct{ replicas []nodestate.ReplicaState }

func (e statesPolled) apply(w *poolWorker, now time.Time) {
	w.carryOut(w.machine.StatesPolled(now, e.replicas))
}

// pollHomes polls the homes of an engine pool for the state of their replicas.
func (w *poolWorker) pollHomes(action poolworker.PollHomes) {
	call := nodestate.PoolStateCall{Pool: action.Pool, Fence: action.Fence, Excluded: action.Excluded}
	w.post(statesPolled{w.node.poolStates(w.ctx, call)})
}

// poolStates polls every home of a pool's replicas. Replicas whose home does not
// answer are returned as not reachable.
func (n *Node) poolStates(ctx context.Context, call nodestate.PoolStateCall) []nodestate.ReplicaState {
	homes := make(map[port.NodeID]port.NodeAddress)
	byReplica := make(map[port.ReplicaID]nodestate.ReplicaState)
	for id, replica := range n.snapshot.Load().Replicas {
		if replica.Pool != call.Pool {
			continue
		}
		byReplica[id] = nodestate.ReplicaState{Replica: id}
		if home, found := n.homeNode(id); found {
			homes[home.ID] = home
		}
	}
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for _, home := range homes {
		calls.Go(func() {
			answer := n.requestPoolState(ctx, home, call)
			mutex.Lock()
			defer mutex.Unlock()
			for _, state := range answer.Replicas {
				if _, listed := byReplica[state.Replica]; listed {
					byReplica[state.Replica] = state
				}
			}
		})
	}
	calls.Wait()
	states := make([]nodestate.ReplicaState, 0, len(byReplica))
	for _, state := range byReplica {
		states = append(states, state)
	}
	return states
}

func (n *Node) requestPoolState(ctx context.Context, home port.NodeAddress, call nodestate.PoolStateCall) nodestate.PoolStateAnswer {
	ctx, cancel := context.WithTimeout(ctx, n.config.Intervals.CallTimeout)
	defer cancel()
	if home.ID == n.config.ID {
		return n.servePoolState(ctx, call)
	}
	var answer nodestate.PoolStateAnswer
	_ = n.peers.call(ctx, home.PeerAddress, peerapi.MethodPoolState, call, &answer)
	return answer
}

// servePoolState returns the state of the replicas whose home is this node.
func (n *Node) servePoolState(ctx context.Context, call nodestate.PoolStateCall) nodestate.PoolStateAnswer {
	reply := make(chan nodestate.PoolStateAnswer, 1)
	n.postWaiting(poolStateRequest{call: call, reply: reply})
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
	case <-n.stopped:
	}
	return nodestate.PoolStateAnswer{}
}

// poolStateRequest requests the state of a pool's replicas from the control goroutine.
type poolStateRequest struct {
	call  nodestate.PoolStateCall
	reply chan nodestate.PoolStateAnswer
}

func (e poolStateRequest) apply(c *controller, now time.Time) {
	e.reply <- c.state.PoolState(now, e.call)
}
