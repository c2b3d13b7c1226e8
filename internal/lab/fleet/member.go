package fleet

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/faultfs"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/control"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/controlmember"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// syncTime is what a sync of the log takes.
	syncTime    = time.Millisecond
	dataFolder  = "data"
	clusterName = "fleet"
	// watchPause is the shortest time between two updates of one watch.
	watchPause = 10 * time.Millisecond
)

// member is a control member with its log.
type member struct {
	endpoint
	fleet  *Fleet
	id     consensus.MemberID
	core   *controlmember.Member
	log    *wal.Log
	disk   *disk
	inbox  []func()
	busy   bool
	tokens uint64
	// callers wait for replies by token.
	callers map[uint64]func(controlmember.Reply)
	watches []*watch // by node
	reports map[port.NodeID]heldReport
	silence controlmember.SilenceWatcher
	// removing is set while silent nodes are being taken out of the view.
	removing bool
	pushed   uint64
	// syncsBefore and writtenBefore are the log's counters when counting began.
	syncsBefore, writtenBefore uint64
}

// watch is one node's watch of a member.
type watch struct {
	node        *node
	number      uint64
	incarnation uint64
	after       uint64
	last        time.Duration
	waiting     bool
}

// heldReport is the last report of a node and when it came.
type heldReport struct {
	report port.NodeReport
	at     time.Duration
}

// newMember makes a member with an empty log that starts from a snapshot.
func newMember(f *Fleet, id consensus.MemberID, where place, first consensus.Snapshot) (*member, error) {
	m := &member{
		endpoint: endpoint{place: where, isMember: true}, fleet: f, id: id,
		disk: &disk{FileSystem: faultfs.New(f.options.Seed + uint64(id))},
	}
	options := wal.Options{
		FileSystem: m.disk, Directory: dataFolder,
		Identity: wal.Identity{Cluster: clusterName, Member: id},
	}
	log, _, err := wal.Create(options, first.Membership)
	if err != nil {
		return nil, err
	}
	m.log = log
	if err := m.log.InstallSnapshot(first); err != nil {
		return nil, err
	}
	return m, m.start(consensus.Restored{HardState: consensus.HardState{Term: first.Term, Commit: first.Index}, Snapshot: first})
}

// start brings the process up.
func (m *member) start(restored consensus.Restored) error {
	core, err := controlmember.New(controlmember.Config{
		Consensus: consensus.Config{
			ID: m.id, ElectionTicks: control.DefaultElectionTicks, HeartbeatTicks: control.DefaultHeartbeatTicks,
			Seed: m.fleet.options.Seed, RetainEntries: control.DefaultRetainEntries,
		},
		TickInterval: control.DefaultTick, SnapshotEntries: control.DefaultSnapshotEntries,
	}, restored, m.fleet.wall())
	if err != nil {
		return err
	}
	m.core, m.up = core, true
	m.incarnation++
	m.inbox, m.busy = nil, false
	m.callers, m.watches = make(map[uint64]func(controlmember.Reply)), make([]*watch, len(m.fleet.nodes))
	m.reports, m.silence, m.pushed = make(map[port.NodeID]heldReport), controlmember.SilenceWatcher{}, 0
	m.removing = false
	phase := time.Duration(m.id) * 7 * time.Millisecond
	m.fleet.every(&m.endpoint, workConsensus, phase, func() time.Duration {
		m.process(func() { m.core.Tick(m.fleet.wall()) })
		return control.DefaultTick
	})
	m.fleet.every(&m.endpoint, workReports, phase+houseInterval, m.keepHouse)
	return nil
}

// stop takes the process down with its disk intact.
func (m *member) stop() {
	m.up, m.core = false, nil
	_ = m.log.Close()
}

// restart brings the process up from its disk.
func (m *member) restart() error {
	log, recovery, err := wal.Open(wal.Options{
		FileSystem: m.disk, Directory: dataFolder,
		Identity: wal.Identity{Cluster: clusterName, Member: m.id},
	})
	if err != nil {
		return err
	}
	m.log = log
	return m.start(recovery.Restored)
}

// process does work in the member; what comes while it syncs waits, and is then
// served by one sync.
func (m *member) process(work func()) {
	m.inbox = append(m.inbox, work)
	if !m.busy {
		m.takeInbox()
	}
}

func (m *member) takeInbox() {
	m.busy = true
	waiting := m.inbox
	m.inbox = nil
	for _, work := range waiting {
		work()
	}
	m.carryOut()
}

// carryOut does what the core asks for: messages that may precede the sync, the
// writes, and after the sync the rest.
func (m *member) carryOut() {
	for m.core.HasReady() {
		ready := m.core.Ready()
		m.sendMessages(ready, true)
		if err := m.log.Persist(ready); err != nil {
			m.fleet.violate("log", "member %d: %v", m.id, err)
		}
		if ready.MustSync {
			m.afterSync(ready)
			return
		}
		m.finish(ready)
	}
	m.snapshot()
	m.answerCallers()
	m.wakeWatches()
	m.busy = false
	if len(m.inbox) > 0 {
		m.takeInbox()
	}
}

func (m *member) afterSync(ready consensus.Ready) {
	incarnation := m.incarnation
	m.fleet.After(syncTime, func() {
		if !m.up || m.incarnation != incarnation {
			return
		}
		m.fleet.charge(&m.endpoint, workConsensus, func() {
			m.finish(ready)
			m.carryOut()
		})
	})
}

func (m *member) finish(ready consensus.Ready) {
	m.sendMessages(ready, false)
	if err := m.core.Advance(ready); err != nil {
		m.fleet.violate("apply", "member %d: %v", m.id, err)
	}
}

func (m *member) sendMessages(ready consensus.Ready, early bool) {
	for _, sent := range ready.Messages {
		if ready.MayPrecedeSync(sent) != early {
			continue
		}
		to := m.fleet.members[sent.To-1]
		m.fleet.send(&m.endpoint, &to.endpoint, message{workConsensus, wire.KindOneWay, peerapi.MethodConsensus, sent}, func(body []byte) {
			var received consensus.Message
			m.fleet.decode(body, &received)
			to.process(func() {
				if err := to.core.Step(received); err != nil {
					m.fleet.violate("consensus", "member %d: %v", to.id, err)
				}
			})
		})
	}
}

func (m *member) snapshot() {
	if !m.core.WantsSnapshot() {
		return
	}
	snapshot, err := m.core.BuildSnapshot()
	if err == nil {
		err = m.log.SaveSnapshot(snapshot)
	}
	if err == nil {
		err = m.core.Compact(snapshot)
	}
	if err != nil {
		m.fleet.violate("snapshot", "member %d: %v", m.id, err)
	}
}

func (m *member) answerCallers() {
	for _, reply := range m.core.TakeReplies() {
		if reply.Error == nil {
			m.fleet.inForce.accept(reply.Result.Revision)
		}
		if answer, found := m.callers[reply.Token]; found {
			delete(m.callers, reply.Token)
			answer(reply)
		}
	}
}

// propose puts a command into the log here, or sends it on to the leader once.
func (m *member) propose(command port.Command, forwarded bool, answer func(result port.Result, done bool)) {
	m.process(func() {
		if m.core.IsLeader() {
			m.tokens++
			m.callers[m.tokens] = func(reply controlmember.Reply) { answer(reply.Result, reply.Error == nil) }
			m.core.Propose(m.tokens, command)
			return
		}
		leader := m.core.Leader()
		if forwarded || leader == consensus.None || leader == m.id {
			answer(port.Result{}, false)
			return
		}
		m.forward(m.fleet.members[leader-1], command, answer)
	})
}

func (m *member) forward(leader *member, command port.Command, answer func(port.Result, bool)) {
	call := message{workProposals, wire.KindCall, peerapi.MethodForward, command}
	m.fleet.call(&m.endpoint, &leader.endpoint, call, proposeTimeout, func(body []byte, reply func(any)) {
		var received port.Command
		m.fleet.decode(body, &received)
		leader.propose(received, true, func(result port.Result, done bool) { reply(resultOrNothing(result, done)) })
	}, func(body []byte, answered bool) { answer(m.fleet.decodeResult(body, answered)) })
}

// serveWatch begins a node's watch; an earlier one of the node ends.
func (m *member) serveWatch(request controlclient.WatchRequest, from *node, number uint64) {
	begun := &watch{node: from, number: number, incarnation: from.incarnation, after: request.After}
	m.watches[from.number] = begun
	m.push(begun)
	m.fleet.every(&m.endpoint, workWatch, controlclient.HeartbeatInterval, func() time.Duration {
		if m.watches[from.number] != begun {
			return day
		}
		m.push(begun)
		return controlclient.HeartbeatInterval
	})
}

// wakeWatches lets every watch send its update once the view has changed.
func (m *member) wakeWatches() {
	position := m.core.State().Position()
	if position == m.pushed {
		return
	}
	m.pushed = position
	for _, woken := range m.watches {
		if woken == nil || woken.waiting {
			continue
		}
		woken.waiting = true
		pause := max(0, woken.last+watchPause-m.fleet.Now())
		incarnation := m.incarnation
		m.fleet.After(pause, func() {
			woken.waiting = false
			if m.up && m.incarnation == incarnation && m.watches[woken.node.number] == woken {
				m.fleet.charge(&m.endpoint, workWatch, func() { m.push(woken) })
			}
		})
	}
}

// push sends a watch what it lacks.
func (m *member) push(to *watch) {
	if !to.node.up || to.node.incarnation != to.incarnation {
		m.watches[to.node.number] = nil
		return
	}
	update := m.core.Update(to.after)
	update.Confirmed = update.Confirmed && update.Position >= update.After
	to.after = max(to.after, update.Position)
	to.last = m.fleet.Now()
	m.fleet.send(&m.endpoint, &to.node.endpoint, message{workWatch, wire.KindData, "", update}, func(body []byte) {
		var received port.ViewUpdate
		m.fleet.decode(body, &received)
		to.node.takeUpdate(to.number, received)
	})
}
