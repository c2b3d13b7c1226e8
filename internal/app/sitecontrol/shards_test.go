package sitecontrol

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// storesOf makes the leader's part for a site of two shards of three machines each and
// further free ones, all of which were just heard of.
func storesOf(free ...string) *stores {
	s := newStores(&Control{config: Config{ToleratedLosses: 1}})
	view := &sitestate.View{Shards: []sitestate.Shard{{Number: 1}, {Number: 2}}}
	for number := range 2 {
		shard := sitestate.ShardNumber(number + 1)
		var members []string
		for i := range 3 {
			name := fmt.Sprintf("s%d-%d", shard, i)
			members = append(members, name)
			view.Stores = append(view.Stores, sitestate.Store{Name: name, Address: name, Zone: fmt.Sprint("z", i), Shard: shard})
		}
		s.reports[shard] = shardReport{members: members, whole: true}
	}
	for i, name := range free {
		view.Stores = append(view.Stores, sitestate.Store{Name: name, Address: name, Zone: fmt.Sprint("z", i%3)})
	}
	for _, store := range view.Stores {
		s.heard[store.Name] = time.Now()
	}
	s.control.view.Store(view)
	return s
}

func (s *stores) invitationOf(name string) sitestate.ShardNumber {
	store, _ := s.find(name)
	return s.invite(store)
}

// TestFreeMachinesAreInvitedWhereTheyAreNeeded: one for each place, that of a zone which
// has the fewest of the group before others.
func TestInviteFillsFreeSlots(t *testing.T) {
	s := storesOf("f0", "f1", "f2")
	invitations := func() string {
		return fmt.Sprint(s.invitationOf("f0"), s.invitationOf("f1"), s.invitationOf("f2"), s.invitationOf("s1-0"))
	}
	if got := invitations(); got != "0 0 0 0" {
		t.Errorf("all are whole: %s", got)
	}
	lost := s.reports[2]
	lost.members, lost.vacant = slices.Clone(lost.members[:2]), 1
	s.reports[2] = lost
	if got := invitations(); got != "0 0 2 0" {
		t.Errorf("one of zone 2 is lost: %s", got)
	}
	first := s.reports[1]
	first.vacant = 1
	s.reports[1] = first
	if got := invitations(); got != "1 0 2 0" {
		t.Errorf("the other group has a place too: %s", got)
	}
	s.invited["f2"] = time.Now().Add(-joinPatience - time.Second)
	if got := invitations(); got != "1 2 0 0" {
		t.Errorf("one does not come: %s", got)
	}
	s.invited["f2"] = time.Now().Add(-2*joinPatience - time.Second)
	if got := invitations(); got != "1 0 2 0" {
		t.Errorf("it is given another chance: %s", got)
	}
}

// TestAMachineThatLostItsDiskGoesBackToItsGroup: the group counts on its address.
func TestInviteMachineWithReplacedDisk(t *testing.T) {
	s := storesOf("f0")
	view := *s.control.view.Load()
	view.Stores = slices.Clone(view.Stores)
	view.Stores[4].Shard, view.Stores[4].Incarnation = 0, "new"
	s.control.view.Store(&view)
	if got := s.invitationOf(view.Stores[4].Name); got != 2 {
		t.Errorf("invited to shard %d", got)
	}
	view.Stores[4].State = sitestate.StoreLeaving
	if got := s.invitationOf(view.Stores[4].Name); got != 0 {
		t.Errorf("invited to shard %d though it is to be emptied", got)
	}
}

// TestAMachineIsEmptyOnceEveryGroupIsWholeWithoutIt: one that did not report may count
// on it.
func TestMachineIsEmptiedOnceGroupsAreComplete(t *testing.T) {
	s := storesOf("f0")
	if !s.holdsNothing("f0", 2) || s.holdsNothing("s1-0", 2) {
		t.Error("a free machine holds nothing, a member does")
	}
	without := s.reports[1]
	without.members, without.whole = []string{"s1-1", "s1-2"}, false
	s.reports[1] = without
	if s.holdsNothing("s1-0", 2) {
		t.Error("emptied though its group is not whole without it")
	}
	without.members, without.whole = []string{"s1-1", "s1-2", "f0"}, true
	s.reports[1] = without
	if !s.holdsNothing("s1-0", 2) {
		t.Error("its group is whole without it")
	}
	delete(s.reports, 2)
	if s.holdsNothing("s1-0", 2) || s.holdsNothing("s1-0", 0) {
		t.Error("emptied though a group did not report")
	}
}

func TestDemandIsThatOfAllShards(t *testing.T) {
	s := storesOf()
	if demand, open := s.reportedDemand(); demand != nil || open != nil {
		t.Errorf("%v, %v though no runner measured anything", demand, open)
	}
	s.note(StoreHeartbeat{Store: sitestate.Store{Name: "s1-0", Shard: 1}, Members: []string{}, Demand: map[string]float64{"a": 2}, Open: map[string]int{"a": 3}})
	s.note(StoreHeartbeat{Store: sitestate.Store{Name: "s2-0", Shard: 2}, Members: []string{}, Demand: map[string]float64{"b": 4}, Open: map[string]int{"b": 5}})
	demand, open := s.reportedDemand()
	if len(demand) != 2 || demand["a"] != 2 || demand["b"] != 4 || open["a"] != 3 || open["b"] != 5 {
		t.Errorf("%v, %v", demand, open)
	}
}

func TestFoundersAreNotFree(t *testing.T) {
	alive := []sitestate.Store{
		{Name: "named", Address: "1", Incarnation: "x"}, {Name: "wiped since", Address: "2", Incarnation: "y"},
		{Name: "member", Address: "3", Shard: 1}, {Name: "free", Address: "4"},
	}
	shards := []sitestate.Shard{{Number: 1, Founders: []groupmember.Record{{ID: 1, Address: "1", Incarnation: "x"}, {ID: 2, Address: "2", Incarnation: "old"}}}}
	var names []string
	for _, store := range freeOf(alive, shards) {
		names = append(names, store.Name)
	}
	if !slices.Equal(names, []string{"wiped since", "free"}) {
		t.Errorf("free: %v", names)
	}
}
