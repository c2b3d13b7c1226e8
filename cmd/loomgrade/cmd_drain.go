package main

import (
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// drainCommand stops a site from sending requests to the replicas of a zone.
type drainCommand struct {
	List  drainListCommand  `cmd:"" help:"List the zones whose replicas are sent nothing."`
	Begin drainBeginCommand `cmd:"" help:"Send nothing more to the replicas of a zone; what they work on goes on."`
	End   drainEndCommand   `cmd:"" help:"Send to the replicas of a zone again."`
}

// drainListCommand lists drained zones.
type drainListCommand struct {
	siteFlags `embed:""`
}

// drainRow is a row of drain list: a drained zone and the number of replicas in it.
type drainRow struct {
	Zone     string `json:"zone"`
	Replicas int    `json:"replicas"`
}

// Run lists the drained zones.
func (c *drainListCommand) Run(std streams) error {
	_, view, _, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	rows := make([]drainRow, 0, len(view.Drained))
	for _, zone := range view.Drained {
		drained := drainRow{Zone: zone}
		for _, replica := range view.Replicas.All() {
			if replica.Zone == zone {
				drained.Replicas++
			}
		}
		rows = append(rows, drained)
	}
	return output(c.outputFlags, std, rows, func(lines *table, rows []drainRow) {
		lines.row("ZONE", "REPLICAS")
		for _, drained := range rows {
			lines.row(drained.Zone, drained.Replicas)
		}
	})
}

// drainedZone is the output of drain begin and drain end.
type drainedZone struct {
	Zone    string `json:"zone"`
	Drained bool   `json:"drained"`
}

// drainBeginCommand drains a zone.
type drainBeginCommand struct {
	Zone      string `arg:"" help:"Name of the zone."`
	siteFlags `embed:""`
}

// Run drains the zone. Processes in contact with a quorum apply the drain shortly after.
func (c *drainBeginCommand) Run(std streams) error { return c.change(std, c.Zone, false) }

// drainEndCommand ends the drain of a zone.
type drainEndCommand struct {
	Zone      string `arg:"" help:"Name of the zone."`
	siteFlags `embed:""`
}

// Run ends the drain.
func (c *drainEndCommand) Run(std streams) error { return c.change(std, c.Zone, true) }

// change begins or ends the drain of a zone.
func (f *siteFlags) change(std streams, zone string, end bool) error {
	client, _, ctx, cancel, err := f.connect()
	if err != nil {
		return err
	}
	defer cancel()
	command := sitestate.Command{Drain: &sitestate.DrainZone{Zone: zone, End: end}}
	answer, err := client.callControl(ctx, sitecontrol.Request{Command: &command})
	if err != nil {
		return err
	}
	if answer.Outcome == sitestate.OutcomeMalformed {
		return port.NewError(port.NotRun, port.CodeUnavailable, "the control group's leader runs a build that does not support drains")
	}
	return output(f.outputFlags, std, drainedZone{Zone: zone, Drained: !end}, func(lines *table, done drainedZone) {
		lines.row("zone", done.Zone)
		lines.row("drained", done.Drained)
	})
}
