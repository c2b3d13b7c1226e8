package node

import (
	"context"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/node/requestkeys"
	"github.com/loomgrade/loomgrade/internal/app/node/spool"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// spoolSync is the sync interval of the decision spool.
const spoolSync = 200 * time.Millisecond

// Node is a running node.
type Node struct {
	config      Config
	httpAddress string
	peerAddress string

	peers           *peers
	server          *wire.Server
	web             *httpapi.Server
	metrics         *metrics.Node
	backEnds        *backEnds
	recorder        *recorder
	replicaCounters *counterTable[port.ReplicaID]
	zoneCounters    *counterTable[nodestate.ZonePool]
	keys            *requestkeys.Store[keyOutcome]
	budgets         *budgetTable
	chooser         *chooser
	sampling        *samplingManager

	snapshot           atomic.Pointer[nodestate.Snapshot]
	confirmedUntil     atomic.Int64
	machinesReceivedAt atomic.Int64
	reporting          atomic.Bool
	serving            atomic.Pointer[[]port.ServingCount]
	dropped            atomic.Uint64
	events             chan event
	rewatch            chan uint64

	background     context.Context
	cancel         context.CancelFunc
	work           sync.WaitGroup
	stopped        chan struct{}
	controllerDone chan struct{}
	traffic        *traffic
	closeOnce      sync.Once
}

// Start starts a node on its listeners. Ready reports whether the node has received a
// configuration and serves callers.
func Start(_ context.Context, config Config) (*Node, error) {
	config, err := config.normalized()
	if err != nil {
		return nil, eris.Wrap(err, "node")
	}
	if err := listen(&config); err != nil {
		return nil, err
	}
	n := newNode(config)
	if err := n.openSpool(); err != nil {
		n.closeListeners()
		return nil, err
	}
	control := newController(n, time.Now())
	control.publish(time.Now())
	n.serve()
	go control.run()
	n.work.Go(n.watch)
	n.work.Go(func() { n.pollMachines(n.background) })
	n.work.Go(n.sampling.run)
	return n, nil
}

func listen(config *Config) error {
	var err error
	if config.HTTPListener == nil {
		if config.HTTPListener, err = net.Listen("tcp", config.HTTPAddress); err != nil {
			return eris.Wrap(err, "node: listen for callers")
		}
	}
	if config.PeerListener == nil {
		if config.PeerListener, err = net.Listen("tcp", config.PeerAddress); err != nil {
			_ = config.HTTPListener.Close()
			return eris.Wrap(err, "node: listen for peers")
		}
	}
	return nil
}

func newNode(config Config) *Node {
	background, cancel := context.WithCancel(context.Background())
	options := wire.Options{ClusterID: config.ClusterID, Token: config.PeerToken, Name: string(config.ID)}
	n := &Node{
		config:          config,
		httpAddress:     config.HTTPListener.Addr().String(),
		peerAddress:     config.PeerListener.Addr().String(),
		peers:           newPeers(options),
		server:          wire.NewServer(options),
		backEnds:        newBackEnds(),
		recorder:        newRecorder(config.ID, config.Limits.Decisions, time.Now()),
		replicaCounters: newCounterTable[port.ReplicaID](),
		zoneCounters:    newCounterTable[nodestate.ZonePool](),
		keys:            requestkeys.New[keyOutcome](config.Intervals.KeyMemory, config.Limits.Keys),
		budgets:         newBudgetTable(config.Seed),
		chooser:         newChooser(config.Seed),
		events:          make(chan event, config.Limits.Events),
		rewatch:         make(chan uint64, 1),
		background:      background,
		cancel:          cancel,
		stopped:         make(chan struct{}),
		controllerDone:  make(chan struct{}),
		traffic:         newTraffic(),
	}
	n.sampling = newSamplingManager(n)
	n.metrics = metrics.NewNode()
	n.countTraffic()
	n.web = newWeb(n)
	n.snapshot.Store(nodestate.EmptySnapshot(config.Zone))
	return n
}

// openSpool loads the decisions of earlier runs if there is a data folder.
func (n *Node) openSpool() error {
	if n.config.DataFolder == "" {
		return nil
	}
	opened, decisions, err := spool.Open(spool.Options{
		Folder:    filepath.Join(n.config.DataFolder, "decisions"),
		MaxBytes:  n.config.Limits.SpoolBytes,
		SyncEvery: spoolSync,
	})
	if err != nil {
		return err
	}
	n.recorder.useSpool(opened, decisions)
	return nil
}

func (n *Node) closeListeners() {
	_ = n.config.HTTPListener.Close()
	_ = n.config.PeerListener.Close()
}

// HTTPAddress returns the IP:port on which the node serves callers.
func (n *Node) HTTPAddress() string { return n.httpAddress }

// PeerAddress returns the IP:port on which the node serves its peers.
func (n *Node) PeerAddress() string { return n.peerAddress }

// ID returns the node's id.
func (n *Node) ID() port.NodeID { return n.config.ID }

// post queues an event for the control goroutine. If the queue is full, the event is
// dropped and counted; use post only for events that are repeated.
func (n *Node) post(next event) {
	select {
	case n.events <- next:
	default:
		n.dropped.Add(1)
	}
}

// postWaiting queues an event that must not be lost.
func (n *Node) postWaiting(next event) {
	select {
	case n.events <- next:
	case <-n.stopped:
	}
}

// Drain stops the node gracefully: it refuses new requests as not run, notifies its
// peers, finishes the requests in flight, releases its leases and stops. If ctx ends
// first, the remaining requests are cut off and ctx's error is returned.
func (n *Node) Drain(ctx context.Context) error {
	n.web.Drain()
	n.traffic.drain()
	n.postWaiting(drainStarted{})
	n.sampling.drain(ctx)
	err := n.traffic.wait(ctx)
	_ = n.web.Shutdown(ctx)
	n.server.Shutdown(ctx)
	n.Close()
	return err
}

// Close stops the node immediately and cuts off the requests in flight.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		n.traffic.drain()
		n.cancel()
		close(n.stopped)
		n.web.Close()
		n.server.Close()
		n.waitForTraffic()
		n.sampling.wait()
		n.peers.close()
		<-n.controllerDone // the controller starts work until it ends
		n.work.Wait()
		n.backEnds.close()
		n.recorder.close()
	})
}

// closeWait limits how long Close waits for the requests that it cut off.
const closeWait = 5 * time.Second

func (n *Node) waitForTraffic() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	_ = n.traffic.wait(ctx)
}
