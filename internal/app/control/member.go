package control

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"
)

// stopTimeout limits the graceful stop in Run.
const stopTimeout = 10 * time.Second

// Member is a running control member.
type Member struct {
	config       Config
	server       *wire.Server
	operators    *operatorapi.Server
	peers        *peers
	reports      *reports
	watches      *watches
	bootstrapper *bootstrapper

	peerListener     net.Listener
	operatorListener net.Listener

	current  atomic.Pointer[loop]
	ready    chan struct{}
	stopping chan struct{}
	stopOnce sync.Once
	cancel   context.CancelFunc
	done     chan struct{}
	failure  error
}

// Run runs a control member until ctx is done, then stops it gracefully.
func Run(ctx context.Context, config Config) error {
	member, err := Start(config)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-member.done:
		return member.failure
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return member.Stop(stop)
}

// Start opens the data folder, listens and starts the member. It returns an error for a
// corrupt or foreign folder. Wait returns ErrDataLost, since that depends on the answers
// of the other members.
func Start(config Config) (*Member, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	member := &Member{
		config:   config,
		server:   wire.NewServer(config.Wire),
		peers:    newPeers(config),
		reports:  newReports(),
		watches:  newWatches(),
		ready:    make(chan struct{}),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
	}
	opened, err := member.openExisting()
	if err != nil {
		return nil, err
	}
	if err := member.listen(); err != nil {
		if opened != nil {
			err = errors.Join(err, opened.log.Close())
		}
		return nil, err
	}
	member.register()
	member.operators = operatorapi.NewServer(operatorapi.ServerConfig{
		Backend:            member,
		Token:              config.OperatorToken,
		CheckConfiguration: config.CheckConfiguration,
		Metrics:            config.Metrics,
	})
	ctx, cancel := context.WithCancel(context.Background())
	member.cancel = cancel
	go member.run(ctx, opened)
	return member, nil
}

// openExisting opens the log, or prepares the bootstrap of a member without one.
func (m *Member) openExisting() (*loop, error) {
	log, recovery, err := wal.Open(m.walOptions())
	if errors.Is(err, wal.ErrMissing) {
		m.bootstrapper, err = openBootstrapper(m.config)
		return nil, err
	}
	if err != nil {
		return nil, err
	}
	if err := removeBootstrapRecord(m.config); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	if recovery.TornBytes > 0 {
		m.config.Logger.Warn().Str("file", recovery.TornFile).Int64("bytes", recovery.TornBytes).Msg("truncated a torn write")
	}
	return newLoop(m.config, log, recovery.Restored)
}

func (m *Member) walOptions() wal.Options {
	return wal.Options{
		FileSystem: m.config.FileSystem,
		Directory:  m.config.DataFolder,
		Identity:   wal.Identity{Cluster: m.config.Cluster, Member: consensus.MemberID(m.config.ID)},
	}
}

func (m *Member) listen() error {
	var err error
	if m.peerListener, err = listen(m.config.PeerListener, m.config.PeerAddress); err != nil {
		return err
	}
	if m.operatorListener, err = listen(m.config.OperatorListener, m.config.OperatorAddress); err != nil {
		return errors.Join(err, m.peerListener.Close())
	}
	return nil
}

func listen(existing net.Listener, address string) (net.Listener, error) {
	if existing != nil {
		return existing, nil
	}
	listener, err := net.Listen("tcp", address)
	return listener, eris.Wrapf(err, "listen on %s", address)
}

// run serves until the member fails or stops.
func (m *Member) run(ctx context.Context, opened *loop) {
	defer close(m.done)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.server.Serve(m.peerListener) })
	group.Go(func() error { return m.operators.Serve(m.operatorListener) })
	group.Go(func() error { return m.runLoop(ctx, opened) })
	group.Go(func() error {
		<-ctx.Done()
		m.server.Close()
		m.peers.close()
		return m.operators.Close()
	})
	err := group.Wait()
	if err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, wire.ErrClosed) {
		m.failure = err
		m.config.Logger.Error().Err(err).Msg("the control member stopped")
	}
}

// runLoop bootstraps or joins the group if the member has no log, then runs its loop.
func (m *Member) runLoop(ctx context.Context, l *loop) error {
	if l == nil {
		created, err := m.bootstrapOrJoin(ctx)
		if err != nil {
			return err
		}
		l = created
	}
	l.send = m.peers.send
	l.changed = m.viewChanged
	m.current.Store(l)
	m.viewChanged()
	close(m.ready)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.run(ctx) })
	group.Go(func() error { return m.runMaintenance(ctx) })
	group.Go(func() error { return m.keepConnected(ctx) })
	err := group.Wait()
	return errors.Join(err, l.log.Close())
}

// bootstrapOrJoin creates the log of a new member once the other members permit it.
func (m *Member) bootstrapOrJoin(ctx context.Context) (*loop, error) {
	initial := consensus.Membership{}
	if m.config.Join {
		if err := m.bootstrapper.awaitGroup(ctx, m.requestBootstrap); err != nil {
			return nil, err
		}
	} else {
		if err := m.bootstrapper.awaitInitialMembers(ctx, m.requestBootstrap); err != nil {
			return nil, err
		}
		for _, member := range m.config.Members {
			initial.Voters = append(initial.Voters, consensus.MemberID(member.ID))
		}
	}
	m.bootstrapper.finish()
	log, restored, err := wal.Create(m.walOptions(), initial)
	if err != nil {
		return nil, err
	}
	if err := removeBootstrapRecord(m.config); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return newLoop(m.config, log, restored)
}

func (m *Member) requestBootstrap(ctx context.Context, member Address) (bootstrapAnswer, error) {
	var answer bootstrapAnswer
	err := m.peers.call(ctx, consensus.MemberID(member.ID), methodBootstrap, bootstrapRequest{Member: m.config.ID}, &answer)
	return answer, err
}

// viewChanged wakes the watches. The loop's goroutine calls it.
func (m *Member) viewChanged() {
	m.watches.wakeAll()
}

// loop returns the running loop. Callers call checkStarted first.
func (m *Member) loop() *loop { return m.current.Load() }

// checkStarted returns an error until the loop runs.
func (m *Member) checkStarted() error {
	if m.current.Load() == nil {
		return m.withRetryAfter(port.NewError(port.NotRun, port.CodeUnavailable, "the control member is starting"))
	}
	return nil
}

// PeerAddress returns the address of the internal protocol.
func (m *Member) PeerAddress() string { return m.peerListener.Addr().String() }

// OperatorAddress returns the address of the operator API.
func (m *Member) OperatorAddress() string { return m.operatorListener.Addr().String() }

// Ready returns a channel that is closed once the loop runs.
func (m *Member) Ready() <-chan struct{} { return m.ready }

// Done returns a channel that is closed once the member has stopped.
func (m *Member) Done() <-chan struct{} { return m.done }

// Wait blocks until the member has stopped and returns the error that stopped it,
// if any.
func (m *Member) Wait() error {
	<-m.done
	return m.failure
}

// Stop transfers leadership, rejects new calls, finishes those in flight and stops.
// When ctx is done it stops immediately.
func (m *Member) Stop(ctx context.Context) error {
	m.stopOnce.Do(func() { close(m.stopping) })
	m.transferLeadership(ctx)
	_ = m.operators.Shutdown(ctx) // cancel closes what remains
	m.server.Shutdown(ctx)
	m.cancel()
	return m.Wait()
}

// Kill stops immediately, as a crash would.
func (m *Member) Kill() error {
	m.stopOnce.Do(func() { close(m.stopping) })
	m.cancel()
	return m.Wait()
}

// transferLeadership transfers leadership and waits up to an election timeout for another
// member to lead.
func (m *Member) transferLeadership(ctx context.Context) {
	l := m.current.Load()
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.electionTimeout())
	defer cancel()
	if m.inLoop(ctx, func(l *loop) { l.startTransfer() }) != nil {
		return
	}
	ticker := time.NewTicker(m.config.Tick)
	defer ticker.Stop()
	for l.published.Load().status.Role == consensus.RoleLeader {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// startTransfer starts a leadership transfer to the active voter with the longest log.
func (l *loop) startTransfer() {
	var best consensus.PeerStatus
	for _, peer := range l.member.Status().Progress {
		if !peer.Learner && peer.Active && peer.Match > best.Match {
			best = peer
		}
	}
	if best.ID != consensus.None {
		_ = l.member.TransferTo(best.ID)
	}
}
