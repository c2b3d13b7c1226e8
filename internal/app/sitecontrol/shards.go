package sitecontrol

import (
	"context"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/shardplan"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// DefaultPlacesPerShard is how many places of engines one shard's leader serves.
	// Leaders of store machines with half a core were measured to carry 210 places
	// and to fail in bursts at 350 (docs/design/0016-shards.md); half of the former
	// leaves room for a machine that turns slow.
	DefaultPlacesPerShard = 115
	// foundingSettle is how long no machine must have been added before shards are
	// founded, so that there is a choice of machines.
	foundingSettle = 300 * time.Millisecond
	// foundingPatience is how long the leader waits for as many stores as the site
	// should have before it founds a shard with fewer.
	foundingPatience = 6 * time.Second
	// placingPatience is how long it waits for further engines and machines before
	// the configured models are divided among the shards, which is for good. A job
	// that comes earlier has its model placed at once.
	placingPatience = 4 * time.Second
	// joinPatience is how long a machine that is told to join a group may take before
	// another one is told.
	joinPatience = 4 * time.Second
)

// PlaceModel asks which shard keeps a model's jobs; it is decided then, for one that is kept
// in the regions if any are given.
type PlaceModel struct {
	Model   string   `cbor:"1,keyasint,omitempty"`
	Regions []string `cbor:"2,keyasint,omitempty"`
}

func (s *stores) limits() shardplan.Limits {
	return shardplan.Limits{
		Voters: s.voters(), Spares: s.control.config.ToleratedLosses + 1, SlotsPerShard: s.control.config.SlotsPerShard,
	}
}

// tendShards founds as many shards as the site is to have, then places its models.
// Shards that come after that would have no jobs.
func (s *stores) tendShards(ctx context.Context, view *sitestate.View) {
	now := time.Now()
	if grown := len(view.Stores) + len(view.Shards); grown != s.grown {
		s.grown, s.grownAt = grown, now
	}
	if len(view.Placed) > 0 || now.Sub(s.grownAt) < foundingSettle {
		return
	}
	alive := s.alive(func(sitestate.Store) bool { return true })
	if len(view.Shards) < s.wanted(alive, view) {
		s.found(ctx, view, alive, now.Sub(s.ledFrom) > foundingPatience)
		return
	}
	if len(view.Shards) > 0 && now.Sub(s.grownAt) > placingPatience {
		s.placeConfigured(ctx)
	}
}

// places counts what the engines of the site run at once.
func (s *stores) places(view *sitestate.View) int {
	places := 0
	for _, service := range s.control.engineServices() {
		for replica := range view.ByService[service.Name].All() {
			places += max(replica.Slots, 1)
		}
	}
	return places
}

// found names the founders of the next shard once there are enough machines for it, or
// with fewer if the site has no shard and no more come.
func (s *stores) found(ctx context.Context, view *sitestate.View, alive []sitestate.Store, patience bool) {
	number := sitestate.ShardNumber(len(view.Shards) + 1)
	free := s.withinRegion(freeOf(alive, view.Shards), view)
	if len(free) == 0 || (len(free) < s.voters() && (number > 1 || !patience)) {
		return
	}
	var founders []groupmember.Record
	for i, picked := range shardplan.Pick(nil, machinesOf(free), s.voters()) {
		store := free[slices.IndexFunc(free, func(store sitestate.Store) bool { return store.Name == picked.Name })]
		founders = append(founders, groupmember.Record{
			ID: number.FounderID(i), Address: store.Address, Name: store.Name, Incarnation: store.Incarnation,
		})
	}
	_, err := s.control.propose(ctx, sitestate.Command{CreateShard: &sitestate.CreateShard{Shard: sitestate.Shard{Number: number, Founders: founders}}})
	s.control.config.Logger.Info().Str(eventlog.Field, eventlog.StoreGroupFounded).Uint32("shard", uint32(number)).Int("founders", len(founders)).
		Int("wanted", s.voters()).Err(err).Msg("a shard's group has founders")
}

// freeOf lists the machines that are in no group and were not named for one.
func freeOf(alive []sitestate.Store, shards []sitestate.Shard) []sitestate.Store {
	named := map[groupmember.Record]bool{}
	for _, shard := range shards {
		for _, founder := range shard.Founders {
			named[groupmember.Record{Address: founder.Address, Incarnation: founder.Incarnation}] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(alive), func(store sitestate.Store) bool {
		return store.Shard != 0 || named[groupmember.Record{Address: store.Address, Incarnation: store.Incarnation}]
	})
}

func machinesOf(stores []sitestate.Store) []shardplan.Machine {
	machines := make([]shardplan.Machine, 0, len(stores))
	for _, store := range stores {
		machines = append(machines, shardplan.Machine{Name: store.Name, Zone: store.Zone})
	}
	return machines
}

// placeConfigured places the models of the configuration.
func (s *stores) placeConfigured(ctx context.Context) {
	for _, service := range s.control.engineServices() {
		regions, clear := s.jobRegions(service.Name)
		if !clear {
			continue
		}
		for _, model := range service.Engine.Models {
			if _, err := s.place(ctx, PlaceModel{Model: model, Regions: regions}); err != nil {
				return
			}
		}
	}
}

// place gives the shard of a model's jobs, and decides it if it is not placed yet.
func (s *stores) place(ctx context.Context, request PlaceModel) (Answer, error) {
	placed, shards, err := s.placed(ctx)
	if err != nil {
		return Answer{}, err
	}
	if held := placed[request.Model]; held != 0 {
		return Answer{Shard: held}, nil
	}
	view := s.control.view.Load()
	chosen := shardplan.ShardForModel(placed, shards, func(shard sitestate.ShardNumber) bool { return s.keptIn(view, shard, request.Regions) })
	if chosen == 0 {
		return Answer{}, port.NewError(port.NotRun, port.CodeUnavailable, "no shard is founded yet that is kept in the regions %v", request.Regions)
	}
	if _, err := s.control.propose(ctx, sitestate.Command{Place: &sitestate.Place{Model: request.Model, Shard: chosen}}); err != nil {
		return Answer{}, err
	}
	// Another call may have placed it first.
	placed, _, err = s.placed(ctx)
	s.control.config.Logger.Info().Str(eventlog.Field, eventlog.ModelPlaced).Str("model", request.Model).
		Uint32("shard", uint32(placed[request.Model])).Err(err).Msg("a model's jobs have a shard")
	return Answer{Shard: placed[request.Model]}, err
}

// placed reads the committed placement and the number of shards.
func (s *stores) placed(ctx context.Context) (placed map[string]sitestate.ShardNumber, shards int, err error) {
	err = s.control.member.Read(ctx, func(machine groupmember.StateMachine) {
		state := machine.(*sitestate.State)
		placed, shards = state.Placed(), len(state.Shards())
	})
	return placed, shards, err
}

// invite gives the shard whose group a machine is to join, 0 for none: the one that
// counts it among its members, as it came back without its disk, else one that has a
// place which no other free machine suits better.
func (s *stores) invite(store sitestate.Store) sitestate.ShardNumber {
	if store.Shard != 0 || store.State != sitestate.StoreActive {
		s.mutex.Lock()
		delete(s.invited, store.Name)
		s.mutex.Unlock()
		return 0
	}
	view := s.control.view.Load()
	free := freeOf(s.alive(func(sitestate.Store) bool { return true }), view.Shards)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for number, report := range s.reports {
		if slices.Contains(report.members, store.Name) {
			return number
		}
	}
	free = slices.DeleteFunc(free, func(other sitestate.Store) bool { return s.mustWait(other.Name) })
	number := s.placeAmong(machinesOf(free), store.Name, view)
	if number != 0 && s.invited[store.Name].IsZero() {
		s.invited[store.Name] = time.Now()
	}
	return number
}

// placeAmong gives the shard whose free place falls to a machine if all vacant places are
// given to free machines, shard by shard; 0 if none does.
func (s *stores) placeAmong(free []shardplan.Machine, name string, view *sitestate.View) sitestate.ShardNumber {
	for _, shard := range view.Shards {
		report := s.reports[shard.Number]
		if report.vacant == 0 {
			continue
		}
		members := slices.DeleteFunc(slices.Clone(view.Stores), func(store sitestate.Store) bool { return !slices.Contains(report.members, store.Name) })
		picked := shardplan.Pick(machinesOf(members), s.besides(members, free), report.vacant)
		if slices.ContainsFunc(picked, func(machine shardplan.Machine) bool { return machine.Name == name }) {
			return shard.Number
		}
		free = slices.DeleteFunc(free, func(machine shardplan.Machine) bool { return slices.Contains(picked, machine) })
	}
	return 0
}

// mustWait reports whether a machine, which has not joined although it was told to, is
// passed over for now, and lets it take part again after as long a time.
func (s *stores) mustWait(name string) bool {
	invited, was := s.invited[name]
	if !was {
		return false
	}
	since := time.Since(invited)
	if since > 2*joinPatience {
		delete(s.invited, name)
		return false
	}
	return since > joinPatience
}
