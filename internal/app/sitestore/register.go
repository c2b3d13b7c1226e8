package sitestore

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	registerInterval = 500 * time.Millisecond
	registerTimeout  = time.Second
)

var errNoShard = errors.New("sitestore: no shard's group needs this machine now, or it is being evacuated")

// origin registers this machine's data folder and returns the group that the control group
// assigned to it.
func (s *Store) origin(ctx context.Context, incarnation string) (group.Origin, error) {
	s.mutex.Lock()
	registered := s.incarnation == incarnation
	s.incarnation = incarnation
	s.mutex.Unlock()
	if !registered {
		s.sendHeartbeat(ctx)
	}
	view := s.config.Watcher.View()
	if view == nil || s.state(view) != sitestate.StoreActive {
		return group.Origin{}, errNoShard
	}
	assigned := membership{
		self:    groupmember.Record{Address: s.config.Address, Incarnation: incarnation},
		invited: sitestate.ShardNumber(s.invited.Load()), member: sitestate.ShardNumber(s.member.Shard()),
	}
	if shard, found := assigned.shard(view.Shards); found {
		return originOf(view, shard), nil
	}
	return group.Origin{}, errNoShard
}

// membership is what determines the shard of this machine.
type membership struct {
	// self is this machine's address and data folder.
	self groupmember.Record
	// invited is the shard to join, member that of the machine's group; 0 if unset.
	invited sitestate.ShardNumber
	member  sitestate.ShardNumber
}

// shard returns the shard whose group the machine founds, is invited to or is already a
// member of. Only its group can inform a member that was removed while it was down.
func (p membership) shard(shards []sitestate.Shard) (sitestate.Shard, bool) {
	number := p.member
	if number == 0 {
		if i := slices.IndexFunc(shards, p.isFounder); i >= 0 {
			return shards[i], true
		}
		number = p.invited
	}
	i := slices.IndexFunc(shards, func(shard sitestate.Shard) bool { return shard.Number == number })
	if i < 0 {
		return sitestate.Shard{}, false
	}
	return shards[i], true
}

// isFounder reports whether this machine, with this folder, is a founder of a shard's group.
func (p membership) isFounder(shard sitestate.Shard) bool {
	return slices.ContainsFunc(shard.Founders, func(founder groupmember.Record) bool {
		return founder.Address == p.self.Address && founder.Incarnation == p.self.Incarnation
	})
}

func originOf(view *siteview.View, shard sitestate.Shard) group.Origin {
	origin := group.Origin{Shard: group.Shard(shard.Number), Founders: shard.Founders}
	for _, store := range view.Stores {
		if store.Shard == shard.Number {
			origin.Contacts = append(origin.Contacts, store.Address)
		}
	}
	return origin
}

func (s *Store) state(view *siteview.View) sitestate.StoreState {
	for _, store := range view.Stores {
		if store.Name == s.config.Machine {
			return store.State
		}
	}
	return sitestate.StoreActive
}

// leaving returns the names of the machines being evacuated.
func (s *Store) leaving() map[string]bool {
	view := s.config.Watcher.View()
	if view == nil {
		return nil
	}
	var leaving map[string]bool
	for _, store := range view.Stores {
		if store.State == sitestate.StoreActive {
			continue
		}
		if leaving == nil {
			leaving = map[string]bool{}
		}
		leaving[store.Name] = true
	}
	return leaving
}

// register sends heartbeats to the control group until ctx ends.
func (s *Store) register(ctx context.Context) error {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sendHeartbeat(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// folders returns the incarnation of the data folder, and the earlier ones that this process has
// reported.
func (s *Store) folders() (incarnation string, earlier []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	incarnation = cmp.Or(s.incarnation, s.member.Incarnation())
	if s.reported != "" && s.reported != incarnation {
		s.earlier = append(s.earlier, s.reported)
	}
	s.reported = incarnation
	return incarnation, slices.Clone(s.earlier)
}

func (s *Store) sendHeartbeat(ctx context.Context) {
	incarnation, earlier := s.folders()
	heartbeat := sitecontrol.StoreHeartbeat{Store: sitestate.Store{
		Name: s.config.Machine, Address: s.config.Address, Zone: s.config.Zone, Incarnation: incarnation,
		Shard: sitestate.ShardNumber(s.member.Shard()),
	}, Earlier: earlier}
	s.describeGroup(&heartbeat)
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var answer sitecontrol.Answer
	if s.config.Watcher.Call(ctx, sitecontrol.MethodCall, sitecontrol.Request{Store: &heartbeat}, &answer) == nil {
		s.invited.Store(uint32(answer.Join))
	}
}

// describeGroup adds the state of the group, if this machine leads it.
func (s *Store) describeGroup(heartbeat *sitecontrol.StoreHeartbeat) {
	published := s.member.PublishedState()
	if published == nil || !published.LeaderReady || sitestate.ShardNumber(published.Shard) != heartbeat.Store.Shard {
		return
	}
	heartbeat.Members = []string{}
	heartbeat.FreeSlots = groupmember.FreeSlots(published.Status, published.Records, s.leaving(), s.member.Limits())
	completeVoters := 0
	// A member has a record until its removal is committed. Until then its machine
	// must stay.
	for _, record := range published.Records {
		heartbeat.Members = append(heartbeat.Members, record.Name)
		if published.Status.Membership.IsVoter(record.ID) && (record.ID == published.Status.ID || caughtUp(published, record)) {
			completeVoters++
		}
	}
	slices.Sort(heartbeat.Members)
	heartbeat.Complete = completeVoters >= s.wantedVoters()
	if demand := s.demand.Load(); demand != nil {
		heartbeat.Demand, heartbeat.Open = demand.rates, demand.open
	}
}

func caughtUp(published *group.PublishedState, record groupmember.Record) bool {
	for _, peer := range published.Status.Progress {
		if peer.ID == record.ID {
			return peer.Active && peer.CaughtUp
		}
	}
	return false
}
