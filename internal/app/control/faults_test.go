package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/faultfs"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// TestIsolatedLeader isolates the leader while the others continue. It must
// accept no change, confirm no update and serve no linearizable read. After the
// partition it catches up, and no observer's revision decreases.
func TestIsolatedLeader(t *testing.T) {
	network := newTestNetwork()
	group := startGroup(t, 3, func(config *Config) {
		config.Wire.Dial = network.dialer(config.addressOf(config.ID))
	})
	last := group.change(group.client(1), 3)
	old := group.leader()
	address := group.members[old.config.ID-1].Peer
	watch := startObserverWatch(group.client(old.config.ID), controlstate.NewObserver())
	group.waitUntil("the first changes", func() bool { return watch.revision() == last })

	network.setIsolated(address, true)
	delete(group.running, old.config.ID)
	uncommitted := machineListChange(last, 77)
	ctx, cancel := context.WithTimeout(group.context(), 3*time.Second)
	defer cancel()
	if result, err := old.Propose(ctx, uncommitted); err == nil {
		t.Fatalf("an isolated leader accepted %+v", result)
	}
	others := group.client(old.config.ID%3 + 1)
	last = group.change(others, 5)
	if _, err := old.View(ctx, false); err == nil {
		t.Fatal("an isolated member served a linearizable read")
	}
	if update, err := old.updateAfter(ctx, 0); err == nil && update.Confirmed {
		t.Fatal("an isolated member confirmed its view")
	}
	group.waitUntil("the watch to resume at another member", func() bool { return watch.revision() == last })

	network.setIsolated(address, false)
	group.running[old.config.ID] = old
	group.waitUntil("the old leader to catch up", func() bool {
		view, err := old.View(group.context(), false)
		return err == nil && view.Revision == last
	})
	result, err := others.Propose(group.context(), uncommitted)
	if err != nil || result.Error == nil || result.Error.Code != port.CodeConflict {
		t.Fatalf("the uncommitted change got %+v, %v", result, err)
	}
	last = group.change(others, 1)
	group.waitUntil("the last change", func() bool { return watch.revision() == last })
	watch.stop(t)
}

// TestDiskErrorStopsMember checks that a member stops with an error when its disk
// fails, while the others continue.
func TestDiskErrorStopsMember(t *testing.T) {
	cases := []struct {
		name   string
		inject func(*faultfs.FileSystem)
		want   error
	}{
		{"failed sync", func(disk *faultfs.FileSystem) { disk.FailSync(1) }, wal.ErrFailed},
		{"failed write", func(disk *faultfs.FileSystem) { disk.FailWrite(1) }, wal.ErrFailed},
		{"full disk", func(disk *faultfs.FileSystem) { disk.SetCapacity(disk.Used()) }, wal.ErrFull},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			disks := map[uint64]*faultfs.FileSystem{}
			group := startGroup(t, 3, func(config *Config) {
				if disks[config.ID] == nil {
					disks[config.ID] = faultfs.New(config.ID)
				}
				config.FileSystem = disks[config.ID]
			})
			client := group.client(1)
			last := group.change(client, 3)
			victim := group.leader()
			test.inject(disks[victim.config.ID])
			delete(group.running, victim.config.ID)
			result, err := client.Propose(group.context(), machineListChange(last, 9))
			if err != nil || result.Error != nil {
				t.Fatalf("the other members do not accept changes: %v, %v", result.Error, err)
			}
			if err := victim.Wait(); !errors.Is(err, test.want) {
				t.Fatalf("the member ended with %v, want %v", err, test.want)
			}
			if revision := group.revision(); revision != last+1 {
				t.Fatalf("revision %d, want %d", revision, last+1)
			}
		})
	}
}

// TestLeaderStaysDuringSlowWritesOfFollowers guards against the loss of a leader, and of its
// callers' answers, while the disks of all followers are slow.
func TestLeaderStaysDuringSlowWritesOfFollowers(t *testing.T) {
	const tick = 50 * time.Millisecond
	disks := map[uint64]*faultfs.SlowFiles{}
	group := startGroup(t, 3, func(config *Config) {
		config.Tick = tick
		disks[config.ID] = faultfs.NewSlowFiles(wal.OS{})
		config.FileSystem = disks[config.ID]
	})
	last := group.change(group.client(1), 3)
	leader := group.leader()
	term := leader.loop().published.Load().status.Term
	var releases []func()
	for id, disk := range disks {
		if id != leader.config.ID {
			releases = append(releases, disk.HoldSyncs())
		}
	}
	defer func() {
		for _, release := range releases {
			release()
		}
	}()
	answered := make(chan error, 1)
	go func() {
		_, err := leader.Propose(group.context(), machineListChange(last, 9))
		answered <- err
	}()
	time.Sleep(3 * DefaultElectionTicks * tick)
	for _, release := range releases {
		release()
	}
	if err := <-answered; err != nil {
		t.Errorf("the change: %v", err)
	}
	if status := leader.loop().published.Load().status; status.Role != consensus.RoleLeader || status.Term != term {
		t.Errorf("%v in term %d, led term %d", status.Role, status.Term, term)
	}
}

// holdLeadersSyncs starts a group, holds its leader's syncs and proposes a change to the
// leader, whose result is sent to answered.
func holdLeadersSyncs(t *testing.T, tick time.Duration) (group *testGroup, leader *Member, release func(), answered <-chan error) {
	t.Helper()
	disks := map[uint64]*faultfs.SlowFiles{}
	group = startGroup(t, 3, func(config *Config) {
		config.Tick = tick
		disks[config.ID] = faultfs.NewSlowFiles(wal.OS{})
		config.FileSystem = disks[config.ID]
	})
	last := group.change(group.client(1), 3)
	leader = group.leader()
	release = disks[leader.config.ID].HoldSyncs()
	t.Cleanup(release)
	result := make(chan error, 1)
	go func() {
		answer, err := leader.Propose(group.context(), machineListChange(last, 9))
		if err == nil && answer.Error != nil {
			err = answer.Error
		}
		result <- err
	}()
	return group, leader, release, result
}

// TestLeaderStaysDuringOwnSlowWrite guards against the loss of a leader, and of its callers'
// answers, while its own disk is slow. The write takes two election timeouts, as the
// followers' randomized timeouts are between one and two.
func TestLeaderStaysDuringOwnSlowWrite(t *testing.T) {
	const tick = 50 * time.Millisecond
	_, leader, release, answered := holdLeadersSyncs(t, tick)
	term := leader.loop().published.Load().status.Term
	time.Sleep(2 * DefaultElectionTicks * tick)
	release()
	if err := <-answered; err != nil {
		t.Errorf("the change: %v", err)
	}
	if status := leader.loop().published.Load().status; status.Role != consensus.RoleLeader || status.Term != term {
		t.Errorf("%v in term %d, led term %d", status.Role, status.Term, term)
	}
}

// TestLeaderWithHungDiskIsReplaced guards against a leader whose disk hangs, and whose
// heartbeats keep the followers from electing another.
func TestLeaderWithHungDiskIsReplaced(t *testing.T) {
	group, hung, release, answered := holdLeadersSyncs(t, testTick)
	delete(group.running, hung.config.ID)
	defer func() { group.running[hung.config.ID] = hung }()
	next := group.leader()
	// A conflict of revisions is an answer, too.
	if _, err := next.Propose(group.context(), machineListChange(0, 10)); err != nil {
		t.Errorf("a change at the new leader: %v", err)
	}
	release()
	<-answered // either outcome: the followers may have the change of the old leader
	group.waitUntil("the old leader to follow the new one", func() bool {
		status := hung.loop().published.Load().status
		return status.Role == consensus.RoleFollower && status.Leader == consensus.MemberID(next.config.ID)
	})
}

// TestPowerLossKeepsAcceptedChanges crashes all disks, which lose
// unsynced data, between changes.
func TestPowerLossKeepsAcceptedChanges(t *testing.T) {
	disks := map[uint64]*faultfs.FileSystem{}
	group := startGroup(t, 3, func(config *Config) {
		if disks[config.ID] == nil {
			disks[config.ID] = faultfs.New(config.ID)
		}
		config.FileSystem = disks[config.ID]
		config.SnapshotEntries, config.RetainEntries = 20, 5
	})
	client := group.client(1)
	for range 3 {
		last := group.change(client, 15)
		for id := uint64(1); id <= 3; id++ {
			disks[id].Crash()
			_ = group.running[id].Kill() // its log may fail after the crash
		}
		for id := uint64(1); id <= 3; id++ {
			group.restart(id)
		}
		if revision := group.revision(); revision != last {
			t.Fatalf("revision %d after a power loss, want %d", revision, last)
		}
	}
}

// TestRejectsOtherClusters sends calls and messages with a wrong token or
// cluster, and malformed messages.
func TestRejectsOtherClusters(t *testing.T) {
	group := startGroup(t, 1, nil)
	for _, options := range []wire.Options{{ClusterID: "test", Token: "wrong"}, {ClusterID: "other", Token: "peer"}} {
		client := wire.NewClient(group.members[0].Peer, options)
		err := client.Call(group.context(), controlclient.MethodPropose, machineListChange(0, 1), nil)
		if wire.CodeOf(err) != port.CodeUnauthorized || wire.VerdictOf(err) != port.NotRun {
			t.Errorf("got %v", err)
		}
		client.Close()
	}
	// An invalid message must not stop the loop.
	client := wire.NewClient(group.members[0].Peer, wire.Options{ClusterID: "test", Token: "peer"})
	defer client.Close()
	_ = client.Call(group.context(), "none", 0, nil) // connects
	if err := client.Send(group.context(), peerapi.MethodConsensus, consensus.Message{Kind: 99, To: 1, From: 9}); err != nil {
		t.Fatal(err)
	}
	if err := client.Send(group.context(), peerapi.MethodConsensus, "no message"); err != nil {
		t.Fatal(err)
	}
	group.change(group.client(1), 1)
}
