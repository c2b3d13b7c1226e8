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
	// silentAfter is how long a replica is not heard of before the leader takes
	// it out. Senders find out by themselves much earlier.
	silentAfter = 20 * time.Second
	// silenceInterval is how often the leader looks for silent replicas, and how
	// often the other members tell it of those that they heard of.
	silenceInterval = 2 * time.Second
	// tellTimeout bounds telling it: a member that comes to lead meanwhile has
	// other things to do.
	tellTimeout = 300 * time.Millisecond
)

// heartbeats keeps what replicas report. Any member takes a heartbeat that tells
// nothing new; the leader learns of it later, in one message for many.
type heartbeats struct {
	control *Control
	// tendedAt is when the leader last looked for silent replicas, or this
	// member last told it; led is set while this member leads.
	tendedAt time.Time
	led      bool

	mutex sync.Mutex
	heard map[string]heardReplica
	cold  coldReplicas
	// untold are replicas whose heartbeats this member took since it last told
	// the leader.
	untold map[string]bool
}

type heardReplica struct {
	sequence uint64
	at       time.Time
}

func newHeartbeats(control *Control) *heartbeats {
	return &heartbeats{control: control, heard: map[string]heardReplica{}, untold: map[string]bool{}}
}

// takeHere takes a heartbeat at any member in touch with a quorum, and reports
// whether it did. It does not if the heartbeat tells anything new: that is
// acknowledged only once the leader has committed it.
func (h *heartbeats) takeHere(report sitestate.Replica) bool {
	shown := h.control.member.PublishedState()
	if shown == nil || !shown.Confirmed {
		return false
	}
	held, known := h.held(report)
	if !known || !sameReport(held, report) || held.ColdMillis > 0 || report.ColdMillis > 0 {
		return false
	}
	h.control.config.Recorder.HeartbeatAccepted()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.untold[held.ID] = true
	return true
}

// takeOn takes a heartbeat of a replica that is ready and tells something new, at any member in
// touch with a quorum, and reports whether it did. It is passed on to the log beside the call:
// that a replica is ready binds nobody, and one whose report did not get there reports again a
// moment later. What binds, that it leaves, is acknowledged only once it is committed.
func (h *heartbeats) takeOn(report sitestate.Replica) (bool, error) {
	shown := h.control.member.PublishedState()
	if report.State != sitestate.ReplicaReady || shown == nil || !shown.Confirmed {
		return false, nil
	}
	if _, _, err := h.checked(report); err != nil {
		return false, err
	}
	if shown.Leader.ID != shown.Status.ID {
		h.control.config.Recorder.HeartbeatAccepted()
		h.control.reports.join(report)
		return true, nil
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), entryTimeout)
		defer cancel()
		if _, err := h.take(ctx, report); err != nil {
			h.control.notePassedOn(err)
		}
	}()
	return true, nil
}

// held gives what the view has of the start that a report comes from.
func (h *heartbeats) held(report sitestate.Replica) (sitestate.Replica, bool) {
	return h.control.view.Load().StartOf(report.InstanceName(), report.StartedAt)
}

// checked is held for a report that must be of a service and a zone of the site, unless the
// replica is held with them already.
func (h *heartbeats) checked(report sitestate.Replica) (held sitestate.Replica, known bool, err error) {
	held, known = h.held(report)
	if known && held.Service == report.Service && held.Zone == report.Zone {
		return held, true, nil
	}
	return held, known, h.control.checkReport(report)
}

// noteHeard takes in, as the leader, what another member heard of.
func (h *heartbeats) noteHeard(heard Heard) {
	now := time.Now()
	if heard.Member != "" {
		h.control.senders.note(heard.Member, heard.Watchers, now)
		h.control.levels.note(heard.ID, heard.Level, now)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, id := range heard.Replicas {
		h.noteAlive(id, now)
	}
}

// noteAlive notes, under the lock, that a replica was heard of.
func (h *heartbeats) noteAlive(id string, now time.Time) {
	known := h.heard[id]
	known.at = now
	h.heard[id] = known
}

// take serves a replica's heartbeat as the leader. Only what changes something
// is put into the log; it is acknowledged once committed.
func (h *heartbeats) take(ctx context.Context, report sitestate.Replica) (Answer, error) {
	h.control.config.Recorder.HeartbeatAccepted()
	held, known, err := h.checked(report)
	if err != nil {
		return Answer{}, err
	}
	if known {
		report.ID, report.Instance = held.ID, held.Instance
		if !h.note(report) {
			return Answer{}, nil
		}
	}
	if known && sameReport(held, report) && !h.cold.news(held, report, time.Now()) {
		return Answer{}, nil
	}
	outcome, err := h.control.registrar.take(ctx, report)
	if err != nil {
		return Answer{}, err
	}
	if !known || held.State != report.State {
		h.control.config.Logger.Info().Str(eventlog.Field, eventlog.ReplicaReported).Str("replica", report.ID).Str("service", report.Service).
			Str("address", report.Address).Uint8("state", uint8(report.State)).Uint64("sequence", report.Sequence).
			Uint8("outcome", uint8(outcome)).Msg("a replica's report was committed")
	}
	return Answer{}, nil
}

// identify tells which start of a replica speaks, by what is applied here.
func (c *Control) identify(ctx context.Context, name string, born uint64) (identity sitestate.Identity, err error) {
	err = c.member.Inspect(ctx, func(machine groupmember.StateMachine) {
		identity = machine.(*sitestate.State).Identify(name, born)
	})
	return identity, err
}

// leave takes out a replica that says it ends. An earlier start than the one known has
// ended already; a later one, of which nothing was heard, has ended that one too.
func (h *heartbeats) leave(ctx context.Context, left sitestate.Leave) (Answer, error) {
	identity, err := h.control.identify(ctx, left.ID, left.StartedAt)
	if err != nil || identity.Order == sitestate.StartOutdated {
		return Answer{}, err
	}
	if identity.Order == sitestate.StartNewer {
		if _, err := h.control.propose(ctx, sitestate.Command{Leave: &sitestate.Leave{ID: identity.Replaces}}); err != nil {
			return Answer{}, err
		}
	}
	if identity.ID != left.ID {
		left.ID, left.Instance = identity.ID, left.ID
	}
	outcome, err := h.control.propose(ctx, sitestate.Command{Leave: &left})
	return Answer{Outcome: outcome}, err
}

// note reports whether the report is newer than what was heard.
func (h *heartbeats) note(report sitestate.Replica) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	previous, known := h.heard[report.ID]
	if known && report.Sequence <= previous.sequence && report.State == sitestate.ReplicaReady {
		return false
	}
	h.heard[report.ID] = heardReplica{sequence: max(report.Sequence, previous.sequence), at: time.Now()}
	return true
}

// sameReport reports whether a report says nothing new.
func sameReport(held, report sitestate.Replica) bool {
	sameState := held.State == report.State || held.State == sitestate.ReplicaDraining
	return sameState && held.Service == report.Service && held.Address == report.Address &&
		held.Zone == report.Zone && held.Slots == report.Slots && held.StartedAt == report.StartedAt && slices.Equal(held.Models, report.Models)
}

// tend takes out replicas that have long been silent, or tells the leader which
// are not.
func (h *heartbeats) tend(ctx context.Context, leads bool) {
	now := time.Now()
	if now.Sub(h.tendedAt) < silenceInterval && leads == h.led {
		return
	}
	h.tendedAt = now
	if !leads {
		h.led = false
		h.tellLeader(ctx)
		return
	}
	h.control.tendLevel(ctx, now)
	h.control.tendSenders(ctx, now)
	replicas := h.control.view.Load().Replicas
	for _, id := range h.silent(replicas, now) {
		h.control.config.Logger.Warn().Str(eventlog.Field, eventlog.ReplicaSilent).Str("replica", id).Msg("a replica was not heard of and is taken out")
		_, _ = h.control.propose(ctx, sitestate.Command{Leave: &sitestate.Leave{ID: id, TimedOut: true}})
	}
}

// tellLeader tells the leader which replicas were heard of here. What it does not
// learn for want of one is told the next time.
func (h *heartbeats) tellLeader(ctx context.Context) {
	shown := h.control.member.PublishedState()
	if shown == nil {
		return
	}
	heard := Heard{
		Replicas: h.takeUntold(), Member: h.control.config.Machine, Watchers: h.control.watchers(),
		ID: shown.Status.ID, Level: sitestate.LevelNewest,
	}
	told := heard.Replicas
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	answer, err := h.control.callOnce(ctx, Request{Heard: &heard})
	if err == nil && !answer.NotLeader {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, id := range told {
		h.untold[id] = true
	}
}

func (h *heartbeats) takeUntold() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	told := slices.Sorted(maps.Keys(h.untold))
	clear(h.untold)
	return told
}

// silent lists replicas that are due to be taken out. A new leader starts from
// now for all it has not heard of.
func (h *heartbeats) silent(replicas sitestate.ReplicaSet, now time.Time) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.led {
		h.led = true
		clear(h.heard)
	}
	for id := range h.untold {
		h.noteAlive(id, now)
	}
	clear(h.untold)
	var due []string
	for id := range replicas.All() {
		heard, known := h.heard[id]
		if !known {
			h.heard[id] = heardReplica{at: now}
			continue
		}
		if now.Sub(heard.at) > silentAfter {
			due = append(due, id)
			delete(h.heard, id)
		}
	}
	h.cold.forget(now)
	for id := range h.heard {
		if !replicas.Has(id) && now.Sub(h.heard[id].at) > silentAfter {
			delete(h.heard, id)
		}
	}
	return due
}
