package node_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
)

// waitTimeout limits every wait of these tests.
const waitTimeout = 60 * time.Second

// memoryControl is an in-memory control state.
type memoryControl struct {
	mutex       sync.Mutex
	state       *controlstate.State
	index       uint64
	changed     chan struct{}
	lastReports map[port.NodeID]time.Time
}

// reportTimeout is the time without a report after which a node is removed.
const reportTimeout = 2 * time.Second

func newMemoryControl(t *testing.T) *memoryControl {
	control := &memoryControl{state: controlstate.New(), changed: make(chan struct{}), lastReports: make(map[port.NodeID]time.Time)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go control.removeUnresponsive(ctx)
	return control
}

func (m *memoryControl) apply(command port.Command) port.Result {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.index++
	command.Time = time.Now().UnixMilli()
	result := m.state.Apply(m.index, 1, command)
	close(m.changed)
	m.changed = make(chan struct{})
	return result
}

func (m *memoryControl) removeUnresponsive(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m.mutex.Lock()
		var unresponsive []port.NodeID
		for id, last := range m.lastReports {
			if time.Since(last) > reportTimeout {
				unresponsive = append(unresponsive, id)
				delete(m.lastReports, id)
			}
		}
		m.mutex.Unlock()
		for _, id := range unresponsive {
			m.apply(port.Command{RemoveNode: &port.RemoveNode{ID: id}})
		}
	}
}

// configure applies edits to the current revision.
func (m *memoryControl) configure(t *testing.T, edits ...port.Edit) {
	t.Helper()
	m.mutex.Lock()
	revision := m.state.Revision()
	m.mutex.Unlock()
	result := m.apply(port.Command{
		ChangeID:            changeID(revision),
		ChangeConfiguration: &port.ChangeConfiguration{Expected: revision, Edits: edits},
	})
	if result.Error != nil {
		t.Fatalf("configuration refused: %v", result.Error)
	}
}

func (m *memoryControl) leaseHolder(pool port.PoolName) port.NodeID {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	lease, _ := m.state.Lease(port.CoordinatorLease(pool))
	return lease.Holder
}

func (m *memoryControl) leaseEpoch(pool port.PoolName) port.Epoch {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	lease, _ := m.state.Lease(port.CoordinatorLease(pool))
	return lease.Epoch
}

// controlHandle is one node's connection to the control state.
type controlHandle struct {
	control      *memoryControl
	disconnected atomic.Bool
	// hidePublications removes publications from the views that the node receives.
	hidePublications atomic.Bool
}

func (h *controlHandle) Propose(ctx context.Context, command port.Command) (port.Result, error) {
	for h.disconnected.Load() {
		select {
		case <-ctx.Done():
			return port.Result{}, port.NewError(port.NotRun, port.CodeUnavailable, "cut off from control")
		case <-time.After(10 * time.Millisecond):
		}
	}
	return h.control.apply(command), nil
}

func (h *controlHandle) Watch(ctx context.Context, after uint64, receive func(port.ViewUpdate)) error {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		h.control.mutex.Lock()
		changed := h.control.changed
		update := h.control.state.Update(after)
		h.control.mutex.Unlock()
		if !h.disconnected.Load() {
			update.Confirmed = true
			if h.hidePublications.Load() {
				update.Changes = slices.DeleteFunc(slices.Clone(update.Changes), func(change port.ViewChange) bool { return change.Weights != nil })
			}
			receive(update)
			after = max(after, update.Position)
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (h *controlHandle) Report(_ context.Context, report port.NodeReport) error {
	if h.disconnected.Load() {
		return port.NewError(port.NotRun, port.CodeUnavailable, "cut off from control")
	}
	h.control.mutex.Lock()
	h.control.lastReports[report.Node.ID] = time.Now()
	h.control.mutex.Unlock()
	h.control.apply(port.Command{RegisterNode: &port.RegisterNode{Node: report.Node}})
	return nil
}

// fleet is a set of nodes in one process, connected over loopback.
type fleet struct {
	t       *testing.T
	control *memoryControl
	nodes   map[port.NodeID]*node.Node
	handles map[port.NodeID]*controlHandle
	folders map[port.NodeID]string
}

func newFleet(t *testing.T) *fleet {
	return &fleet{
		t: t, control: newMemoryControl(t), nodes: make(map[port.NodeID]*node.Node),
		handles: make(map[port.NodeID]*controlHandle), folders: make(map[port.NodeID]string),
	}
}

// start starts a node in a zone.
func (f *fleet) start(id port.NodeID, zone port.ZoneName) *node.Node {
	f.t.Helper()
	handle := &controlHandle{control: f.control}
	if f.folders[id] == "" {
		f.folders[id] = f.t.TempDir()
	}
	started, err := node.Start(context.Background(), node.Config{
		ID: id, Zone: zone, HTTPAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		Control: handle, Seed: 1, DataFolder: f.folders[id],
		Intervals: node.Intervals{
			ConfigurationLease: time.Second, Report: 200 * time.Millisecond, MachineList: 200 * time.Millisecond,
			Load: 50 * time.Millisecond, Summary: 50 * time.Millisecond, Aggregate: 200 * time.Millisecond,
			CoordinatorLease: 2 * time.Second,
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(started.Close)
	f.nodes[id] = started
	f.handles[id] = handle
	return started
}

// waitForNodes waits until every node knows all the others and the current revision.
func (f *fleet) waitForNodes() {
	f.t.Helper()
	f.control.mutex.Lock()
	revision := f.control.state.Revision()
	f.control.mutex.Unlock()
	eventually(f.t, "all nodes to know each other", func() bool {
		for _, started := range f.nodes {
			view := started.View()
			if len(view.Nodes) != len(f.nodes) || view.Revision < revision {
				return false
			}
		}
		return true
	})
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func startEngine(t *testing.T) *standin.Engine {
	t.Helper()
	started, err := standin.StartEngine(context.Background(), standin.EngineConfig{
		TimeScale: 20, ChunkInterval: 5 * time.Millisecond,
		Model: engine.Config{WeightBytes: 1 << 20},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

func startApplication(t *testing.T) *standin.Application {
	t.Helper()
	started, err := standin.StartApplication(context.Background(), standin.ApplicationConfig{ServiceTime: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

func pool(name port.PoolName, kind port.PoolKind) *port.Pool {
	return &port.Pool{
		Name: name, Kind: kind,
		Admission: port.Admission{MinInflight: 4, MaxInflight: 32, QueueLength: 256, DefaultDeadline: port.Duration(30 * time.Second)},
		Retry:     port.Retry{MaxAttempts: 4, BudgetRatio: 1, BaseBackoff: port.Duration(5 * time.Millisecond), MaxBackoff: port.Duration(100 * time.Millisecond)},
		Ejection:  port.Ejection{ConsecutiveFailures: 5, BaseDuration: port.Duration(time.Second), MaxShare: 0.5},
	}
}

func replica(id port.ReplicaID, poolName port.PoolName, zone port.ZoneName, address string) port.Edit {
	return port.Edit{PutReplica: &port.Replica{ID: id, Pool: poolName, Zone: zone, Address: address, State: port.ReplicaActive}}
}

// sampling returns the settings of a pool that feeds a trainer.
func sampling(prompts, scorer, store string) *port.Sampling {
	return &port.Sampling{
		Policy: policy.Default, StalenessBound: 4, BatchSamples: 8, GroupSize: 2, MaxTokens: 64,
		PromptSource: prompts, Scorer: scorer, WeightStore: store, BufferBatches: 2,
	}
}

func changeID(revision port.Revision) string {
	return registry.FormatChangeID(time.Now(), fmt.Appendf(nil, "%08d", revision))
}
