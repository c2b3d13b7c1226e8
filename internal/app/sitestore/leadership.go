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

// leadership is the state of a runner during one term of its member's leadership.
type leadership struct {
	shard   sitestate.ShardNumber
	term    uint64
	context context.Context
	cancel  context.CancelFunc
	// quorumLostAt is when the member lost contact with a quorum; zero while it has contact.
	quorumLostAt time.Time

	jobSerial uint64
	// jobs are the open jobs whose items the runner has.
	jobs     map[string]bool
	items    map[jobqueue.Key]*itemState
	times    map[string]*jobTimes
	queue    jobqueue.Queue
	replicas *replicaTracker
	demand   *demandMeter
	lengths  lengths
	table    *routing.Table
	// committing is set while a record is proposed; committed receives the outcome.
	committing bool
	committed  chan error
	// proposedAt is when the last record was proposed, textProposedAt when the last one
	// with unfinished text was.
	proposedAt     time.Time
	textProposedAt time.Time
	// finished are items whose results are not in a record yet; they may have been removed since.
	finished []*itemState
	// scannedAt is the time of the last scan of all open items, scanInterval the time until the next.
	scannedAt    time.Time
	scanInterval time.Duration
}

func newLeadership(ctx context.Context, shard sitestate.ShardNumber, term uint64) *leadership {
	l := &leadership{
		shard: shard, term: term,
		jobs: map[string]bool{}, items: map[jobqueue.Key]*itemState{}, times: map[string]*jobTimes{},
		replicas: newReplicaTracker(shard), demand: newDemandMeter(time.Now()), lengths: lengths{},
		committed: make(chan error, 1),
	}
	l.context, l.cancel = context.WithCancel(ctx)
	return l
}

// duty is what a runner must do, depending on the state of its member.
type duty uint8

const (
	// dutyNone: run nothing; the member does not lead, or may have been replaced as leader.
	dutyNone duty = iota
	// dutyStart: start a leadership.
	dutyStart
	// dutyContinue: continue the current leadership.
	dutyContinue
	// dutyHold: the member leads without contact with a quorum. Runs continue, none
	// starts.
	dutyHold
)

// dutyOf returns the duty of a runner whose leadership is l, nil if it has none. A leader that
// was not scheduled for a while loses contact with its quorum briefly; its runs continue until
// the election timeout, after which voters elect another leader. Cancelling them earlier would
// restart all of them at once.
func dutyOf(published *group.PublishedState, l *leadership, now time.Time, timeout time.Duration) duty {
	if published == nil || published.Status.Role != consensus.RoleLeader {
		return dutyNone
	}
	same := l != nil && l.shard == sitestate.ShardNumber(published.Shard) && l.term == published.Status.Term
	switch {
	case published.LeaderReady && same:
		l.quorumLostAt = time.Time{}
		return dutyContinue
	case published.LeaderReady:
		return dutyStart
	case !same:
		return dutyNone
	}
	if l.quorumLostAt.IsZero() {
		l.quorumLostAt = now
	}
	if now.Sub(l.quorumLostAt) >= timeout {
		return dutyNone
	}
	return dutyHold
}
