package main

import (
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// drainCommand keeps a site's requests away from the replicas of a zone.
type drainCommand struct {
	List  drainListCommand  `cmd:"" help:"List the zones whose replicas are sent nothing."`
	Begin drainBeginCommand `cmd:"" help:"Send nothing more to the replicas of a zone; what they work on goes on."`
	End   drainEndCommand   `cmd:"" help:"Send to the replicas of a zone again."`
}

// drainListCommand lists drained zones.
type drainListCommand struct {
	siteFlags `embed:""`
}

// shownDrain is a row of drain list: a drained zone, and how many replicas stand in it.
type shownDrain struct {
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
	shown := make([]shownDrain, 0, len(view.Drained))
	for _, zone := range view.Drained {
		drained := shownDrain{Zone: zone}
		for _, replica := range view.Replicas.All() {
			if replica.Zone == zone {
				drained.Replicas++
			}
		}
		shown = append(shown, drained)
	}
	return output(c.outputFlags, std, shown, func(lines *table, shown []shownDrain) {
		lines.row("ZONE", "REPLICAS")
		for _, drained := range shown {
			lines.row(drained.Zone, drained.Replicas)
		}
	})
}

// drainedZone is the answer of drain begin and drain end.
type drainedZone struct {
	Zone    string `json:"zone"`
	Drained bool   `json:"drained"`
}

// drainBeginCommand drains a zone.
type drainBeginCommand struct {
	Zone      string `arg:"" help:"Name of the zone."`
	siteFlags `embed:""`
}

// Run drains the zone; it is in force at all processes in touch with a quorum soon after.
func (c *drainBeginCommand) Run(std streams) error { return c.change(std, c.Zone, false) }

// drainEndCommand takes a drain back.
type drainEndCommand struct {
	Zone      string `arg:"" help:"Name of the zone."`
	siteFlags `embed:""`
}

// Run takes the drain back.
func (c *drainEndCommand) Run(std streams) error { return c.change(std, c.Zone, true) }

// change drains a zone or takes it back.
func (f *siteFlags) change(std streams, zone string, back bool) error {
	client, _, ctx, cancel, err := f.connect()
	if err != nil {
		return err
	}
	defer cancel()
	command := sitestate.Command{Drain: &sitestate.DrainZone{Zone: zone, End: back}}
	answer, err := client.control(ctx, sitecontrol.Request{Command: &command})
	if err != nil {
		return err
	}
	if answer.Outcome == sitestate.OutcomeMalformed {
		return port.NewError(port.NotRun, port.CodeUnavailable, "the control group's leader is of a build that does not know drains")
	}
	return output(f.outputFlags, std, drainedZone{Zone: zone, Drained: !back}, func(lines *table, done drainedZone) {
		lines.row("zone", done.Zone)
		lines.row("drained", done.Drained)
	})
}
