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

// spoolSync paces the syncs of the decision spool.
const spoolSync = 200 * time.Millisecond

// Node is a running node.
type Node struct {
	config      Config
	httpAddress string
	peerAddress string

	peers    *peers
	server   *wire.Server
	web      *httpapi.Server
	metrics  *metrics.Node
	backEnds *backEnds
	recorder *recorder
	counters *counterTable[port.ReplicaID]
	crossing *counterTable[nodestate.ZonePool]
	keys     *requestkeys.Memory[keyOutcome]
	budgets  *budgetTable
	chooser  *chooser
	sampling *samplingManager

	snapshot       atomic.Pointer[nodestate.Snapshot]
	confirmedUntil atomic.Int64
	machinesHeard  atomic.Int64
	reporting      atomic.Bool
	serving        atomic.Pointer[[]port.ServingCount]
	dropped        atomic.Uint64
	events         chan event
	rewatch        chan uint64

	background     context.Context
	cancel         context.CancelFunc
	work           sync.WaitGroup
	stopped        chan struct{}
	controllerDone chan struct{}
	traffic        *traffic
	closeOnce      sync.Once
}

// Start starts a node on its listeners. The node serves callers as soon as it
// has seen a view of the configuration; Ready tells.
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
		config:         config,
		httpAddress:    config.HTTPListener.Addr().String(),
		peerAddress:    config.PeerListener.Addr().String(),
		peers:          newPeers(options),
		server:         wire.NewServer(options),
		backEnds:       newBackEnds(),
		recorder:       newRecorder(config.ID, config.Limits.Decisions, time.Now()),
		counters:       newCounterTable[port.ReplicaID](),
		crossing:       newCounterTable[nodestate.ZonePool](),
		keys:           requestkeys.New[keyOutcome](config.Intervals.KeyMemory, config.Limits.Keys),
		budgets:        newBudgetTable(config.Seed),
		chooser:        newChooser(config.Seed),
		events:         make(chan event, config.Limits.Events),
		rewatch:        make(chan uint64, 1),
		background:     background,
		cancel:         cancel,
		stopped:        make(chan struct{}),
		controllerDone: make(chan struct{}),
		traffic:        newTraffic(),
	}
	n.sampling = newSamplingManager(n)
	n.metrics = metrics.NewNode()
	n.countTraffic()
	n.web = newWeb(n)
	n.snapshot.Store(nodestate.EmptySnapshot(config.Zone))
	return n
}

// openSpool loads the decisions of earlier runs where a data folder is given.
func (n *Node) openSpool() error {
	if n.config.DataFolder == "" {
		return nil
	}
	kept, decisions, err := spool.Open(spool.Options{
		Folder:    filepath.Join(n.config.DataFolder, "decisions"),
		MaxBytes:  n.config.Limits.SpoolBytes,
		SyncEvery: spoolSync,
	})
	if err != nil {
		return err
	}
	n.recorder.useSpool(kept, decisions)
	return nil
}

func (n *Node) closeListeners() {
	_ = n.config.HTTPListener.Close()
	_ = n.config.PeerListener.Close()
}

// HTTPAddress gives IP:port where the node serves callers.
func (n *Node) HTTPAddress() string { return n.httpAddress }

// PeerAddress gives IP:port where the node serves its peers.
func (n *Node) PeerAddress() string { return n.peerAddress }

// ID gives the node's id.
func (n *Node) ID() port.NodeID { return n.config.ID }

// post hands an event to the control goroutine; one too many is dropped and
// counted. For news that comes again.
func (n *Node) post(next event) {
	select {
	case n.events <- next:
	default:
		n.dropped.Add(1)
	}
}

// postWaiting hands over an event that must not be lost.
func (n *Node) postWaiting(next event) {
	select {
	case n.events <- next:
	case <-n.stopped:
	}
}

// Drain stops the node as planned: it refuses new requests as not run, tells its
// peers, finishes what is in flight, gives its leases back and stops. When ctx
// ends first, what is left is cut off and ctx's error is returned.
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

// Close stops the node at once; what is in flight is cut off.
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
		<-n.controllerDone // it starts work as long as it runs
		n.work.Wait()
		n.backEnds.close()
		n.recorder.close()
	})
}

// closeWait bounds the wait for requests that were cut off to end.
const closeWait = 5 * time.Second

func (n *Node) waitForTraffic() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	_ = n.traffic.wait(ctx)
}
