package nodestate

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// TestCachedTablesFollowView checks that every kind of change of the view replaces the
// cached tables if it affects them.
func TestCachedTablesFollowView(t *testing.T) {
	newReplica := port.Replica{ID: "new", Pool: "pool-00", Zone: "zone-03", Address: "10.9.9.9:8000", State: port.ReplicaActive}
	newNode := port.NodeAddress{ID: "node-new", Zone: "zone-00", PeerAddress: "10.9.9.8:7000"}
	tests := map[string]struct {
		change  port.ViewChange
		applied func(*Snapshot) bool
		reuses  bool
	}{
		"lease":   {port.ViewChange{Lease: &port.Lease{Name: "second", Holder: "node-001", Epoch: 2}}, func(s *Snapshot) bool { return len(s.View.Leases) == 2 }, true},
		"replica": {port.ViewChange{Edit: &port.Edit{PutReplica: &newReplica}}, func(s *Snapshot) bool { return s.Replicas["new"] == newReplica }, false},
		"replica removed": {port.ViewChange{Edit: &port.Edit{RemoveReplica: "replica-0000"}}, func(s *Snapshot) bool {
			_, found := s.Replicas["replica-0000"]
			return !found
		}, false},
		"node": {port.ViewChange{Node: &newNode}, func(s *Snapshot) bool {
			return s.Nodes["node-new"] == newNode && len(s.ZoneNodes) == 3
		}, false},
		"pool removed": {port.ViewChange{Edit: &port.Edit{RemovePool: "pool-01"}}, func(s *Snapshot) bool { return s.Pools["pool-01"] == nil }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := benchState(benchView(20))
			update := func(after uint64, change port.ViewChange) {
				_, _, err := s.ViewUpdate(benchStart, port.ViewUpdate{
					After: after, Position: after + 1, Term: 1, Revision: port.Revision(after + 1), Changes: []port.ViewChange{change},
				})
				if err != nil {
					t.Fatal(err)
				}
			}
			// The first update after a full view allocates its own slices.
			update(1, port.ViewChange{Lease: &port.Lease{Name: "first", Holder: "node-001", Epoch: 1}})
			s.RebuildIfDue(benchStart.Add(time.Second))
			s.Flush()
			before := s.tables
			update(2, test.change)
			s.RebuildIfDue(benchStart.Add(2 * time.Second))
			snapshot := s.Flush().Snapshot
			if snapshot == nil || !test.applied(snapshot) {
				t.Fatalf("the change is missing from the snapshot (snapshot rebuilt: %v)", snapshot != nil)
			}
			if reused := s.tables == before; reused != test.reuses {
				t.Errorf("tables reused: %v, want %v", reused, test.reuses)
			}
		})
	}
}

// TestNewNodeReceivesAggregates checks that a node that has just started requests the
// aggregates that its peers relay, and that a peer sends them.
func TestNewNodeReceivesAggregates(t *testing.T) {
	s, _ := benchState(benchView(20))
	s.RebuildIfDue(benchStart.Add(time.Second))
	s.Flush()
	s.Tick(benchStart.Add(2*time.Second), false)
	requests := 0
	for _, envelope := range s.Flush().Messages {
		if message, isAggregates := envelope.Body.(AggregatesMessage); isAggregates && message.Requester == s.config.Self {
			requests++
		}
	}
	if requests != 1 {
		t.Errorf("sent %d requests, want one to the other node of the zone", requests)
	}
	s.HandleAggregates(benchStart, AggregatesMessage{Requester: "node-014"})
	messages := s.Flush().Messages
	if len(messages) != 1 || messages[0].To.ID != "node-014" {
		t.Fatalf("answered with %d messages", len(messages))
	}
	reply, _ := messages[0].Body.(AggregatesMessage)
	want := s.aggregates.RelayedBy(s.config.Self, s.detector.Assigner())
	if !reply.Relayed || len(reply.Aggregates) != len(want) || len(want) == 0 || len(want) == (benchZones-1)*benchPools {
		t.Errorf("%d aggregates, relayed %v; want the %d that the node relays", len(reply.Aggregates), reply.Relayed, len(want))
	}
}

// TestUnchangedAggregatesAreSentOnce checks that unchanged aggregates are not sent at
// every tick.
func TestUnchangedAggregatesAreSentOnce(t *testing.T) {
	view := benchView(20)
	s, summaries := benchState(view)
	sent := 0
	for second := range 8 {
		now := benchStart.Add(time.Duration(second) * time.Second)
		for _, summary := range summaries {
			summary.Sequence = uint64(second + 1)
			s.HandleSummary(now, summary)
		}
		s.Tick(now, false)
		for _, envelope := range s.Flush().Messages {
			message, isAggregates := envelope.Body.(AggregatesMessage)
			if isAggregates && message.Requester == "" && !message.Relayed && envelope.To.Zone == "zone-01" {
				sent += len(message.Aggregates)
			}
		}
	}
	responsible := 0
	for _, pool := range view.Configuration.Pools {
		if sender, _ := s.detector.Assigner().HomeOf(string(pool.Name)); sender == s.config.Self {
			responsible++
		}
	}
	// The aggregates include the node's own replicas from the first rebuild on, so that
	// each one may change once.
	if responsible == 0 || sent < responsible || sent > 2*responsible {
		t.Errorf("sent %d aggregates in 8 s for %d pools", sent, responsible)
	}
}
