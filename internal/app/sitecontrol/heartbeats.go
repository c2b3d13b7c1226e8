package sitecontrol

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// silentAfter is how long a replica is not heard of before the leader takes it
// out. Senders find out by themselves much earlier.
const silentAfter = 20 * time.Second

// heartbeats keeps what replicas report to the leader.
type heartbeats struct {
	control *Control
	mutex   sync.Mutex
	heard   map[string]heardReplica
	led     bool
}

type heardReplica struct {
	sequence uint64
	at       time.Time
}

func newHeartbeats(control *Control) *heartbeats {
	return &heartbeats{control: control, heard: map[string]heardReplica{}}
}

// take serves a replica's heartbeat as the leader. Only what changes something
// is put into the log; it is acknowledged once committed.
func (h *heartbeats) take(ctx context.Context, report sitestate.Replica) (Answer, error) {
	h.control.config.Recorder.HeartbeatTaken()
	answer := Answer{HeartbeatAddress: h.control.config.HeartbeatAddress}
	if !h.note(report) {
		return answer, nil
	}
	held, known := h.control.view.Load().Replicas[report.ID]
	if known && sameReport(held, report) {
		return answer, nil
	}
	outcome, err := h.control.propose(ctx, sitestate.Command{Replica: &report})
	if err != nil {
		return Answer{}, err
	}
	if !known || held.State != report.State {
		h.control.config.Logger.Info().Str(eventlog.Field, eventlog.ReplicaReported).Str("replica", report.ID).Str("service", report.Service).
			Str("address", report.Address).Uint8("state", uint8(report.State)).Uint64("sequence", report.Sequence).
			Uint8("outcome", uint8(outcome)).Msg("a replica's report was committed")
	}
	return answer, nil
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
		held.Zone == report.Zone && held.Slots == report.Slots && slices.Equal(held.Models, report.Models)
}

// tend takes out replicas that have long been silent.
func (h *heartbeats) tend(ctx context.Context, leads bool) {
	if !leads {
		h.led = false
		return
	}
	now := time.Now()
	replicas := h.control.view.Load().Replicas
	for _, id := range h.silent(replicas, now) {
		h.control.config.Logger.Warn().Str(eventlog.Field, eventlog.ReplicaSilent).Str("replica", id).Msg("a replica was not heard of and is taken out")
		_, _ = h.control.propose(ctx, sitestate.Command{Leave: &sitestate.Leave{ID: id, Silent: true}})
	}
}

// silent lists replicas that are due to be taken out. A new leader starts from
// now for all it has not heard of.
func (h *heartbeats) silent(replicas map[string]sitestate.Replica, now time.Time) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.led {
		h.led = true
		clear(h.heard)
	}
	var due []string
	for id := range replicas {
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
	for id := range h.heard {
		if _, present := replicas[id]; !present && now.Sub(h.heard[id].at) > silentAfter {
			delete(h.heard, id)
		}
	}
	return due
}
