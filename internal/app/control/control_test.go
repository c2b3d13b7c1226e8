package control

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// TestProposalThroughAnyMember sends changes to each member in turn.
func TestProposalThroughAnyMember(t *testing.T) {
	group := startGroup(t, 3, nil)
	for id := uint64(1); id <= 3; id++ {
		group.change(group.client(id), 2)
	}
	if revision := group.revision(); revision != 6 {
		t.Fatalf("revision %d, want 6", revision)
	}
}

// TestKilledLeaderLosesNothing checks that no accepted change is lost when leaders
// are killed.
func TestKilledLeaderLosesNothing(t *testing.T) {
	group := startGroup(t, 3, nil)
	client := group.client(1)
	var last port.Revision
	for range 3 {
		last = group.change(client, 5)
		leader := group.leader().config.ID
		group.kill(leader)
		if revision := group.revision(); revision != last {
			t.Fatalf("revision %d after the leader was killed, want %d", revision, last)
		}
		last = group.change(client, 1)
		member := group.restart(leader)
		<-member.Ready()
	}
	for id, member := range group.running {
		group.waitUntil("every member to catch up", func() bool {
			view, err := member.View(group.context(), true)
			return err == nil && view.Revision == last
		})
		if view, err := member.View(group.context(), false); err != nil || view.Revision != last {
			t.Fatalf("member %d reads %+v: %v", id, view, err)
		}
	}
}

// TestRepeatedChangeReturnsFirstResult repeats a change with the same id at another member,
// after the leader was killed and after a snapshot.
func TestRepeatedChangeReturnsFirstResult(t *testing.T) {
	group := startGroup(t, 3, func(config *Config) { config.SnapshotEntries, config.RetainEntries = 20, 5 })
	command := machineListChange(0, 1)
	first := group.mustAccept(group.client(1), command)
	again := group.mustAccept(group.client(2), command)
	if again.Index != first.Index || again.Revision != first.Revision {
		t.Fatalf("repeated change got %+v, want the first result %+v", again, first)
	}
	group.change(group.client(1), 50)
	leader := group.leader().config.ID
	group.kill(leader)
	client := group.client(leader%3 + 1)
	if result := group.mustAccept(client, command); result.Index != first.Index {
		t.Fatalf("repeated change at a new leader got %+v, want the first result %+v", result, first)
	}
	other := machineListChange(first.Revision, 2)
	other.ChangeID = command.ChangeID
	result, err := client.Propose(group.context(), other)
	if err != nil || result.Error == nil || result.Error.Code != port.CodeChangeIDReused {
		t.Fatalf("another change under the same id got %+v, %v", result, err)
	}
	if revision := group.revision(); revision != 51 {
		t.Fatalf("revision %d, want 51", revision)
	}
}

// TestConcurrentChangesOfOneRevision proposes concurrent changes with one expected revision.
func TestConcurrentChangesOfOneRevision(t *testing.T) {
	const proposers, rounds = 4, 5
	group := startGroup(t, 3, nil)
	clients := make([]*controlclient.Client, proposers)
	for index := range clients {
		clients[index] = group.client(uint64(index%3 + 1))
	}
	for round := range rounds {
		results := make([]port.Result, proposers)
		failures := make([]error, proposers)
		var proposing sync.WaitGroup
		for index, client := range clients {
			proposing.Go(func() {
				command := machineListChange(port.Revision(round), round*proposers+index)
				results[index], failures[index] = client.Propose(group.context(), command)
			})
		}
		proposing.Wait()
		accepted := 0
		for index, result := range results {
			switch {
			case failures[index] != nil:
				t.Fatal(failures[index])
			case result.Error == nil:
				accepted++
			case result.Error.Code != port.CodeConflict || result.Error.Verdict != port.NotRun:
				t.Fatal(result.Error)
			}
		}
		if accepted != 1 {
			t.Fatalf("%d changes accepted in round %d", accepted, round)
		}
	}
}

// observerWatch is a watch that applies every update to an observer.
type observerWatch struct {
	mutex     sync.Mutex
	observer  *controlstate.Observer
	fullViews int
	err       error
	cancel    context.CancelFunc
	done      chan struct{}
}

func startObserverWatch(client *controlclient.Client, observer *controlstate.Observer) *observerWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &observerWatch{observer: observer, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		_ = client.Watch(ctx, observer.Position(), w.apply)
	}()
	return w
}

func (w *observerWatch) apply(update port.ViewUpdate) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	before := w.observer.View()
	if update.Full != nil {
		w.fullViews++
	}
	if _, err := w.observer.Apply(update); err != nil {
		w.err = err
	}
	if after := w.observer.View(); after.Revision < before.Revision || after.Position < before.Position {
		w.err = errors.New("the observer's revision or position decreased")
	}
}

func (w *observerWatch) revision() port.Revision {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.observer.View().Revision
}

func (w *observerWatch) stop(t testing.TB) {
	t.Helper()
	w.cancel()
	<-w.done
	if w.err != nil {
		t.Fatal(w.err)
	}
}

// TestWatchResumesAfterMissedChanges resumes a watch at a position older than a
// compaction, after restarts of all members.
func TestWatchResumesAfterMissedChanges(t *testing.T) {
	group := startGroup(t, 3, func(config *Config) { config.SnapshotEntries, config.RetainEntries = 50, 10 })
	client := group.client(1)
	observer := controlstate.NewObserver()
	watch := startObserverWatch(group.client(1), observer)
	last := group.change(client, 5)
	group.waitUntil("the first changes", func() bool { return watch.revision() == last })
	watch.stop(t)

	last = group.change(client, 300)
	for id := uint64(1); id <= 3; id++ {
		group.kill(id)
		<-group.restart(id).Ready()
		group.leader()
	}
	resumed := startObserverWatch(group.client(2), observer)
	group.waitUntil("the missed changes", func() bool { return resumed.revision() == last })
	last = group.change(client, 3)
	group.waitUntil("the new changes", func() bool { return resumed.revision() == last })
	resumed.stop(t)
	if resumed.fullViews == 0 {
		t.Fatal("the observer got no full view, though the members restarted after the compaction")
	}
}

// TestWatchLeavesMemberWithoutQuorum checks that a watch moves from a member without
// a quorum to another one, and that such a member confirms no update.
func TestWatchLeavesMemberWithoutQuorum(t *testing.T) {
	group := startGroup(t, 3, nil)
	watch := startObserverWatch(group.client(1), controlstate.NewObserver())
	last := group.change(group.client(2), 3)
	group.waitUntil("the first changes", func() bool { return watch.revision() == last })
	group.kill(1)
	last = group.change(group.client(2), 3)
	group.waitUntil("changes after the watched member was killed", func() bool { return watch.revision() == last })
	watch.stop(t)

	group.kill(2)
	isolated := group.running[3]
	group.waitUntil("the remaining member to lose its quorum", func() bool {
		status, err := isolated.Status(group.context())
		return err == nil && !status.QuorumActive
	})
	update, err := isolated.updateAfter(group.context(), 0)
	if err != nil || update.Confirmed {
		t.Fatalf("a member without a quorum confirmed %+v: %v", update, err)
	}
	ctx, cancel := context.WithTimeout(group.context(), time.Second)
	defer cancel()
	_ = group.client(3).Watch(ctx, 0, func(update port.ViewUpdate) {
		t.Errorf("an observer without a view got %+v without a quorum", update)
	})
	ctx, cancel = context.WithTimeout(group.context(), time.Second)
	defer cancel()
	_, err = isolated.Propose(ctx, machineListChange(last, 9))
	if refusal := port.AsError(err); refusal == nil || refusal.RetryAfter == 0 {
		t.Fatalf("a proposal without a quorum got %v, want a refusal with RetryAfter", err)
	}
	if _, err := isolated.View(ctx, false); err == nil {
		t.Fatal("a linearizable read was served without a quorum")
	}
}

// TestStartRejectsLostDataFolder checks that a voter without its folder cannot restart
// under its old id, but can be replaced under a new one.
func TestStartRejectsLostDataFolder(t *testing.T) {
	group := startGroup(t, 3, nil)
	client := group.client(1)
	group.change(client, 3)
	group.kill(3)
	if err := os.RemoveAll(group.dataFolder(3)); err != nil {
		t.Fatal(err)
	}
	for _, join := range []bool{false, true} {
		lost := group.startOn(3, listenLoopback(t, group.members[2].Peer), func(config *Config) { config.Join = join })
		if err := lost.Wait(); !errors.Is(err, ErrDataLost) {
			t.Fatalf("join %v: a voter without its folder ended with %v, want ErrDataLost", join, err)
		}
		delete(group.running, 3)
	}
	group.replace(3, 4)
	group.change(client, 3)
}

// replace removes a lost member, and adds and promotes a new one.
func (g *testGroup) replace(lost, id uint64) {
	g.t.Helper()
	g.changeMember(operatorapi.MemberChange{Action: operatorapi.MemberRemove, ID: lost})
	listener := listenLoopback(g.t, "127.0.0.1:0")
	address := listener.Addr().String()
	joined := g.startOn(id, listener, func(config *Config) { config.Join = true })
	g.changeMember(operatorapi.MemberChange{Action: operatorapi.MemberAdd, ID: id, Address: address})
	<-joined.Ready()
	g.changeMember(operatorapi.MemberChange{Action: operatorapi.MemberPromote, ID: id})
}

// changeMember retries a change until the group accepts it. A removal that may have
// run counts as accepted if the member is then not found.
func (g *testGroup) changeMember(change operatorapi.MemberChange) {
	g.t.Helper()
	mayHaveRun := false
	g.waitUntil("the group to accept "+string(change.Action), func() bool {
		err := g.leader().ChangeMember(g.context(), change)
		if err == nil {
			return true
		}
		refusal := port.AsError(err)
		if mayHaveRun && change.Action == operatorapi.MemberRemove && refusal.Code == port.CodeNotFound {
			return true
		}
		if refusal.Code != port.CodeUnavailable {
			g.t.Fatal(err)
		}
		mayHaveRun = mayHaveRun || refusal.Verdict != port.NotRun
		return false
	})
}

// TestSecondMemberLostAfterReplacement checks that no accepted change is lost when a
// voter fails right after another one was replaced.
func TestSecondMemberLostAfterReplacement(t *testing.T) {
	group := startGroup(t, 3, nil)
	last := group.change(group.client(1), 10)
	group.kill(3)
	group.replace(3, 4)
	group.kill(group.leader().config.ID)
	if revision := group.revision(); revision != last {
		t.Fatalf("revision %d after the second loss, want %d", revision, last)
	}
}

// TestStartRejectsInvalidFolder checks that Start returns an error for an invalid folder.
func TestStartRejectsInvalidFolder(t *testing.T) {
	group := startGroup(t, 3, nil)
	group.change(group.client(1), 3)
	group.kill(3)
	config := group.config(3)
	config.PeerAddress = "127.0.0.1:0"
	cases := []struct {
		name string
		make func(*testing.T, Config) Config
		want error
	}{
		{"another member's folder", func(_ *testing.T, c Config) Config { c.ID = 2; return c }, wal.ErrForeign},
		{"another cluster's folder", func(_ *testing.T, c Config) Config { c.Cluster = "other"; return c }, wal.ErrForeign},
		{"folder in use", func(_ *testing.T, c Config) Config { c.ID, c.DataFolder = 1, group.dataFolder(1); return c }, wal.ErrLocked},
		{"corrupt folder", corruptFolder, wal.ErrCorrupt},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Start(test.make(t, config)); !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
		})
	}
}

// corruptFolder flips a byte in the middle of the first segment.
func corruptFolder(t *testing.T, config Config) Config {
	t.Helper()
	segments, err := filepath.Glob(filepath.Join(config.DataFolder, "wal-*.log"))
	if err != nil || len(segments) == 0 {
		t.Fatalf("no segments: %v", err)
	}
	data, err := os.ReadFile(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 0xff
	if err := os.WriteFile(segments[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
	return config
}

// TestStopTransfersLeadership checks that proposals continue at another member after a
// graceful stop of the leader.
func TestStopTransfersLeadership(t *testing.T) {
	group := startGroup(t, 3, nil)
	client := group.client(1)
	last := group.change(client, 2)
	leader := group.leader()
	if err := leader.Stop(group.context()); err != nil {
		t.Fatal(err)
	}
	delete(group.running, leader.config.ID)
	if revision := group.revision(); revision != last {
		t.Fatalf("revision %d, want %d", revision, last)
	}
	group.change(client, 1)
}

// TestTimedOutNodeIsRemoved checks that a node without reports is removed from the
// view, and registered again when it reports another address and draining.
func TestTimedOutNodeIsRemoved(t *testing.T) {
	group := startGroup(t, 3, func(config *Config) { config.NodeTimeout = 2 * time.Second })
	client := group.client(1)
	node := func(id port.NodeID, peer string) port.NodeAddress {
		return port.NodeAddress{ID: id, Zone: "zone-a", PeerAddress: peer, HTTPAddress: peer}
	}
	alive, timedOut := node("alive", "127.0.0.1:1001"), node("silent", "127.0.0.1:1002")
	report := func(address port.NodeAddress) {
		t.Helper()
		if err := client.Report(group.context(), port.NodeReport{Node: address}); err != nil {
			t.Fatal(err)
		}
	}
	viewHas := func(nodes ...port.NodeAddress) bool {
		view, err := group.leader().View(group.context(), false)
		return err == nil && slices.Equal(view.Nodes, nodes)
	}
	// Repeat both reports: a new leader does not have them, and on a slow machine
	// one may time out before the check.
	group.waitUntil("both nodes to be registered", func() bool {
		report(timedOut)
		report(alive)
		return viewHas(alive, timedOut)
	})
	group.waitUntil("the timed-out node to be removed", func() bool { report(alive); return viewHas(alive) })
	timedOut.PeerAddress, timedOut.Draining = "127.0.0.1:1003", true
	report(timedOut)
	group.waitUntil("the node to be registered again", func() bool { return viewHas(alive, timedOut) })
}
