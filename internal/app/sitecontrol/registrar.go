package sitecontrol

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// entriesAtOnce bounds the reports whose entries are under way: as many as the log takes
	// in with a few syncs. The others wait in order.
	entriesAtOnce = 256
	// entryTimeout bounds one entry. It is longer than a replica waits: an entry that is
	// begun is finished although its replica asks elsewhere by now, as it would be begun anew
	// each time else, and never finished once that takes longer than a replica waits.
	entryTimeout = 4 * time.Second
)

// registrar puts reports that change something into the log, as the leader. A replica that
// reports again while its entry is under way waits for that one: what has to be done does not
// grow with how often it is asked for. It is safe for concurrent use.
type registrar struct {
	control *Control
	mutex   sync.Mutex
	// open finds the entry of a start that waits or is under way.
	open  map[reportKey]*reportEntry
	queue []*reportEntry
	// working is set while a goroutine works on the queue.
	working bool
}

// reportKey names a start of a replica.
type reportKey struct {
	name string
	born uint64
}

func keyOf(report *sitestate.Replica) reportKey {
	return reportKey{name: report.InstanceName(), born: report.StartedAt}
}

// saysTheSame reports whether a report that is under way stands for another one of its start.
func saysTheSame(underWay, report sitestate.Replica) bool {
	return sameReport(underWay, report) && underWay.ColdMillis == report.ColdMillis
}

// reportEntry is a report on its way into the log.
type reportEntry struct {
	report sitestate.Replica
	// done is closed once outcome and err are set.
	done    chan struct{}
	outcome sitestate.Outcome
	err     error
}

func newRegistrar(control *Control) *registrar {
	return &registrar{control: control, open: map[reportKey]*reportEntry{}}
}

// take puts a report into the log and waits for it.
func (r *registrar) take(ctx context.Context, report sitestate.Replica) (sitestate.Outcome, error) {
	entry := r.join(report)
	select {
	case <-entry.done:
		return entry.outcome, entry.err
	case <-ctx.Done():
		return 0, port.NewError(port.MayHaveRun, port.CodeUnavailable, "the replica's report is not committed yet")
	}
}

// join gives the entry under way that says the same, or a new one.
func (r *registrar) join(report sitestate.Replica) *reportEntry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := keyOf(&report)
	if held := r.open[key]; held != nil && saysTheSame(held.report, report) {
		return held
	}
	entry := &reportEntry{report: report, done: make(chan struct{})}
	r.open[key] = entry
	r.queue = append(r.queue, entry)
	if !r.working {
		r.working = true
		go r.work()
	}
	return entry
}

// work puts entries into the log until none waits.
func (r *registrar) work() {
	for {
		r.mutex.Lock()
		batch := r.queue[:min(len(r.queue), entriesAtOnce)]
		r.queue = r.queue[len(batch):]
		if len(batch) == 0 {
			r.working, r.queue = false, nil
			r.mutex.Unlock()
			return
		}
		r.mutex.Unlock()
		r.commit(batch)
		r.finish(batch)
	}
}

// finish tells those who wait.
func (r *registrar) finish(batch []*reportEntry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, entry := range batch {
		if key := keyOf(&entry.report); r.open[key] == entry {
			delete(r.open, key)
		}
		close(entry.done)
	}
}

// commit puts a batch into the log; one look at the state gives all of it their ids.
func (r *registrar) commit(batch []*reportEntry) {
	ctx, cancel := context.WithTimeout(context.Background(), entryTimeout)
	defer cancel()
	identities := make([]sitestate.Identity, len(batch))
	err := r.control.member.Inspect(ctx, func(machine groupmember.StateMachine) {
		for i, entry := range batch {
			identities[i] = machine.(*sitestate.State).Identify(entry.report.InstanceName(), entry.report.StartedAt)
		}
	})
	var tasks errgroup.Group
	for i, entry := range batch {
		if err != nil {
			entry.err = err
			continue
		}
		tasks.Go(func() error {
			entry.outcome, entry.err = r.commitOne(ctx, entry.report, identities[i])
			return nil
		})
	}
	_ = tasks.Wait() // each entry has its own error
}

// commitOne puts a report into the log under its id. An earlier start under the same name has
// ended with it, and one that is earlier itself is refused.
func (r *registrar) commitOne(ctx context.Context, report sitestate.Replica, identity sitestate.Identity) (sitestate.Outcome, error) {
	name := report.InstanceName()
	switch identity.Order {
	case sitestate.StartOutdated:
		return 0, port.NewError(port.NotRun, port.CodeFenced, "a later start of replica %s is known", name)
	case sitestate.StartNewer:
		r.control.config.Logger.Info().Str(eventlog.Field, eventlog.ReplicaRestarted).Str("replica", identity.ID).Str("before", identity.Replaces).
			Uint64("born", report.StartedAt).Msg("a replica has started again under its name")
		if _, err := r.control.propose(ctx, sitestate.Command{Leave: &sitestate.Leave{ID: identity.Replaces}}); err != nil {
			return 0, err
		}
	case sitestate.StartCurrent:
	}
	if report.ID = identity.ID; report.ID != name {
		report.Instance = name
	}
	now := time.Now()
	outcome, err := r.control.propose(ctx, sitestate.Command{Replica: &report})
	if err == nil {
		r.control.heartbeats.cold.note(report.ID, report.ColdMillis, now)
	}
	return outcome, err
}
