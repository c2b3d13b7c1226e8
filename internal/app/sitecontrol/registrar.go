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
	// maxConcurrentEntries limits the entries in flight to what the log appends with a few
	// syncs.
	maxConcurrentEntries = 256
	// entryTimeout limits one entry. It exceeds the replicas' own timeout, so that a slow
	// entry finishes instead of restarting with each retry of the replica.
	entryTimeout = 4 * time.Second
)

// registrar commits reports that change something, as the leader. A repeated report waits
// for the pending entry, so that retries add no load. It is safe for concurrent use.
type registrar struct {
	control *Control
	mutex   sync.Mutex
	// pending has the queued or in-flight entry of each replica start.
	pending map[reportKey]*reportEntry
	queue   []*reportEntry
	// running is set while a goroutine processes the queue.
	running bool
}

// reportKey identifies a start of a replica.
type reportKey struct {
	name      string
	startedAt uint64
}

func keyOf(report *sitestate.Replica) reportKey {
	return reportKey{name: report.InstanceName(), startedAt: report.StartedAt}
}

// equivalentReports reports whether committing a pending report also covers another one.
func equivalentReports(pending, report sitestate.Replica) bool {
	return sameReport(pending, report) && pending.ColdMillis == report.ColdMillis
}

// reportEntry is a report that is being committed.
type reportEntry struct {
	report sitestate.Replica
	// done is closed once outcome and err are set.
	done    chan struct{}
	outcome sitestate.Outcome
	err     error
}

func newRegistrar(control *Control) *registrar {
	return &registrar{control: control, pending: map[reportKey]*reportEntry{}}
}

// submit commits a report and waits for the outcome.
func (r *registrar) submit(ctx context.Context, report sitestate.Replica) (sitestate.Outcome, error) {
	entry := r.enqueue(report)
	select {
	case <-entry.done:
		return entry.outcome, entry.err
	case <-ctx.Done():
		return 0, port.NewError(port.MayHaveRun, port.CodeUnavailable, "the replica's report is not committed yet")
	}
}

// enqueue returns the pending entry of an equivalent report, or a new one.
func (r *registrar) enqueue(report sitestate.Replica) *reportEntry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := keyOf(&report)
	if pending := r.pending[key]; pending != nil && equivalentReports(pending.report, report) {
		return pending
	}
	entry := &reportEntry{report: report, done: make(chan struct{})}
	r.pending[key] = entry
	r.queue = append(r.queue, entry)
	if !r.running {
		r.running = true
		go r.run()
	}
	return entry
}

// run commits entries until the queue is empty.
func (r *registrar) run() {
	for {
		r.mutex.Lock()
		batch := r.queue[:min(len(r.queue), maxConcurrentEntries)]
		r.queue = r.queue[len(batch):]
		if len(batch) == 0 {
			r.running, r.queue = false, nil
			r.mutex.Unlock()
			return
		}
		r.mutex.Unlock()
		r.commit(batch)
		r.finish(batch)
	}
}

// finish wakes the callers that wait for a batch.
func (r *registrar) finish(batch []*reportEntry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, entry := range batch {
		if key := keyOf(&entry.report); r.pending[key] == entry {
			delete(r.pending, key)
		}
		close(entry.done)
	}
}

// commit commits a batch in rounds. Reports that may affect each other are in different rounds, in
// the order of their arrival.
func (r *registrar) commit(batch []*reportEntry) {
	for len(batch) > 0 {
		var round []*reportEntry
		round, batch = splitRound(batch)
		r.commitRound(round)
	}
}

// splitRound returns the first reports of each name and address, and the others.
func splitRound(batch []*reportEntry) (round, rest []*reportEntry) {
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, entry := range batch {
		name, address := entry.report.InstanceName(), entry.report.Address
		if names[name] || addresses[address] {
			rest = append(rest, entry)
		} else {
			round = append(round, entry)
		}
		names[name], addresses[address] = true, true
	}
	return round, rest
}

// registration is what the state has about the sender of a report before the report is committed.
type registration struct {
	identity sitestate.Identity
	// holder is the other replica that is registered with the sender's address; its id is empty
	// if there is none.
	holder sitestate.Replica
}

// commitRound commits reports concurrently, with one read of the state.
func (r *registrar) commitRound(round []*reportEntry) {
	ctx, cancel := context.WithTimeout(context.Background(), entryTimeout)
	defer cancel()
	registrations := make([]registration, len(round))
	err := r.control.member.Inspect(ctx, func(machine groupmember.StateMachine) {
		for i, entry := range round {
			registrations[i] = registrationOf(machine.(*sitestate.State), &entry.report)
		}
	})
	var tasks errgroup.Group
	for i, entry := range round {
		if err != nil {
			entry.err = err
			continue
		}
		tasks.Go(func() error {
			entry.outcome, entry.err = r.commitOne(ctx, entry.report, registrations[i])
			return nil
		})
	}
	_ = tasks.Wait() // each entry has its own error
}

// registrationOf returns the registration of a report's sender. A report that the state will ignore
// takes the address from no other replica.
func registrationOf(state *sitestate.State, report *sitestate.Replica) registration {
	found := registration{identity: state.Identify(report.InstanceName(), report.StartedAt)}
	id := found.identity.ID
	current, known := state.Replica(id)
	if state.HasLeft(id) || (known && report.Sequence <= current.Sequence) {
		return found
	}
	if holder, held := state.ReplicaAt(report.Address); held && holder.ID != id && holder.ID != found.identity.Replaces {
		found.holder = holder
	}
	return found
}

// commitOne commits a report under its id. It removes an earlier start of the same name, and
// rejects a report of an outdated start.
func (r *registrar) commitOne(ctx context.Context, report sitestate.Replica, found registration) (sitestate.Outcome, error) {
	name, identity := report.InstanceName(), found.identity
	switch identity.Order {
	case sitestate.StartOutdated:
		return 0, port.NewError(port.NotRun, port.CodeFenced, "a later start of replica %s is known", name)
	case sitestate.StartNewer:
		r.control.config.Logger.Info().Str(eventlog.Field, eventlog.ReplicaRestarted).Str("replica", identity.ID).Str("before", identity.Replaces).
			Uint64("born", report.StartedAt).Msg("replica restarted under the same name")
		if _, err := r.control.propose(ctx, sitestate.Command{Leave: &sitestate.Leave{ID: identity.Replaces}}); err != nil {
			return 0, err
		}
	case sitestate.StartCurrent:
	}
	if report.ID = identity.ID; report.ID != name {
		report.Instance = name
	}
	if found.holder.ID != "" {
		if report.State == sitestate.ReplicaDraining {
			// A replica that leaves needs no address. Its departure is final, so that its late
			// reports cannot take the address either.
			return r.control.propose(ctx, sitestate.Command{Leave: &sitestate.Leave{ID: report.ID, Instance: report.Instance, StartedAt: report.StartedAt}})
		}
		if err := r.displace(ctx, found.holder, report.ID); err != nil {
			return 0, err
		}
	}
	now := time.Now()
	outcome, err := r.control.propose(ctx, sitestate.Command{Replica: &report})
	if err == nil {
		r.control.heartbeats.cold.record(report.ID, report.ColdMillis, now)
	}
	return outcome, err
}

// displace removes a replica whose address another one has reported. Which of the two is alive is
// unknown, as reports may arrive late: the one that continues to report registers again.
func (r *registrar) displace(ctx context.Context, holder sitestate.Replica, reporter string) error {
	r.control.config.Logger.Info().Str(eventlog.Field, eventlog.ReplicaDisplaced).Str("replica", holder.ID).Str("by", reporter).
		Str("address", holder.Address).Msg("another replica reported the address of a replica")
	_, err := r.control.propose(ctx, sitestate.Command{Leave: &sitestate.Leave{ID: holder.ID, TimedOut: true}})
	return err
}
