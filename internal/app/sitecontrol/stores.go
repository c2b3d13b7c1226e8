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
)

// storeAliveFor is how long after a heartbeat a store counts as alive.
const storeAliveFor = 3 * time.Second

// stores follows the store machines as the leader.
type stores struct {
	control *Control
	mutex   sync.Mutex
	heard   map[string]time.Time
	// reports are what the leaders of the shards' groups last said.
	reports map[sitestate.ShardNumber]shardReport
	// invited is since when a machine is told to join a group.
	invited map[string]time.Time

	// ledFrom is when this member began to lead, and grownAt when a store machine or
	// shard was last added, as seen here. Only tend uses them.
	ledFrom time.Time
	grownAt time.Time
	grown   int
}

// shardReport is what the leader of a shard's group knows.
type shardReport struct {
	// members are names of machines, whole is set if enough of them hold everything.
	members []string
	whole   bool
	// vacant is how many further machines the group takes in.
	vacant int
	// demand is the work that jobs bring, and open the most items that were open at
	// once of late, by model.
	demand map[string]float64
	open   map[string]int
}

func newStores(control *Control) *stores {
	s := &stores{control: control, heard: map[string]time.Time{}}
	s.forgetReports()
	return s
}

func (s *stores) forgetReports() {
	s.reports = map[sitestate.ShardNumber]shardReport{}
	s.invited = map[string]time.Time{}
}

// voters is how many machines keep a shard: a quorum of them outlives the tolerated
// losses.
func (s *stores) voters() int { return 2*s.control.config.ToleratedLosses + 1 }

// needed is how many store machines must stay.
func (s *stores) needed() int {
	return s.voters() * max(1, len(s.control.view.Load().Shards))
}

// take serves a store machine's heartbeat.
func (s *stores) take(ctx context.Context, heartbeat StoreHeartbeat) (Answer, error) {
	store := heartbeat.Store
	s.note(heartbeat)
	held, known := s.find(store.Name)
	if known && held.SameRegistration(store) {
		return Answer{StoreState: held.State, Join: s.invite(held)}, nil
	}
	outcome, err := s.control.propose(ctx, sitestate.Command{Store: &store})
	s.control.config.Logger.Info().Str(eventlog.Field, eventlog.StoreRegistered).Str("store", store.Name).
		Str("address", store.Address).Uint32("shard", uint32(store.Shard)).Err(err).Msg("a store machine registered")
	return Answer{Outcome: outcome}, err
}

// note takes in what a heartbeat tells.
func (s *stores) note(heartbeat StoreHeartbeat) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heard[heartbeat.Store.Name] = time.Now()
	if heartbeat.Members != nil {
		s.reports[heartbeat.Store.Shard] = shardReport{
			members: heartbeat.Members, whole: heartbeat.Whole, vacant: heartbeat.Vacant,
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

// reportedDemand gives the work that jobs bring, and the most items that were open
// at once of late, by model, as last reported.
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

// evacuate begins to empty a machine.
func (s *stores) evacuate(ctx context.Context, name string) (Answer, error) {
	store, known := s.find(name)
	if !known {
		return Answer{Outcome: sitestate.OutcomeUnknown}, nil
	}
	if store.State != sitestate.StoreActive {
		return Answer{StoreState: store.State}, nil
	}
	if remaining := s.aliveBeside(name); remaining < s.needed() {
		s.control.config.Logger.Warn().Str(eventlog.Field, eventlog.StoreEvacuationRefused).Str("store", name).Int("remaining", remaining).Int("needed", s.needed()).Msg("too few store machines would stay")
		return Answer{TooFew: true}, nil
	}
	outcome, err := s.control.propose(ctx, sitestate.Command{Evacuate: &sitestate.Evacuate{Name: name}})
	s.control.config.Logger.Info().Str(eventlog.Field, eventlog.StoreEvacuationBegun).Str("store", name).Err(err).Msg("a store machine is to be emptied")
	return Answer{Outcome: outcome, StoreState: sitestate.StoreLeaving}, err
}

// aliveBeside counts the store machines that stay.
func (s *stores) aliveBeside(name string) int {
	return len(s.alive(func(store sitestate.Store) bool { return store.Name != name }))
}

// alive lists the active store machines that were heard of lately and match.
func (s *stores) alive(match func(sitestate.Store) bool) []sitestate.Store {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	var alive []sitestate.Store
	for _, store := range s.control.view.Load().Stores {
		if store.State == sitestate.StoreActive && now.Sub(s.heard[store.Name]) < storeAliveFor && match(store) {
			alive = append(alive, store)
		}
	}
	return alive
}

// evacuation tells how an evacuation stands, of what is committed.
func (s *stores) evacuation(ctx context.Context, name string) (Answer, error) {
	answer := Answer{Outcome: sitestate.OutcomeUnknown}
	err := s.control.member.Read(ctx, func(machine groupmember.StateMachine) {
		if store, known := machine.(*sitestate.State).Store(name); known {
			answer = Answer{StoreState: store.State}
		}
	})
	return answer, err
}

// tend founds shards, places models and ends evacuations.
func (s *stores) tend(ctx context.Context, leads bool) {
	if !leads {
		s.ledFrom = time.Time{}
		s.mutex.Lock()
		s.forgetReports()
		s.mutex.Unlock()
		return
	}
	if s.ledFrom.IsZero() {
		s.ledFrom = time.Now()
	}
	view := s.control.view.Load()
	s.tendShards(ctx, view)
	for _, store := range view.Stores {
		if store.State == sitestate.StoreLeaving && s.holdsNothing(store.Name, len(view.Shards)) {
			_, err := s.control.propose(ctx, sitestate.Command{Evacuate: &sitestate.Evacuate{Name: store.Name, Done: true}})
			s.control.config.Logger.Info().Str(eventlog.Field, eventlog.StoreEvacuationDone).Str("store", store.Name).Err(err).Msg("a store machine holds nothing any more")
		}
	}
}

// holdsNothing reports whether every shard's group is whole without a machine. A group
// that has not reported may count on it.
func (s *stores) holdsNothing(name string, shards int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for number := range shards {
		report, known := s.reports[sitestate.ShardNumber(number+1)]
		if !known || !report.whole || slices.Contains(report.members, name) {
			return false
		}
	}
	return shards > 0
}
