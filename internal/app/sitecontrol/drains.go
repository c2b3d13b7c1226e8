package sitecontrol

import (
	"context"
	"math"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// drainZone keeps everything away from a zone's replicas, or lets it come back, as the
// leader. It is answered once it is committed.
func (c *Control) drainZone(ctx context.Context, drain sitestate.DrainZone) (Answer, error) {
	if !c.knowsZone(drain.Zone) {
		return Answer{}, port.NewError(port.NotRun, port.CodeNotFound, "the site has no zone %q", drain.Zone)
	}
	if err := c.needs(sitestate.LevelDrains); err != nil {
		return Answer{}, err
	}
	if drain.End {
		drain.ColdMillis = c.warmups()
	}
	outcome, err := c.propose(ctx, sitestate.Command{Drain: &drain})
	if drain.End && err == nil {
		c.heartbeats.coolZone(drain)
	}
	c.config.Logger.Info().Str(eventlog.Field, eventlog.ZoneDrained).Str("zone", drain.Zone).Bool("drained", !drain.End).
		Uint8("outcome", uint8(outcome)).Uint64("position", c.view.Load().Position).Err(err).Msg("a zone was drained, or taken back")
	return Answer{Outcome: outcome}, err
}

// knowsZone reports whether the site has a zone: one that the settings name, else one that
// a machine or replica of it stands in.
func (c *Control) knowsZone(zone string) bool {
	if _, known := c.config.Zones[zone]; known || zone == "" {
		return known
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

// warmups gives how long replicas stay cold, in milliseconds by service, of the services
// whose cold replicas bear few requests.
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

// coolZone notes that the replicas of a zone that was taken back may be cold.
func (h *heartbeats) coolZone(drain sitestate.DrainZone) {
	now := time.Now()
	for _, replica := range h.control.view.Load().Replicas.All() {
		if replica.Zone == drain.Zone {
			h.cold.note(replica.ID, drain.ColdMillis[replica.Service], now)
		}
	}
}

// ignoreUnboundedWarmup leaves out how long a replica stays cold where its service bears as
// many requests then: nobody asks for it, and each change would be an entry of the log.
func (c *Control) ignoreUnboundedWarmup(report *sitestate.Replica) {
	table := c.table.Load()
	if table == nil {
		return
	}
	if service := table.Service(report.Service); service == nil || service.Warmup == 0 {
		report.ColdMillis = 0
	}
}
