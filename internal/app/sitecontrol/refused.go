package sitecontrol

import (
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// refusedLinePause is the least time between two lines on refused reports: whoever sends
// them may send thousands a second.
const refusedLinePause = time.Second

// refusedReports spaces lines on reports that were not taken. It is safe for concurrent use.
type refusedReports struct {
	mutex  sync.Mutex
	toldAt time.Time
	untold int
}

// due counts a refusal, and reports whether a line is due and on how many.
func (r *refusedReports) due(now time.Time) (count int, due bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.untold++
	if now.Sub(r.toldAt) < refusedLinePause {
		return 0, false
	}
	count, r.untold, r.toldAt = r.untold, 0, now
	return count, true
}

// RefuseReport counts a report that names no replica to use, and tells of it now and then.
func (c *Control) RejectReport(name string, fault *sitestate.ReportError) {
	c.config.Recorder.HeartbeatRejected(string(fault.Field))
	count, due := c.refused.due(time.Now())
	if !due {
		return
	}
	const shown = 64
	c.config.Logger.Warn().Str(eventlog.Field, eventlog.HeartbeatRefused).Str("replica", name[:min(len(name), shown)]).
		Str("field", string(fault.Field)).Str("reason", fault.Reason).Int("count", count).Msg("a heartbeat names no replica to use")
}

// notePassedOn tells now and then that reports did not get into the log; their replicas report
// again.
func (c *Control) notePassedOn(err error) {
	if count, due := c.lost.due(time.Now()); due {
		c.config.Logger.Warn().Str(eventlog.Field, eventlog.ReportsNotKept).Int("count", count).Err(err).Msg("reports of replicas did not get into the log")
	}
}

// checkReport refuses a report of a service or a zone that the site does not have, before
// the report can take an address from a replica that is there.
func (c *Control) checkReport(report sitestate.Replica) error {
	fault := foreign(report, c.table.Load(), c.config.Zones)
	if fault == nil {
		return nil
	}
	c.RejectReport(report.InstanceName(), fault)
	return port.NewError(port.NotRun, port.CodeInvalid, "%v", fault)
}

// foreign says what in a report is not of this site. Before a configuration is known any
// service is taken, and any zone where the settings name none.
func foreign(report sitestate.Replica, table *routing.Table, zones map[string]string) *sitestate.ReportError {
	if table != nil && table.Service(report.Service) == nil {
		return &sitestate.ReportError{Field: sitestate.FieldService, Reason: "the configuration has no such service"}
	}
	if _, known := zones[report.Zone]; len(zones) > 0 && !known {
		return &sitestate.ReportError{Field: sitestate.FieldZone, Reason: "the site has no such zone"}
	}
	return nil
}
