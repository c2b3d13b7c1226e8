package main

import (
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// quarantineCommand shows and releases the requests that a site withholds.
type quarantineCommand struct {
	List    quarantineListCommand    `cmd:"" help:"List requests under which replicas of a site ended."`
	Release quarantineReleaseCommand `cmd:"" help:"Let a request go: its callers' next try is sent."`
}

// quarantineListCommand lists suspect requests.
type quarantineListCommand struct {
	siteFlags `embed:""`
}

// quarantineRow is a row of quarantine list.
type quarantineRow struct {
	Fingerprint string   `json:"fingerprint"`
	Withheld    bool     `json:"withheld"`
	Trials      int      `json:"trials"`
	Replicas    []string `json:"replicas"`
}

// Run lists the suspects in the control state, the most recently reported last.
func (c *quarantineListCommand) Run(std streams) error {
	_, view, _, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	rows := make([]quarantineRow, 0, len(view.Suspects))
	for _, suspect := range view.Suspects {
		rows = append(rows, quarantineRow{suspect.Fingerprint.String(), suspect.Withheld(), suspect.Trials, suspect.Replicas})
	}
	return output(c.outputFlags, std, rows, func(lines *table, rows []quarantineRow) {
		lines.row("FINGERPRINT", "WITHHELD", "TRIALS", "ENDED")
		for _, suspect := range rows {
			lines.row(suspect.Fingerprint, suspect.Withheld, suspect.Trials, suspect.Replicas)
		}
	})
}

// quarantineReleaseCommand releases a request.
type quarantineReleaseCommand struct {
	Fingerprint string `arg:"" help:"Fingerprint of the request, as quarantine list and log lines show it."`
	siteFlags   `embed:""`
}

// releasedRequest is the output of quarantine release.
type releasedRequest struct {
	Released string `json:"released"`
}

// Run removes the record of the request.
func (c *quarantineReleaseCommand) Run(std streams) error {
	client, view, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	for _, suspect := range view.Suspects {
		if suspect.Fingerprint.String() != c.Fingerprint {
			continue
		}
		event := quarantine.Event{Kind: quarantine.EventReleased, Fingerprint: suspect.Fingerprint}
		command := sitestate.Command{Quarantine: &sitestate.Quarantine{Events: []quarantine.Event{event}}}
		if _, err := client.callControl(ctx, sitecontrol.Request{Command: &command}); err != nil {
			return err
		}
		return output(c.outputFlags, std, releasedRequest{c.Fingerprint}, func(lines *table, released releasedRequest) {
			lines.row("released", released.Released)
		})
	}
	return port.NewError(port.NotRun, port.CodeNotFound, "no suspect request with fingerprint %s", c.Fingerprint)
}
