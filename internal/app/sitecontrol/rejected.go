package sitecontrol

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// RejectReport counts a rejected report and logs it, rate-limited.
func (c *Control) RejectReport(name string, fault *sitestate.ReportError) {
	c.config.Recorder.HeartbeatRejected(string(fault.Field))
	count, due := c.rejectedLog.Due(time.Now())
	if !due {
		return
	}
	const maxNameBytes = 64
	c.config.Logger.Warn().Str(eventlog.Field, eventlog.HeartbeatRejected).Str("replica", name[:min(len(name), maxNameBytes)]).
		Str("field", string(fault.Field)).Str("reason", fault.Reason).Int("count", count).Msg("invalid heartbeats rejected")
}

// logLostReports logs, rate-limited, that a report was not committed; the replica repeats it.
func (c *Control) logLostReports(err error) {
	if count, due := c.lostLog.Due(time.Now()); due {
		c.config.Logger.Warn().Str(eventlog.Field, eventlog.ReportsNotCommitted).Int("count", count).Err(err).Msg("reports of replicas were not committed")
	}
}

// logIgnoredReport logs, rate-limited, that a ready replica reports although it has left. Its heartbeat
// is acknowledged: it may have been late, and other members would ignore it too.
func (c *Control) logIgnoredReport(report sitestate.Replica) {
	if count, due := c.ignoredLog.Due(time.Now()); due {
		c.config.Logger.Warn().Str(eventlog.Field, eventlog.ReplicaIgnored).Str("replica", report.InstanceName()).Str("address", report.Address).
			Uint64("sequence", report.Sequence).Int("count", count).Msg("heartbeats of replicas that have left were ignored")
	}
}

// checkReport rejects a report with a service or zone that the site doesn't have, before it
// can replace a registered replica with the same address.
func (c *Control) checkReport(report sitestate.Replica) error {
	fault := validateReport(report, c.table.Load(), c.config.Zones)
	if fault == nil {
		return nil
	}
	c.RejectReport(report.InstanceName(), fault)
	return port.NewError(port.NotRun, port.CodeInvalid, "%v", fault)
}

// validateReport returns an error if the report's service or zone is unknown. Any service is
// valid before a configuration is known, any zone if the settings name none.
func validateReport(report sitestate.Replica, table *routing.Table, zones map[string]string) *sitestate.ReportError {
	if table != nil && table.Service(report.Service) == nil {
		return &sitestate.ReportError{Field: sitestate.FieldService, Reason: "the configuration has no such service"}
	}
	if _, known := zones[report.Zone]; len(zones) > 0 && !known {
		return &sitestate.ReportError{Field: sitestate.FieldZone, Reason: "the site has no such zone"}
	}
	return nil
}
