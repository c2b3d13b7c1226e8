package sitestore

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// leadership is what a runner holds from the start of its member's leadership to the
// end. Nothing of it outlives a term.
type leadership struct {
	shard   sitestate.ShardNumber
	term    uint64
	context context.Context
	cancel  context.CancelFunc
	// unsettledAt is since when the member has been out of touch with a quorum; zero
	// while it is in touch.
	unsettledAt time.Time

	jobSerial uint64
	// jobs are those taken over, until they end.
	jobs  map[string]bool
	works map[jobqueue.Key]*work
	times map[string]*jobTimes
	queue jobqueue.Queue
	// withheld are the items under which replicas ended.
	withheld map[jobqueue.Key]*work
	replicas *replicaBook
	demand   *demandMeter
	lengths  lengths
	table    *routing.Table
	// keeping is set while a record is proposed; kept takes how that went.
	keeping bool
	kept    chan error
	// keptAt is when the last record was proposed, grownAt when the last one
	// with text that grows was.
	keptAt  time.Time
	grownAt time.Time
	urgent  bool
	// lookedAt is when all open items were last looked at.
	lookedAt time.Time
}

func newLeadership(ctx context.Context, shard sitestate.ShardNumber, term uint64) *leadership {
	l := &leadership{
		shard: shard, term: term,
		jobs: map[string]bool{}, works: map[jobqueue.Key]*work{}, times: map[string]*jobTimes{},
		withheld: map[jobqueue.Key]*work{},
		replicas: newReplicaBook(shard), demand: newDemandMeter(time.Now()), lengths: lengths{},
		kept: make(chan error, 1),
	}
	l.context, l.cancel = context.WithCancel(ctx)
	return l
}

// duty is what a runner does, given what its member shows.
type duty uint8

const (
	// dutyNone: the member does not lead, or another one may by now.
	dutyNone duty = iota
	// dutyBegin: a leadership begins.
	dutyBegin
	// dutyGoOn: the one that the runner has goes on.
	dutyGoOn
	// dutyHold: the member leads, but is out of touch with a quorum. Runs go on, and
	// nothing begins.
	dutyHold
)

// dutyOf gives the duty of a runner that has a leadership, or nil. One whose member was
// held up is out of touch until it is answered, some milliseconds later; to cut all runs
// for that would have them all begin again at once. It waits no longer than patience: the
// voters have had no leader for an election timeout then, and elect.
func dutyOf(shown *group.PublishedState, l *leadership, now time.Time, patience time.Duration) duty {
	if shown == nil || shown.Status.Role != consensus.RoleLeader {
		return dutyNone
	}
	same := l != nil && l.shard == sitestate.ShardNumber(shown.Shard) && l.term == shown.Status.Term
	switch {
	case shown.LeaderReady && same:
		l.unsettledAt = time.Time{}
		return dutyGoOn
	case shown.LeaderReady:
		return dutyBegin
	case !same:
		return dutyNone
	}
	if l.unsettledAt.IsZero() {
		l.unsettledAt = now
	}
	if now.Sub(l.unsettledAt) >= patience {
		return dutyNone
	}
	return dutyHold
}
