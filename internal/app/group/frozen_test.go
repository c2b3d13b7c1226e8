package group

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// TestFrozenFollowerKeepsItsVote guards against a follower that was frozen in the middle of
// a batch and counts the ticks before its leader's heartbeat as silence after it: it could
// vote for another member while the leader still serves reads under its lease.
func TestFrozenFollowerKeepsItsVote(t *testing.T) {
	const self, leader = 1, 2
	cases := map[string]func(l *loop, heartbeat consensus.Message){
		"heartbeat in the queue":            func(l *loop, heartbeat consensus.Message) { l.messages <- heartbeat },
		"heartbeat that waited for a write": func(l *loop, heartbeat consensus.Message) { l.held = append(l.held, heartbeat) },
	}
	for name, arrive := range cases {
		t.Run(name, func(t *testing.T) {
			var now time.Duration
			config := Config{
				Tick: time.Second, Clock: func() time.Duration { return now }, Logger: testkit.NewLineBuffer(t).Logger("a"),
				Machine: func() groupmember.StateMachine { return emptyMachine{} },
			}.withDefaults()
			stored := identity{ID: self, Records: []groupmember.Record{{ID: self}, {ID: leader}, {ID: 3}}}
			initial := consensus.Membership{Voters: []consensus.MemberID{self, leader, 3}, HighestID: 3}
			log, restored, err := wal.Create(wal.Options{
				FileSystem: wal.OS{}, Directory: filepath.Join(t.TempDir(), "log"), Identity: wal.Identity{Cluster: "test", Member: self},
			}, initial)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = log.Close() }()
			peers := newPeers(wire.Options{ClusterID: "test", Name: "a"}, "test")
			defer peers.close()
			l, err := newLoop(config, stored, log, restored, peers, func(Step) {})
			if err != nil {
				t.Fatal(err)
			}
			now += 2 * config.electionTimeout()
			arrive(l, consensus.Message{Kind: consensus.MessageHeartbeat, From: leader, To: self, Term: 1})
			if err := l.handleQueued(); err != nil {
				t.Fatal(err)
			}
			l.catchUpTicks()
			if status := l.member.Status(); status.Leader != leader || status.TicksSinceContact != 0 {
				t.Errorf("leader %d, %d ticks since its heartbeat, want leader %d and 0 ticks", status.Leader, status.TicksSinceContact, leader)
			}
		})
	}
}
