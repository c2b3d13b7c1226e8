package wal_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/faultfs"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// clusterMember is a consensus member over a Log on a faulty disk.
type clusterMember struct {
	id      consensus.MemberID
	files   *faultfs.FileSystem
	log     *wal.Log
	node    *consensus.Node
	applied map[uint64]string
	stopped bool
}

func (m *clusterMember) options() wal.Options {
	options := optionsOn(m.files)
	options.Identity.Member = m.id
	return options
}

func (m *clusterMember) start(t *testing.T) {
	t.Helper()
	if err := m.open(t); err != nil {
		t.Fatalf("member %d: %v", m.id, err)
	}
}

// open starts the member, or returns the error of its log.
func (m *clusterMember) open(t *testing.T) error {
	t.Helper()
	log, recovery, err := wal.Open(m.options())
	if err != nil {
		return err
	}
	config := consensus.Config{ID: m.id, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 5}
	node, err := consensus.New(config, recovery.Restored)
	if err != nil {
		t.Fatalf("member %d: %v", m.id, err)
	}
	m.log, m.node, m.stopped = log, node, false
	return nil
}

// cluster runs three members and delivers every message between running ones.
type cluster struct {
	t          *testing.T
	members    []*clusterMember
	entries    map[uint64]string
	violations []string
}

func newCluster(t *testing.T, skipSync bool) *cluster {
	c := &cluster{t: t, entries: map[uint64]string{}}
	for _, id := range voters.Voters {
		member := &clusterMember{id: id, files: faultfs.New(uint64(id)), applied: map[uint64]string{}}
		log, _, err := wal.Create(member.options(), voters)
		if err != nil {
			t.Fatal(err)
		}
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		member.files.SkipSync(skipSync)
		member.start(t)
		c.members = append(c.members, member)
	}
	return c
}

func (c *cluster) tick(count int) {
	for range count {
		for _, member := range c.members {
			if !member.stopped {
				member.node.Tick()
			}
		}
		for c.processReady() {
		}
	}
}

// processReady handles one Ready of every member and reports whether there was one.
func (c *cluster) processReady() bool {
	processed := false
	for _, member := range c.members {
		if member.stopped || !member.node.HasReady() {
			continue
		}
		processed = true
		ready := member.node.Ready()
		if member.log.Persist(ready) != nil {
			member.stopped = true // a failed member sends no more messages
			continue
		}
		for _, message := range ready.Messages {
			if to := c.members[message.To-1]; !to.stopped {
				if err := to.node.Step(message); err != nil {
					c.violations = append(c.violations, err.Error())
				}
			}
		}
		for _, entry := range ready.Committed {
			c.apply(entry)
		}
		member.node.Advance(ready)
	}
	return processed
}

func (c *cluster) apply(entry consensus.Entry) {
	content := fmt.Sprintf("term %d: %s", entry.Term, entry.Data)
	previous, seen := c.entries[entry.Index]
	if seen && previous != content {
		c.violations = append(c.violations, fmt.Sprintf("entry %d was %q, is %q", entry.Index, previous, content))
	}
	c.entries[entry.Index] = content
}

func (c *cluster) leader() *clusterMember {
	for range 200 {
		for _, member := range c.members {
			if !member.stopped && member.node.Status().Role == consensus.RoleLeader && member.node.Status().QuorumActive {
				return member
			}
		}
		c.tick(1)
	}
	c.t.Fatal("no leader")
	return nil
}

func (c *cluster) propose(data string) {
	c.t.Helper()
	if _, _, err := c.leader().node.Propose([]byte(data)); err != nil {
		c.t.Fatal(err)
	}
	c.tick(5)
}

// powerLoss simulates a power loss of all members. It reports whether all of them run
// again: a log may detect that its disk has skipped syncs.
func (c *cluster) powerLoss(skipSync bool) bool {
	c.t.Helper()
	for _, member := range c.members {
		member.files.Crash()
		err := member.open(c.t)
		if skipSync && errors.Is(err, wal.ErrCorrupt) {
			return false
		}
		if err != nil {
			c.t.Fatalf("member %d: %v", member.id, err)
		}
	}
	return true
}

// Every committed entry survives a power loss of all members, because it is synced before
// it is acknowledged. Without the sync, entries are lost.
func TestCommittedEntriesSurvivePowerLoss(t *testing.T) {
	for _, skipSync := range []bool{false, true} {
		c := newCluster(t, skipSync)
		running := true
		for round := 0; running && round < 20; round++ {
			c.propose(fmt.Sprintf("round %d", round))
			running = c.powerLoss(skipSync)
		}
		if running {
			c.propose("last")
		}
		if violated := len(c.violations) > 0; violated != skipSync {
			t.Errorf("sync skipped %v: violations %v", skipSync, c.violations)
		}
	}
}

// A member whose sync fails stops; the others continue, and it catches up after a restart.
func TestFailedSyncStopsOneMember(t *testing.T) {
	c := newCluster(t, false)
	c.propose("a")
	failing := c.leader()
	failing.files.FailSync(1)
	if _, _, err := failing.node.Propose([]byte("b")); err != nil {
		t.Fatal(err)
	}
	c.tick(30)
	if !failing.stopped {
		t.Fatal("member continues after a failed sync")
	}
	c.propose("c")
	failing.files.Crash()
	failing.start(t)
	c.tick(30)
	want := c.leader().node.Status().Commit
	if got := failing.node.Status().Commit; got != want {
		t.Errorf("commit index %d after the restart, want %d", got, want)
	}
	if len(c.violations) > 0 {
		t.Error(c.violations)
	}
}
