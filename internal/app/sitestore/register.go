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

var errNoPlace = errors.New("sitestore: no shard's group needs this machine now, or it is to be emptied")

// origin registers this machine's data folder and follows the control group's
// decision on which shard's group it founds or joins.
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
		return group.Origin{}, errNoPlace
	}
	places := folderPlaces{
		founder: groupmember.Record{Address: s.config.Address, Incarnation: incarnation},
		invited: sitestate.ShardNumber(s.invited.Load()), member: sitestate.ShardNumber(s.member.Shard()),
	}
	if shard, found := places.shard(view.Shards); found {
		return originOf(view, shard), nil
	}
	return group.Origin{}, errNoPlace
}

// folderPlaces is what says to which shard's group a machine belongs with its folder.
type folderPlaces struct {
	founder groupmember.Record
	// invited and member are 0 for none.
	invited sitestate.ShardNumber
	member  sitestate.ShardNumber
}

// shard gives the shard whose group the machine founds, is invited to or is a member of
// already: one that was removed while it was away has nobody else to ask than that
// group's members of today.
func (p folderPlaces) shard(shards []sitestate.Shard) (sitestate.Shard, bool) {
	number := p.member
	if number == 0 {
		if i := slices.IndexFunc(shards, p.founds); i >= 0 {
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

// founds reports whether this machine, with this folder, is a founder of a shard's
// group.
func (p folderPlaces) founds(shard sitestate.Shard) bool {
	return slices.ContainsFunc(shard.Founders, func(founder groupmember.Record) bool {
		return founder.Address == p.founder.Address && founder.Incarnation == p.founder.Incarnation
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

// leaving names the machines that are to be emptied.
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

// register tells the control group of this machine, again and again.
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

func (s *Store) sendHeartbeat(ctx context.Context) {
	s.mutex.Lock()
	incarnation := cmp.Or(s.incarnation, s.member.Incarnation())
	s.mutex.Unlock()
	heartbeat := sitecontrol.StoreHeartbeat{Store: sitestate.Store{
		Name: s.config.Machine, Address: s.config.Address, Zone: s.config.Zone, Incarnation: incarnation,
		Shard: sitestate.ShardNumber(s.member.Shard()),
	}}
	s.describeGroup(&heartbeat)
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var answer sitecontrol.Answer
	if s.config.Watcher.Call(ctx, sitecontrol.MethodCall, sitecontrol.Request{Store: &heartbeat}, &answer) == nil {
		s.invited.Store(uint32(answer.Join))
	}
}

// describeGroup adds what the group's leader knows of its members.
func (s *Store) describeGroup(heartbeat *sitecontrol.StoreHeartbeat) {
	shown := s.member.PublishedState()
	if shown == nil || !shown.LeaderReady || sitestate.ShardNumber(shown.Shard) != heartbeat.Store.Shard {
		return
	}
	heartbeat.Members = []string{}
	heartbeat.Vacant = groupmember.FreeSlots(shown.Status, shown.Records, s.leaving(), s.member.Limits())
	whole := 0
	// A member has a record until its removal is committed: only then may its
	// machine be taken away.
	for _, record := range shown.Records {
		heartbeat.Members = append(heartbeat.Members, record.Name)
		if shown.Status.Membership.IsVoter(record.ID) && (record.ID == shown.Status.ID || caughtUp(shown, record)) {
			whole++
		}
	}
	slices.Sort(heartbeat.Members)
	heartbeat.Whole = whole >= s.wantedVoters()
	if demand := s.demand.Load(); demand != nil {
		heartbeat.Demand, heartbeat.Open = demand.rates, demand.open
	}
}

func caughtUp(shown *group.PublishedState, record groupmember.Record) bool {
	for _, peer := range shown.Status.Progress {
		if peer.ID == record.ID {
			return peer.Active && peer.CaughtUp
		}
	}
	return false
}
