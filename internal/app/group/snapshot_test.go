package group_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/faultfs"
	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// blockingFiles is a file system that can block the creation of snapshot files.
type blockingFiles struct {
	*faultfs.SlowFiles
	mutex   sync.Mutex
	blocked chan struct{}
	// started is closed once the creation of a snapshot file is blocked.
	started chan struct{}
}

// block blocks the creation of snapshot files until release is called.
func (f *blockingFiles) block() (started <-chan struct{}, release func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.blocked, f.started = make(chan struct{}), make(chan struct{})
	return f.started, sync.OnceFunc(func() { close(f.blocked) })
}

func (f *blockingFiles) Create(path string) (wal.File, error) {
	f.mutex.Lock()
	blocked, started := f.blocked, f.started
	if blocked != nil && strings.Contains(path, ".snap") && started != nil {
		close(started)
		f.started = nil
	}
	f.mutex.Unlock()
	if blocked != nil && strings.Contains(path, ".snap") {
		<-blocked
	}
	return f.SlowFiles.Create(path)
}

// TestLeaderStaysDuringSnapshotWrite checks that a leader keeps its leadership and
// acknowledges commands while a snapshot is written, and that a restart preserves them.
func TestLeaderStaysDuringSnapshotWrite(t *testing.T) {
	all, machines := startGroup(t)
	waitForVoters(t, all, "a", "b", "c")
	machines["d"].stop() // keeps it from replacing a member
	leader := leaderOf(machines, "a", "b", "c")
	started, release := leader.files.block()
	defer release()
	command := []byte(strings.Repeat("x", snapshotBytes/4))
	count := 0
	propose := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if _, err := leader.member.Propose(ctx, command); err != nil {
			t.Fatalf("command %d: %v", count, err)
		}
		count++
	}
	for writing := false; !writing; {
		propose()
		select {
		case <-started:
			writing = true
		case <-time.After(10 * time.Millisecond):
		}
	}
	for range 20 {
		propose()
	}
	if published := leader.member.PublishedState(); published == nil || !published.LeaderReady {
		t.Error("the leader lost its leadership")
	}
	release()
	leader.stop()
	leader.start()
	waitUntil(t, "the member applies all commands after a restart", func() bool {
		published := leader.member.PublishedState()
		return published != nil && leader.applied() >= count
	})
}

// TestLeaderStaysDuringSlowWritesOfFollowers guards against the loss of a leader, and of its
// callers' answers, while the disks of all followers are slow.
func TestLeaderStaysDuringSlowWritesOfFollowers(t *testing.T) {
	const tick = 50 * time.Millisecond
	all, machines := startGroupWithTick(t, tick)
	waitForVoters(t, all, "a", "b", "c")
	machines["d"].stop()
	var leader *groupMachine
	waitUntil(t, "a member leads", func() bool {
		leader = leaderOf(machines, "a", "b", "c")
		return leader != nil
	})
	term := leader.member.PublishedState().Status.Term
	var releases []func()
	for _, name := range []string{"a", "b", "c"} {
		if machines[name] != leader {
			releases = append(releases, machines[name].files.HoldSyncs())
		}
	}
	defer func() {
		for _, release := range releases {
			release()
		}
	}()
	answered := make(chan error, 1)
	go func() {
		_, err := leader.member.Propose(context.Background(), []byte("command"))
		answered <- err
	}()
	time.Sleep(3 * group.DefaultElectionTicks * tick)
	for _, release := range releases {
		release()
	}
	if err := <-answered; err != nil {
		t.Errorf("the command: %v", err)
	}
	if published := leader.member.PublishedState(); published == nil || !published.LeaderReady || published.Status.Term != term {
		t.Errorf("the leader of term %d lost its leadership: %+v", term, published)
	}
}

// holdLeadersSyncs starts a group, holds its leader's syncs and proposes a command to the
// leader, whose result is sent to answered.
func holdLeadersSyncs(t *testing.T, tick time.Duration) (machines map[string]*groupMachine, leader *groupMachine, release func(), answered <-chan error) {
	t.Helper()
	all, machines := startGroupWithTick(t, tick)
	waitForVoters(t, all, "a", "b", "c")
	machines["d"].stop() // keeps it from replacing a member
	waitUntil(t, "a member leads", func() bool {
		leader = leaderOf(machines, "a", "b", "c")
		return leader != nil
	})
	release = leader.files.HoldSyncs()
	t.Cleanup(release)
	result := make(chan error, 1)
	go func() {
		_, err := leader.member.Propose(context.Background(), []byte("command"))
		result <- err
	}()
	return machines, leader, release, result
}

// TestLeaderStaysDuringOwnSlowWrite guards against the loss of a leader, and of its callers'
// answers, while its own disk is slow. The write takes two election timeouts, as the
// followers' randomized timeouts are between one and two.
func TestLeaderStaysDuringOwnSlowWrite(t *testing.T) {
	const tick = 50 * time.Millisecond
	_, leader, release, answered := holdLeadersSyncs(t, tick)
	term := leader.member.PublishedState().Status.Term
	time.Sleep(2 * group.DefaultElectionTicks * tick)
	release()
	if err := <-answered; err != nil {
		t.Errorf("the command: %v", err)
	}
	if published := leader.member.PublishedState(); published == nil || !published.LeaderReady || published.Status.Term != term {
		t.Errorf("the leader of term %d lost its leadership: %+v", term, published)
	}
}

// TestLeaderWithHungDiskIsReplaced guards against a leader whose disk hangs, and whose
// heartbeats keep the followers from electing another.
func TestLeaderWithHungDiskIsReplaced(t *testing.T) {
	machines, leader, release, answered := holdLeadersSyncs(t, testTick)
	var others []string
	for _, name := range []string{"a", "b", "c"} {
		if machines[name] != leader {
			others = append(others, name)
		}
	}
	var next *groupMachine
	waitUntil(t, "another member leads", func() bool {
		next = leaderOf(machines, others...)
		return next != nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := next.member.Propose(ctx, []byte("command")); err != nil {
		t.Errorf("a command to the new leader: %v", err)
	}
	release()
	// The followers may have the command of the old leader, which then may still answer it.
	if err := <-answered; err != nil && !errors.Is(err, groupmember.ErrLeadershipLost) {
		t.Errorf("the command to the old leader: %v", err)
	}
}

// TestFollowerWithSlowDiskServesRequests guards against a follower that handles nothing but
// the messages that arrive during its writes, as long as commands arrive faster than it writes.
func TestFollowerWithSlowDiskServesRequests(t *testing.T) {
	all, machines := startGroup(t)
	waitForVoters(t, all, "a", "b", "c")
	machines["d"].stop()
	leader := leaderOf(machines, "a", "b", "c")
	var slow *groupMachine
	for _, name := range []string{"a", "b", "c"} {
		if machines[name] != leader {
			slow = machines[name]
		}
	}
	slow.files.SetSyncDelay(5 * time.Millisecond)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var proposals errgroup.Group
	for range 8 {
		proposals.Go(func() error {
			for ctx.Err() == nil {
				_, _ = leader.member.Propose(ctx, []byte("command")) // load; the outcome is irrelevant
			}
			return nil
		})
	}
	waitUntil(t, "the follower is busy", func() bool { return slow.applied() >= 200 })
	before := slow.member.PublishedState().PublishedAt
	for range 20 {
		inspectCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
		err := slow.member.Inspect(inspectCtx, func(groupmember.StateMachine) {})
		cancel()
		if err != nil {
			t.Fatalf("a request to the follower: %v", err)
		}
	}
	if after := slow.member.PublishedState().PublishedAt; after <= before {
		t.Error("the follower published no state")
	}
	stop()
	_ = proposals.Wait()
}

// TestReleasedSnapshotIsReadFromDisk checks that a leader reads a released
// snapshot from disk for a machine that joins after the log was compacted. The tick is one
// at which a process that is not scheduled for a while keeps its leadership.
func TestReleasedSnapshotIsReadFromDisk(t *testing.T) {
	const tick = 50 * time.Millisecond
	all, machines := startGroupWithTick(t, tick)
	waitForVoters(t, all, "a", "b", "c")
	machines["d"].stop()
	leader := leaderOf(machines, "a", "b", "c")
	const commands, callers = 1200, 24 // exceeds the retained log entries
	var proposals errgroup.Group
	proposals.SetLimit(callers)
	for range commands {
		proposals.Go(func() error {
			_, err := leader.member.Propose(context.Background(), make([]byte, snapshotBytes/50))
			return err
		})
	}
	if err := proposals.Wait(); err != nil {
		t.Fatal(err)
	}
	var lost *groupMachine
	for _, name := range []string{"a", "b", "c"} {
		if machines[name] != leader {
			lost = machines[name]
		}
	}
	lost.stop()
	machines["d"].start()
	waitUntil(t, "the new member applies all commands", func() bool {
		return machines["d"].applied() >= commands
	})
}
