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

const (
	// replicaTimeout is the time without a heartbeat after which the leader removes a
	// replica. Senders detect failures much earlier.
	replicaTimeout = 20 * time.Second
	// timeoutCheckInterval is the period of the leader's checks for timed-out replicas,
	// and of the other members' reports to it.
	timeoutCheckInterval = 2 * time.Second
	// memberReportTimeout limits such a report, which delays a member that becomes leader.
	memberReportTimeout = 300 * time.Millisecond
)

// heartbeats tracks the heartbeats of replicas. Any member accepts a heartbeat that changes
// nothing; members report these to the leader in batches.
type heartbeats struct {
	control *Control
	// tickedAt is the time of the last check or report to the leader; wasLeader is set
	// while this member leads.
	tickedAt  time.Time
	wasLeader bool

	mutex          sync.Mutex
	lastHeartbeats map[string]lastHeartbeat
	cold           coldReplicas
	// unreported are replicas whose heartbeats this member accepted since its last report
	// to the leader.
	unreported map[string]bool
}

type lastHeartbeat struct {
	sequence uint64
	at       time.Time
}

func newHeartbeats(control *Control) *heartbeats {
	return &heartbeats{control: control, lastHeartbeats: map[string]lastHeartbeat{}, unreported: map[string]bool{}}
}

// acceptUnchanged accepts a heartbeat on any member in contact with a quorum if it changes
// nothing, and reports whether it did.
func (h *heartbeats) acceptUnchanged(report sitestate.Replica) bool {
	published := h.control.member.PublishedState()
	if published == nil || !published.Confirmed {
		return false
	}
	registered, known := h.registered(report)
	if !known || !sameReport(registered, report) || registered.ColdMillis > 0 || report.ColdMillis > 0 {
		return false
	}
	h.control.config.Recorder.HeartbeatAccepted()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.unreported[registered.ID] = true
	return true
}

// acceptReady accepts a changed heartbeat of a ready replica on any member in contact with a
// quorum, and reports whether it did. The heartbeat is committed asynchronously: if that
// fails, the next one repeats it. Departures are acknowledged only once committed.
func (h *heartbeats) acceptReady(report sitestate.Replica) (bool, error) {
	published := h.control.member.PublishedState()
	if report.State != sitestate.ReplicaReady || published == nil || !published.Confirmed {
		return false, nil
	}
	if _, _, err := h.validate(report); err != nil {
		return false, err
	}
	if published.Leader.ID != published.Status.ID {
		h.control.config.Recorder.HeartbeatAccepted()
		h.control.reports.enqueue(report)
		return true, nil
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), entryTimeout)
		defer cancel()
		if _, err := h.accept(ctx, report); err != nil {
			h.control.logLostReports(err)
		}
	}()
	return true, nil
}

// registered returns the view's record of the replica start that sent a report.
func (h *heartbeats) registered(report sitestate.Replica) (sitestate.Replica, bool) {
	return h.control.view.Load().ReplicaByStart(report.InstanceName(), report.StartedAt)
}

// validate returns the record of a report's sender, and an error if the report names an
// unknown service or zone that the record doesn't have already.
func (h *heartbeats) validate(report sitestate.Replica) (registered sitestate.Replica, known bool, err error) {
	registered, known = h.registered(report)
	if known && registered.Service == report.Service && registered.Zone == report.Zone {
		return registered, true, nil
	}
	return registered, known, h.control.checkReport(report)
}

// recordMemberReport records another member's report, as the leader.
func (h *heartbeats) recordMemberReport(report MemberReport) {
	now := time.Now()
	if report.Member != "" {
		h.control.senders.record(report.Member, report.Watchers, now)
		h.control.levels.record(report.ID, report.Level, now)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, id := range report.Replicas {
		h.recordAlive(id, now)
	}
}

// recordAlive records a sign of life of a replica. The caller must hold h.mutex.
func (h *heartbeats) recordAlive(id string, now time.Time) {
	last := h.lastHeartbeats[id]
	last.at = now
	h.lastHeartbeats[id] = last
}

// accept serves a replica's heartbeat as the leader. Changes are committed before they are
// acknowledged; other heartbeats cause no log entry.
func (h *heartbeats) accept(ctx context.Context, report sitestate.Replica) (Answer, error) {
	h.control.config.Recorder.HeartbeatAccepted()
	registered, known, err := h.validate(report)
	if err != nil {
		return Answer{}, err
	}
	if known {
		report.ID, report.Instance = registered.ID, registered.Instance
		if !h.recordIfNewer(report) {
			return Answer{}, nil
		}
	} else if h.isLate(report) {
		return Answer{}, nil
	}
	if known && sameReport(registered, report) && !h.cold.changed(registered, report, time.Now()) {
		return Answer{}, nil
	}
	outcome, err := h.control.registrar.submit(ctx, report)
	if err != nil {
		return Answer{}, err
	}
	if !known && outcome == sitestate.OutcomeIgnored && report.State == sitestate.ReplicaReady {
		h.control.logIgnoredReport(report)
	}
	if !known || registered.State != report.State {
		h.control.config.Logger.Info().Str(eventlog.Field, eventlog.ReplicaReported).Str("replica", report.ID).Str("service", report.Service).
			Str("address", report.Address).Uint8("state", uint8(report.State)).Uint64("sequence", report.Sequence).
			Uint8("outcome", uint8(outcome)).Msg("a replica's report was committed")
	}
	return Answer{}, nil
}

// identify returns the identity of a replica start according to this member's applied state.
func (c *Control) identify(ctx context.Context, name string, startedAt uint64) (identity sitestate.Identity, err error) {
	err = c.member.Inspect(ctx, func(machine groupmember.StateMachine) {
		identity = machine.(*sitestate.State).Identify(name, startedAt)
	})
	return identity, err
}

// leave removes a replica that announces its departure. An outdated start is removed already;
// a start newer than the registered one removes that one too.
func (h *heartbeats) leave(ctx context.Context, departure sitestate.Leave) (Answer, error) {
	identity, err := h.control.identify(ctx, departure.ID, departure.StartedAt)
	if err != nil || identity.Order == sitestate.StartOutdated {
		return Answer{}, err
	}
	if identity.Order == sitestate.StartNewer {
		if _, err := h.control.propose(ctx, sitestate.Command{Leave: &sitestate.Leave{ID: identity.Replaces}}); err != nil {
			return Answer{}, err
		}
	}
	if identity.ID != departure.ID {
		departure.ID, departure.Instance = identity.ID, departure.ID
	}
	outcome, err := h.control.propose(ctx, sitestate.Command{Leave: &departure})
	return Answer{Outcome: outcome}, err
}

// recordIfNewer records a report and reports whether it is newer than the last one.
func (h *heartbeats) recordIfNewer(report sitestate.Replica) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	previous, known := h.lastHeartbeats[report.ID]
	if known && report.Sequence <= previous.sequence && report.State == sitestate.ReplicaReady {
		return false
	}
	h.lastHeartbeats[report.ID] = lastHeartbeat{sequence: max(report.Sequence, previous.sequence), at: time.Now()}
	return true
}

// isLate reports whether a removed replica sent a report before its last one.
func (h *heartbeats) isLate(report sitestate.Replica) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return report.State == sitestate.ReplicaReady && report.StartedAt == 0 && report.Sequence < h.lastHeartbeats[report.ID].sequence
}

// sameReport reports whether a report changes nothing.
func sameReport(registered, report sitestate.Replica) bool {
	sameState := registered.State == report.State || registered.State == sitestate.ReplicaDraining
	return sameState && registered.Service == report.Service && registered.Address == report.Address &&
		registered.Zone == report.Zone && registered.Slots == report.Slots && registered.StartedAt == report.StartedAt && slices.Equal(registered.Models, report.Models)
}

// tick removes timed-out replicas on the leader; other members report to the leader.
func (h *heartbeats) tick(ctx context.Context, leads bool) {
	now := time.Now()
	if now.Sub(h.tickedAt) < timeoutCheckInterval && leads == h.wasLeader {
		return
	}
	h.tickedAt = now
	if !leads {
		h.wasLeader = false
		h.reportToLeader(ctx)
		return
	}
	h.control.raiseLevel(ctx, now)
	h.control.commitSenders(ctx, now)
	replicas := h.control.view.Load().Replicas
	for _, id := range h.timedOut(replicas, now) {
		h.control.config.Logger.Warn().Str(eventlog.Field, eventlog.ReplicaTimedOut).Str("replica", id).Msg("replica timed out and is removed")
		_, _ = h.control.propose(ctx, sitestate.Command{Leave: &sitestate.Leave{ID: id, TimedOut: true}})
	}
}

// reportToLeader sends the leader the replicas that this member accepted heartbeats of. On
// failure they are part of the next report.
func (h *heartbeats) reportToLeader(ctx context.Context) {
	published := h.control.member.PublishedState()
	if published == nil {
		return
	}
	report := MemberReport{
		Replicas: h.takeUnreported(), Member: h.control.config.Machine, Watchers: h.control.watchers(),
		ID: published.Status.ID, Level: sitestate.LevelNewest,
	}
	ids := report.Replicas
	ctx, cancel := context.WithTimeout(ctx, memberReportTimeout)
	defer cancel()
	answer, err := h.control.callOnce(ctx, Request{MemberReport: &report})
	if err == nil && !answer.NotLeader {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, id := range ids {
		h.unreported[id] = true
	}
}

func (h *heartbeats) takeUnreported() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	ids := slices.Sorted(maps.Keys(h.unreported))
	clear(h.unreported)
	return ids
}

// timedOut lists the replicas to remove. A new leader restarts all timeouts.
func (h *heartbeats) timedOut(replicas sitestate.ReplicaSet, now time.Time) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.wasLeader {
		h.wasLeader = true
		clear(h.lastHeartbeats)
	}
	for id := range h.unreported {
		h.recordAlive(id, now)
	}
	clear(h.unreported)
	var due []string
	for id := range replicas.All() {
		last, known := h.lastHeartbeats[id]
		if !known {
			h.lastHeartbeats[id] = lastHeartbeat{at: now}
			continue
		}
		if now.Sub(last.at) > replicaTimeout {
			due = append(due, id)
			delete(h.lastHeartbeats, id)
		}
	}
	h.cold.expire(now)
	for id := range h.lastHeartbeats {
		if !replicas.Has(id) && now.Sub(h.lastHeartbeats[id].at) > replicaTimeout {
			delete(h.lastHeartbeats, id)
		}
	}
	return due
}
