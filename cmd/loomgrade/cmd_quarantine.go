package main

import (
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// quarantineCommand shows the requests that a site withholds and lets them go.
type quarantineCommand struct {
	List    quarantineListCommand    `cmd:"" help:"List requests under which replicas of a site ended."`
	Release quarantineReleaseCommand `cmd:"" help:"Let a request go: its callers' next try is sent."`
}

// quarantineListCommand lists suspects.
type quarantineListCommand struct {
	siteFlags `embed:""`
}

// shownSuspect is a row of quarantine list.
type shownSuspect struct {
	Fingerprint string   `json:"fingerprint"`
	Withheld    bool     `json:"withheld"`
	Trials      int      `json:"trials"`
	Replicas    []string `json:"replicas"`
}

// Run lists the suspects that processes are told of, the one blamed last at the end.
func (c *quarantineListCommand) Run(std streams) error {
	_, view, _, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	shown := make([]shownSuspect, 0, len(view.Suspects))
	for _, suspect := range view.Suspects {
		shown = append(shown, shownSuspect{suspect.Fingerprint.String(), suspect.Withheld(), suspect.Trials, suspect.Replicas})
	}
	return output(c.outputFlags, std, shown, func(lines *table, shown []shownSuspect) {
		lines.row("FINGERPRINT", "WITHHELD", "TRIALS", "ENDED")
		for _, suspect := range shown {
			lines.row(suspect.Fingerprint, suspect.Withheld, suspect.Trials, suspect.Replicas)
		}
	})
}

// quarantineReleaseCommand lets a request go.
type quarantineReleaseCommand struct {
	Fingerprint string `arg:"" help:"Fingerprint of the request, as quarantine list and log lines show it."`
	siteFlags   `embed:""`
}

// releasedRequest is the answer of quarantine release.
type releasedRequest struct {
	Released string `json:"released"`
}

// Run forgets what is known of the request.
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
		if _, err := client.control(ctx, sitecontrol.Request{Command: &command}); err != nil {
			return err
		}
		return output(c.outputFlags, std, releasedRequest{c.Fingerprint}, func(lines *table, released releasedRequest) {
			lines.row("released", released.Released)
		})
	}
	return port.NewError(port.NotRun, port.CodeNotFound, "no request with fingerprint %s is held", c.Fingerprint)
}
