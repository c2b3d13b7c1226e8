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

// stopTimeout bounds a planned stop that Run makes.
const stopTimeout = 10 * time.Second

// Member is a running control member.
type Member struct {
	config    Config
	server    *wire.Server
	operators *operatorapi.Server
	peers     *peers
	reports   *reports
	watches   *watches
	founding  *founding

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

// Run runs a control member until the context ends, then stops it as planned.
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

// Start opens the data folder, listens and begins to take part. A corrupt or
// foreign folder is refused at once; ErrDataLost comes from Wait, as the other
// members have to be asked.
func Start(config Config) (*Member, error) {
	config = config.normalized()
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

// openExisting opens the log, or prepares the founding of a member without one.
func (m *Member) openExisting() (*loop, error) {
	log, recovery, err := wal.Open(m.walOptions())
	if errors.Is(err, wal.ErrMissing) {
		m.founding, err = openFounding(m.config)
		return nil, err
	}
	if err != nil {
		return nil, err
	}
	if err := forgetFounding(m.config); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	if recovery.TornBytes > 0 {
		m.config.Logger.Warn().Str("file", recovery.TornFile).Int64("bytes", recovery.TornBytes).Msg("cut off a torn write")
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

func listen(given net.Listener, address string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	listener, err := net.Listen("tcp", address)
	return listener, eris.Wrapf(err, "listen on %s", address)
}

// run serves until the member fails or is stopped.
func (m *Member) run(ctx context.Context, opened *loop) {
	defer close(m.done)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.server.Serve(m.peerListener) })
	group.Go(func() error { return m.operators.Serve(m.operatorListener) })
	group.Go(func() error { return m.takePart(ctx, opened) })
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

// takePart founds the member if need be and runs its loop.
func (m *Member) takePart(ctx context.Context, l *loop) error {
	if l == nil {
		made, err := m.found(ctx)
		if err != nil {
			return err
		}
		l = made
	}
	l.send = m.peers.send
	l.changed = m.viewChanged
	m.current.Store(l)
	m.viewChanged()
	close(m.ready)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.run(ctx) })
	group.Go(func() error { return m.keepHouse(ctx) })
	group.Go(func() error { return m.keepConnected(ctx) })
	err := group.Wait()
	return errors.Join(err, l.log.Close())
}

// found makes the log of a new member once the others allow it.
func (m *Member) found(ctx context.Context) (*loop, error) {
	initial := consensus.Membership{}
	if m.config.Join {
		if err := m.founding.settleJoin(ctx, m.askFounding); err != nil {
			return nil, err
		}
	} else {
		if err := m.founding.settle(ctx, m.askFounding); err != nil {
			return nil, err
		}
		for _, member := range m.config.Members {
			initial.Voters = append(initial.Voters, consensus.MemberID(member.ID))
		}
	}
	log, restored, err := wal.Create(m.walOptions(), initial)
	if err != nil {
		return nil, err
	}
	if err := forgetFounding(m.config); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return newLoop(m.config, log, restored)
}

func (m *Member) askFounding(ctx context.Context, member Address) (foundingAnswer, error) {
	var answer foundingAnswer
	err := m.peers.call(ctx, consensus.MemberID(member.ID), methodFounding, foundingRequest{Member: m.config.ID}, &answer)
	return answer, err
}

// viewChanged runs in the loop's goroutine after the view has moved.
func (m *Member) viewChanged() {
	m.watches.wakeAll()
}

// loop gives the running loop; callers check started first.
func (m *Member) loop() *loop { return m.current.Load() }

// started refuses calls before the loop runs.
func (m *Member) started() error {
	if m.current.Load() == nil {
		return m.withRetryAfter(port.NewError(port.NotRun, port.CodeUnavailable, "the control member is starting"))
	}
	return nil
}

// PeerAddress is where the member serves the internal protocol.
func (m *Member) PeerAddress() string { return m.peerListener.Addr().String() }

// OperatorAddress is where the member serves operators.
func (m *Member) OperatorAddress() string { return m.operatorListener.Addr().String() }

// Ready is closed once the member takes part.
func (m *Member) Ready() <-chan struct{} { return m.ready }

// Done is closed once the member has stopped; Wait then gives the reason.
func (m *Member) Done() <-chan struct{} { return m.done }

// Wait waits until the member has stopped and gives the failure, if one
// stopped it.
func (m *Member) Wait() error {
	<-m.done
	return m.failure
}

// Stop hands leadership over, refuses new calls, finishes those in flight and
// stops. When the context ends it stops at once.
func (m *Member) Stop(ctx context.Context) error {
	m.stopOnce.Do(func() { close(m.stopping) })
	m.handOver(ctx)
	_ = m.operators.Shutdown(ctx) // what is left is cut off by cancel
	m.server.Shutdown(ctx)
	m.cancel()
	return m.Wait()
}

// Kill stops at once, as a crash would.
func (m *Member) Kill() error {
	m.stopOnce.Do(func() { close(m.stopping) })
	m.cancel()
	return m.Wait()
}

// handOver gives leadership to the voter with the longest log and waits for
// another leader for a while.
func (m *Member) handOver(ctx context.Context) {
	l := m.current.Load()
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.electionTimeout())
	defer cancel()
	if m.inLoop(ctx, func(l *loop) { l.transfer() }) != nil {
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

// transfer asks the active voter with the longest log to take over.
func (l *loop) transfer() {
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
