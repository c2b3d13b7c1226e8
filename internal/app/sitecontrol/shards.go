package sitecontrol

import (
	"context"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/shardplan"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// DefaultSlotsPerShard is how many engine slots one shard's leader serves. Leaders on
	// store machines with half a core sustained 210 slots and failed in bursts at 350; about
	// half of 210 leaves headroom for machines that become slow.
	DefaultSlotsPerShard = 115
	// foundingDelay is the time without new machines before shards are founded, so that
	// there is a choice of machines.
	foundingDelay = 300 * time.Millisecond
	// foundingTimeout is how long the leader waits for the wanted number of stores before
	// it founds a shard with fewer.
	foundingTimeout = 6 * time.Second
	// placementDelay is the time without new machines before the configured models are
	// placed permanently. A job that arrives earlier places its model immediately.
	placementDelay = 4 * time.Second
	// joinTimeout is how long an invited machine may take to join before another one is
	// invited.
	joinTimeout = 4 * time.Second
	// maxPlacedModels is the number of placed models from which on only those of the configuration are
	// placed. Every view has all placements, for as long as the site exists.
	maxPlacedModels = 4096
)

// PlaceModel requests the shard of a model's jobs and places the model if necessary, on a
// shard within Regions if any are given.
type PlaceModel struct {
	Model   string   `cbor:"1,keyasint,omitempty"`
	Regions []string `cbor:"2,keyasint,omitempty"`
}

func (s *stores) limits() shardplan.Limits {
	return shardplan.Limits{
		Voters: s.voters(), Spares: s.control.config.ToleratedLosses + 1, SlotsPerShard: s.control.config.SlotsPerShard,
	}
}

// updateShards founds the wanted number of shards, then places the configured models. A shard
// founded after that would get no jobs.
func (s *stores) updateShards(ctx context.Context, view *sitestate.View) {
	now := time.Now()
	if grown := len(view.Stores) + len(view.Shards); grown != s.size {
		s.size, s.sizeChangedAt = grown, now
	}
	if len(view.Placed) > 0 || now.Sub(s.sizeChangedAt) < foundingDelay {
		return
	}
	alive := s.alive(func(sitestate.Store) bool { return true })
	if len(view.Shards) < s.shardCount(alive, view) {
		s.foundShard(ctx, view, alive, now.Sub(s.leaderSince) > foundingTimeout)
		return
	}
	if len(view.Shards) > 0 && now.Sub(s.sizeChangedAt) > placementDelay {
		s.placeConfigured(ctx)
	}
}

// engineSlots returns the number of slots of all engines of the site.
func (s *stores) engineSlots(view *sitestate.View) int {
	slots := 0
	for _, service := range s.control.engineServices() {
		for replica := range view.ByService[service.Name].All() {
			slots += max(replica.Slots, 1)
		}
	}
	return slots
}

// foundShard names the founders of the next shard once there are enough machines, or with
// fewer if the site has no shard and timedOut is set.
func (s *stores) foundShard(ctx context.Context, view *sitestate.View, alive []sitestate.Store, timedOut bool) {
	number := sitestate.ShardNumber(len(view.Shards) + 1)
	free := s.freeInRegion(freeStores(alive, view.Shards), view)
	if len(free) == 0 || (len(free) < s.voters() && (number > 1 || !timedOut)) {
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
		Int("wanted", s.voters()).Err(err).Msg("founded the group of a shard")
}

// freeStores lists the machines that are neither in a group nor named as founders.
func freeStores(alive []sitestate.Store, shards []sitestate.Shard) []sitestate.Store {
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
		regions, consistent := s.jobRegions(service.Name)
		if !consistent {
			continue
		}
		for _, model := range service.Engine.Models {
			_, err := s.place(ctx, PlaceModel{Model: model, Regions: regions})
			if err != nil && port.AsError(err).Code != port.CodeInvalid {
				return
			}
		}
	}
}

// place returns the shard of a model's jobs, and places the model if necessary.
func (s *stores) place(ctx context.Context, request PlaceModel) (Answer, error) {
	placed, shards, err := s.placement(ctx)
	if err != nil {
		return Answer{}, err
	}
	if shard := placed[request.Model]; shard != 0 {
		return Answer{Shard: shard}, nil
	}
	if err := checkPlacement(request.Model, len(placed), s.isConfigured(request.Model)); err != nil {
		return Answer{}, err
	}
	view := s.control.view.Load()
	chosen := shardplan.ShardForModel(placed, shards, func(shard sitestate.ShardNumber) bool { return s.withinRegions(view, shard, request.Regions) })
	if chosen == 0 {
		return Answer{}, port.NewError(port.NotRun, port.CodeUnavailable, "no shard within the regions %v exists yet", request.Regions)
	}
	if _, err := s.control.propose(ctx, sitestate.Command{Place: &sitestate.Place{Model: request.Model, Shard: chosen}}); err != nil {
		return Answer{}, err
	}
	// A concurrent call may have placed it first.
	placed, _, err = s.placement(ctx)
	s.control.config.Logger.Info().Str(eventlog.Field, eventlog.ModelPlaced).Str("model", request.Model).
		Uint32("shard", uint32(placed[request.Model])).Err(err).Msg("placed the jobs of a model on a shard")
	return Answer{Shard: placed[request.Model]}, err
}

// checkPlacement returns an error for a model that is not placed, however often that is requested.
func checkPlacement(model string, placed int, configured bool) error {
	switch {
	case len(model) > sitestate.MaxNameBytes:
		return port.NewError(port.NotRun, port.CodeInvalid, "the name of the model has %d bytes, at most %d are possible", len(model), sitestate.MaxNameBytes)
	case placed >= maxPlacedModels && !configured:
		return port.NewError(port.NotRun, port.CodeInvalid, "the site has jobs of %d models, and the configuration does not name model %q", placed, model)
	default:
		return nil
	}
}

// isConfigured reports whether the configuration names a model.
func (s *stores) isConfigured(model string) bool {
	return slices.ContainsFunc(s.control.engineServices(), func(service routing.Service) bool { return slices.Contains(service.Engine.Models, model) })
}

// placement reads the committed placement and the number of shards.
func (s *stores) placement(ctx context.Context) (placed map[string]sitestate.ShardNumber, shards int, err error) {
	err = s.control.member.Read(ctx, func(machine groupmember.StateMachine) {
		state := machine.(*sitestate.State)
		placed, shards = state.Placed(), len(state.Shards())
	})
	return placed, shards, err
}

// invite returns the shard whose group a machine is to join, 0 if none: the one that lists
// it as a member, for a machine that lost its disk, else one with a free slot that no other
// free machine suits better.
func (s *stores) invite(store sitestate.Store) sitestate.ShardNumber {
	if store.Shard != 0 || store.State != sitestate.StoreActive {
		s.mutex.Lock()
		delete(s.invited, store.Name)
		s.mutex.Unlock()
		return 0
	}
	view := s.control.view.Load()
	free := freeStores(s.alive(func(sitestate.Store) bool { return true }), view.Shards)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for number, report := range s.reports {
		if slices.Contains(report.members, store.Name) {
			return number
		}
	}
	free = slices.DeleteFunc(free, func(other sitestate.Store) bool { return s.joinTimedOut(other.Name) })
	number := s.shardForFree(machinesOf(free), store.Name, view)
	if number != 0 && s.invited[store.Name].IsZero() {
		s.invited[store.Name] = time.Now()
	}
	return number
}

// shardForFree returns the shard that gets the named machine if the free slots are filled
// with the free machines, shard by shard; 0 if none does.
func (s *stores) shardForFree(free []shardplan.Machine, name string, view *sitestate.View) sitestate.ShardNumber {
	for _, shard := range view.Shards {
		report := s.reports[shard.Number]
		if report.freeSlots == 0 {
			continue
		}
		members := slices.DeleteFunc(slices.Clone(view.Stores), func(store sitestate.Store) bool { return !slices.Contains(report.members, store.Name) })
		picked := shardplan.Pick(machinesOf(members), s.joinable(members, free), report.freeSlots)
		if slices.ContainsFunc(picked, func(machine shardplan.Machine) bool { return machine.Name == name }) {
			return shard.Number
		}
		free = slices.DeleteFunc(free, func(machine shardplan.Machine) bool { return slices.Contains(picked, machine) })
	}
	return 0
}

// joinTimedOut reports whether an invited machine failed to join in time. It is invited
// again after another joinTimeout.
func (s *stores) joinTimedOut(name string) bool {
	invited, pending := s.invited[name]
	if !pending {
		return false
	}
	since := time.Since(invited)
	if since > 2*joinTimeout {
		delete(s.invited, name)
		return false
	}
	return since > joinTimeout
}
