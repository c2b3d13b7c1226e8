package group_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/diskfault"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/faultfs"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// snapshotBytes is the size of applied commands after which members in these tests take a
// snapshot.
const snapshotBytes = 64 << 10

// counter is a state machine that counts commands.
type counter struct{ applied atomic.Uint32 }

func (c *counter) Apply(uint64, []byte) any { c.applied.Add(1); return nil }
func (c *counter) Snapshot() groupmember.Encoder {
	applied := c.applied.Load()
	return func(into *bytes.Buffer) error { return binary.Write(into, binary.BigEndian, applied) }
}

func (c *counter) Restore(data []byte) error {
	c.applied.Store(binary.BigEndian.Uint32(data))
	return nil
}

// groupMachine is a machine that runs a member. It can be restarted with the same address
// and folder.
type groupMachine struct {
	t       *testing.T
	record  groupmember.Record
	folder  string
	files   *blockingFiles
	tick    time.Duration
	lines   *testkit.LineBuffer
	origin  group.Origin
	member  *group.Member
	machine atomic.Pointer[counter]
	stop    func()
	// suspended is how long the machine was suspended, in nanoseconds.
	suspended atomic.Int64
}

// clock is the machine's clock, which counts suspended time.
func (m *groupMachine) clock() time.Duration {
	return boottime.Now() + time.Duration(m.suspended.Load())
}

// suspend simulates a suspension: the machine's monotonic clock does not count it.
func (m *groupMachine) suspend(duration time.Duration) { m.suspended.Add(int64(duration)) }

func (m *groupMachine) newState() groupmember.StateMachine {
	state := &counter{}
	m.machine.Store(state)
	return state
}

// applied returns the number of commands applied to the machine's state, 0 before it has a
// state.
func (m *groupMachine) applied() int {
	state := m.machine.Load()
	if state == nil {
		return 0
	}
	return int(state.applied.Load())
}

func (m *groupMachine) start() {
	m.t.Helper()
	options := wire.Options{ClusterID: "test", Name: m.record.Name, DialTimeout: 200 * time.Millisecond, BackoffMax: 50 * time.Millisecond}
	m.member = group.New(group.Config{
		Name: "test", Folder: m.folder, FileSystem: m.files, SnapshotBytes: snapshotBytes, Wire: options, Seed: uint64(m.record.Name[0]), Tick: m.tick,
		Self:    groupmember.Record{Address: m.record.Address, Name: m.record.Name},
		Machine: m.newState, Clock: m.clock,
		Origin: func(context.Context, string) (group.Origin, error) { return m.origin, nil },
		OnStep: func(group.Step) {}, Logger: m.lines.Logger(m.record.Name),
		Limits:       groupmember.Limits{Voters: 3, MinVoters: 3},
		ReplaceAfter: 400 * time.Millisecond, FreeSlotAfter: 200 * time.Millisecond, RemovalCheckInterval: 50 * time.Millisecond,
	})
	server := wire.NewServer(options)
	m.member.Register(server)
	listener, err := net.Listen("tcp", m.record.Address)
	if err != nil {
		m.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	member := m.member
	tasks.Go(func() { _ = server.Serve(listener) })
	tasks.Go(func() { _ = member.Run(ctx) })
	m.stop = func() {
		cancel()
		server.Close()
		tasks.Wait()
	}
}

// testTick is the tick of members in tests.
const testTick = 10 * time.Millisecond

// startGroup starts four machines, of which three bootstrap the group.
func startGroup(t *testing.T) (all []*groupMachine, machines map[string]*groupMachine) {
	t.Helper()
	return startGroupWithTick(t, testTick)
}

func startGroupWithTick(t *testing.T, tick time.Duration) (all []*groupMachine, machines map[string]*groupMachine) {
	t.Helper()
	machines = map[string]*groupMachine{}
	var founders []groupmember.Record
	var contacts []string
	lines := testkit.NewLineBuffer(t)
	for i, name := range []string{"a", "b", "c", "d"} {
		address := testkit.FreeAddress(t)
		record := groupmember.Record{ID: consensus.MemberID(i + 1), Address: address, Name: name}
		folder := t.TempDir()
		files := &blockingFiles{SlowFiles: faultfs.NewSlowFiles(diskfault.New(wal.OS{}, folder))}
		machines[name] = &groupMachine{t: t, record: record, folder: folder, files: files, tick: tick, lines: lines}
		contacts = append(contacts, address)
		if name != "d" {
			founders = append(founders, record)
		}
	}
	for _, m := range machines {
		m.origin = group.Origin{Founders: founders, Contacts: contacts}
		m.start()
		t.Cleanup(func() { m.stop() })
	}
	all = []*groupMachine{machines["a"], machines["b"], machines["c"], machines["d"]}
	return all, machines
}

// leaderOf returns the machine, among those named, whose member leads.
func leaderOf(machines map[string]*groupMachine, names ...string) *groupMachine {
	for _, name := range names {
		if published := machines[name].member.PublishedState(); published != nil && published.LeaderReady {
			return machines[name]
		}
	}
	return nil
}

// voters returns the names of the voters in the leader's published state.
func voters(machines []*groupMachine) []string {
	for _, m := range machines {
		published := m.member.PublishedState()
		if published == nil || !published.LeaderReady {
			continue
		}
		var names []string
		for _, record := range published.Records {
			if published.Status.Membership.IsVoter(record.ID) {
				names = append(names, record.Name)
			}
		}
		slices.Sort(names)
		return names
	}
	return nil
}

func waitForVoters(t *testing.T, machines []*groupMachine, want ...string) {
	t.Helper()
	waitUntil(t, fmt.Sprint("voters are ", want), func() bool { return slices.Equal(voters(machines), want) })
}

// TestRemovedMemberRejoins checks that a member that was removed while it was stopped
// detects the removal and replaces the next lost member.
func TestRemovedMemberRejoins(t *testing.T) {
	all, machines := startGroup(t)
	waitForVoters(t, all, "a", "b", "c")

	machines["b"].stop()
	waitForVoters(t, []*groupMachine{machines["a"], machines["c"], machines["d"]}, "a", "c", "d")
	machines["b"].start()

	machines["c"].stop()
	waitForVoters(t, []*groupMachine{machines["a"], machines["b"], machines["d"]}, "a", "b", "d")
}
