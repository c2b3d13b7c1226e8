package sitecontrol

import (
	"context"
	"math"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// drainZone starts or ends the drain of a zone, as the leader. It returns once the change is
// committed.
func (c *Control) drainZone(ctx context.Context, drain sitestate.DrainZone) (Answer, error) {
	// A member that was replaced as leader may lack a zone that was added since.
	if err := c.member.Read(ctx, func(groupmember.StateMachine) {}); err != nil {
		return Answer{}, err
	}
	if !c.hasZone(drain.Zone) {
		return Answer{}, port.NewError(port.NotRun, port.CodeNotFound, "the site has no zone %q", drain.Zone)
	}
	if err := c.requireLevel(sitestate.LevelDrains); err != nil {
		return Answer{}, err
	}
	if drain.End {
		drain.ColdMillis = c.warmups()
	}
	outcome, err := c.propose(ctx, sitestate.Command{Drain: &drain})
	if drain.End && err == nil {
		c.heartbeats.markZoneCold(drain)
	}
	c.config.Logger.Info().Str(eventlog.Field, eventlog.ZoneDrained).Str("zone", drain.Zone).Bool("drained", !drain.End).
		Uint8("outcome", uint8(outcome)).Uint64("position", c.view.Load().Position).Err(err).Msg("drain of a zone changed")
	return Answer{Outcome: outcome}, err
}

// hasZone reports whether the settings name a zone, or a registered store machine or replica
// is in it.
func (c *Control) hasZone(zone string) bool {
	if _, configured := c.config.Zones[zone]; configured || zone == "" {
		return configured
	}
	view := c.view.Load()
	for _, replica := range view.Replicas.All() {
		if replica.Zone == zone {
			return true
		}
	}
	for _, store := range view.Stores {
		if store.Zone == zone {
			return true
		}
	}
	return false
}

// warmups returns the warm-up periods in milliseconds, by service, of the services that
// limit requests to cold replicas.
func (c *Control) warmups() map[string]uint32 {
	table := c.table.Load()
	if table == nil {
		return nil
	}
	cold := map[string]uint32{}
	for _, service := range table.Document().Services {
		if service.Warmup > 0 {
			cold[service.Name] = uint32(min(service.Warmup/time.Millisecond, math.MaxUint32))
		}
	}
	return cold
}

// markZoneCold records that the replicas of a zone may be cold after the end of its drain.
func (h *heartbeats) markZoneCold(drain sitestate.DrainZone) {
	now := time.Now()
	for _, replica := range h.control.view.Load().Replicas.All() {
		if replica.Zone == drain.Zone {
			h.cold.record(replica.ID, drain.ColdMillis[replica.Service], now)
		}
	}
}

// dropUnusedWarmup clears the cold period of a report whose service doesn't limit requests
// to cold replicas: each change of it would become a log entry.
func (c *Control) dropUnusedWarmup(report *sitestate.Replica) {
	table := c.table.Load()
	if table == nil {
		return
	}
	if service := table.Service(report.Service); service == nil || service.Warmup == 0 {
		report.ColdMillis = 0
	}
}
