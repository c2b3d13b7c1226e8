package main

import (
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// storeCommand groups the store machine commands.
type storeCommand struct {
	Status   storeStatusCommand   `cmd:"" help:"List store machines and what they are to do."`
	Evacuate storeEvacuateCommand `cmd:"" help:"Empty a store machine, so that it can be taken away."`
}

// storeStatusCommand lists store machines.
type storeStatusCommand struct {
	siteFlags `embed:""`
}

// storeRow is a row of store status.
type storeRow struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	// Shard is the job shard whose group the machine belongs to, or 0 for none.
	Shard uint32 `json:"shard"`
}

var storeStateNames = map[sitestate.StoreState]string{
	sitestate.StoreActive: "active", sitestate.StoreLeaving: "leaving", sitestate.StoreEvacuated: "emptied",
}

// Run lists the store machines by name.
func (c *storeStatusCommand) Run(std streams) error {
	_, view, _, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	rows := []storeRow{}
	for _, store := range view.Stores {
		rows = append(rows, storeRow{store.Name, store.Address, store.Zone, storeStateNames[store.State], uint32(store.Shard)})
	}
	return output(c.outputFlags, std, rows, func(lines *table, rows []storeRow) {
		lines.row("STORE", "ADDRESS", "ZONE", "STATE", "SHARD")
		for _, row := range rows {
			lines.row(row.Name, row.Address, row.Zone, row.State, row.Shard)
		}
	})
}

// storeEvacuateCommand empties a store machine.
type storeEvacuateCommand struct {
	Store     string `arg:"" help:"Name of the machine."`
	siteFlags `embed:""`
}

// Run starts the evacuation and prints the machine's state. Repeat it to follow progress.
func (c *storeEvacuateCommand) Run(std streams) error {
	client, _, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	answer, err := client.callControl(ctx, sitecontrol.Request{Evacuate: c.Store})
	switch {
	case err != nil:
		return err
	case answer.Outcome == sitestate.OutcomeUnknown:
		return port.NewError(port.NotRun, port.CodeNotFound, "store machine %q not found", c.Store)
	case answer.TooFew:
		return port.NewError(port.NotRun, port.CodeConflict, "too few store machines would remain without %q", c.Store)
	}
	row := storeRow{Name: c.Store, State: storeStateNames[answer.StoreState]}
	return output(c.outputFlags, std, row, func(lines *table, row storeRow) { lines.row(row.Name, row.State) })
}
