package sitecontrol

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// storeTimeout is how long after a heartbeat a store counts as alive.
const storeTimeout = 3 * time.Second

// stores tracks the store machines as the leader.
type stores struct {
	control        *Control
	mutex          sync.Mutex
	lastHeartbeats map[string]time.Time
	// reports are the latest reports of the leaders of the shards' groups.
	reports map[sitestate.ShardNumber]shardReport
	// invited is since when a machine has been invited to join a group.
	invited map[string]time.Time

	// transitions serializes registrations, from the read of the state that they depend on to their
	// commit, and the ends of evacuations.
	transitions sync.Mutex

	// leaderSince is when this member became leader, zero while it does not lead. mutex protects
	// it outside of tick, which alone changes it.
	leaderSince time.Time
	// sizeChangedAt is when the number of store machines and shards last changed. Only tick uses
	// it and size.
	sizeChangedAt time.Time
	size          int
}

// shardReport is a report of the leader of a shard's group.
type shardReport struct {
	// members are names of machines; complete is set if enough voters store all data.
	members  []string
	complete bool
	// freeSlots is how many further machines the group accepts.
	freeSlots int
	// demand is the demand of jobs, open the recent maximum of concurrently open items, by
	// model.
	demand map[string]float64
	open   map[string]int
}

func newStores(control *Control) *stores {
	s := &stores{control: control, lastHeartbeats: map[string]time.Time{}}
	s.resetReports()
	return s
}

func (s *stores) resetReports() {
	s.reports = map[sitestate.ShardNumber]shardReport{}
	s.invited = map[string]time.Time{}
}

// voters returns the number of voters of a shard: a quorum of them survives the tolerated
// losses.
func (s *stores) voters() int { return 2*s.control.config.ToleratedLosses + 1 }

// minStores returns the minimum number of store machines.
func (s *stores) minStores() int {
	return s.voters() * max(1, len(s.control.view.Load().Shards))
}

// accept serves a store machine's heartbeat.
func (s *stores) accept(ctx context.Context, heartbeat StoreHeartbeat) (Answer, error) {
	store := heartbeat.Store
	s.record(heartbeat)
	registered, known := s.find(store.Name)
	if known && registered.SameRegistration(store) {
		return Answer{StoreState: registered.State, Join: s.invite(registered)}, nil
	}
	s.transitions.Lock()
	defer s.transitions.Unlock()
	if registered, known, err := s.read(ctx, store.Name); err != nil || (known && hasEmptiedItself(registered, heartbeat)) {
		return Answer{StoreState: registered.State}, err
	}
	outcome, err := s.control.propose(ctx, sitestate.Command{Store: &store})
	s.control.config.Logger.Info().Str(eventlog.Field, eventlog.StoreRegistered).Str("store", store.Name).
		Str("address", store.Address).Uint32("shard", uint32(store.Shard)).Err(err).Msg("a store machine registered")
	return Answer{Outcome: outcome}, err
}

// hasEmptiedItself reports whether the sender of a heartbeat is an evacuated machine that has made a new
// data folder after its removal from its group. Another machine of the same name becomes active.
func hasEmptiedItself(registered sitestate.Store, heartbeat StoreHeartbeat) bool {
	return registered.State == sitestate.StoreEvacuated && slices.Contains(heartbeat.Earlier, registered.Incarnation)
}

// read returns a machine as committed.
func (s *stores) read(ctx context.Context, name string) (store sitestate.Store, known bool, err error) {
	err = s.control.member.Read(ctx, func(machine groupmember.StateMachine) {
		store, known = machine.(*sitestate.State).Store(name)
	})
	return store, known, err
}

// record stores the contents of a heartbeat.
func (s *stores) record(heartbeat StoreHeartbeat) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastHeartbeats[heartbeat.Store.Name] = time.Now()
	if heartbeat.Members != nil {
		s.reports[heartbeat.Store.Shard] = shardReport{
			members: heartbeat.Members, complete: heartbeat.Complete, freeSlots: heartbeat.FreeSlots,
			demand: heartbeat.Demand, open: heartbeat.Open,
		}
	}
}

func (s *stores) find(name string) (sitestate.Store, bool) {
	view := s.control.view.Load()
	i := slices.IndexFunc(view.Stores, func(store sitestate.Store) bool { return store.Name == name })
	if i < 0 {
		return sitestate.Store{}, false
	}
	return view.Stores[i], true
}

// reportedDemand returns the demand of jobs and the recent maximum of open items, by model, as
// last reported.
func (s *stores) reportedDemand() (demand map[string]float64, open map[string]int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, report := range s.reports {
		if report.demand == nil {
			continue
		}
		if demand == nil {
			demand, open = map[string]float64{}, map[string]int{}
		}
		maps.Copy(demand, report.demand)
		maps.Copy(open, report.open)
	}
	return demand, open
}

// evacuate starts the evacuation of a machine. It refuses one for good only with the state of the
// current leader, to which the machines had the time to report.
func (s *stores) evacuate(ctx context.Context, name string) (Answer, error) {
	store, known, err := s.read(ctx, name)
	if err != nil {
		return Answer{}, err
	}
	if !known {
		return Answer{Outcome: sitestate.OutcomeUnknown}, nil
	}
	if store.State != sitestate.StoreActive {
		return Answer{StoreState: store.State}, nil
	}
	if remaining := s.aliveWithout(name); remaining < s.minStores() {
		if !s.isInformed(time.Now()) {
			return Answer{}, port.NewError(port.NotRun, port.CodeUnavailable, "not all store machines have reported to the new leader yet")
		}
		s.control.config.Logger.Warn().Str(eventlog.Field, eventlog.StoreEvacuationRejected).Str("store", name).Int("remaining", remaining).Int("needed", s.minStores()).Msg("evacuation rejected: too few store machines would remain")
		return Answer{TooFew: true}, nil
	}
	outcome, err := s.control.propose(ctx, sitestate.Command{Evacuate: &sitestate.Evacuate{Name: name}})
	s.control.config.Logger.Info().Str(eventlog.Field, eventlog.StoreEvacuationStarted).Str("store", name).Err(err).Msg("evacuation of a store machine started")
	return Answer{Outcome: outcome, StoreState: sitestate.StoreLeaving}, err
}

// isInformed reports whether this member leads for long enough that each machine that is alive has
// reported to it.
func (s *stores) isInformed(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.leaderSince.IsZero() && now.Sub(s.leaderSince) >= storeTimeout
}

// setLeaderSince sets when this member became leader.
func (s *stores) setLeaderSince(since time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaderSince = since
}

// aliveWithout counts the store machines that are alive other than the named one.
func (s *stores) aliveWithout(name string) int {
	return len(s.alive(func(store sitestate.Store) bool { return store.Name != name }))
}

// alive lists the active store machines with a recent heartbeat that match.
func (s *stores) alive(match func(sitestate.Store) bool) []sitestate.Store {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	var alive []sitestate.Store
	for _, store := range s.control.view.Load().Stores {
		if store.State == sitestate.StoreActive && now.Sub(s.lastHeartbeats[store.Name]) < storeTimeout && match(store) {
			alive = append(alive, store)
		}
	}
	return alive
}

// evacuationState returns the committed state of an evacuation.
func (s *stores) evacuationState(ctx context.Context, name string) (Answer, error) {
	store, known, err := s.read(ctx, name)
	if err != nil || !known {
		return Answer{Outcome: sitestate.OutcomeUnknown}, err
	}
	return Answer{StoreState: store.State}, nil
}

// tick founds shards, places models and completes evacuations.
func (s *stores) tick(ctx context.Context, leads bool) {
	if !leads {
		s.setLeaderSince(time.Time{})
		s.mutex.Lock()
		s.resetReports()
		s.mutex.Unlock()
		return
	}
	if s.leaderSince.IsZero() {
		s.setLeaderSince(time.Now())
	}
	view := s.control.view.Load()
	s.updateShards(ctx, view)
	for _, store := range view.Stores {
		if store.State == sitestate.StoreLeaving && s.isEvacuated(store.Name, len(view.Shards)) {
			s.transitions.Lock()
			_, err := s.control.propose(ctx, sitestate.Command{Evacuate: &sitestate.Evacuate{Name: store.Name, Done: true}})
			s.transitions.Unlock()
			s.control.config.Logger.Info().Str(eventlog.Field, eventlog.StoreEvacuationDone).Str("store", store.Name).Err(err).Msg("evacuation of a store machine completed")
		}
	}
}

// isEvacuated reports whether every shard's group is complete without a machine. A group that
// has not reported may depend on it.
func (s *stores) isEvacuated(name string, shards int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for number := range shards {
		report, known := s.reports[sitestate.ShardNumber(number+1)]
		if !known || !report.complete || slices.Contains(report.members, name) {
			return false
		}
	}
	return shards > 0
}
