package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"

	"github.com/goccy/go-yaml"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// configCommand groups the configuration commands.
type configCommand struct {
	Get     configGetCommand     `cmd:"" help:"Show the configuration in force."`
	Set     configSetCommand     `cmd:"" help:"Replace the configuration by that of a file."`
	History configHistoryCommand `cmd:"" help:"List accepted changes."`
	Status  configStatusCommand  `cmd:"" help:"Show where the revision is in force, where not, and since when."`
}

// configGetCommand shows the current configuration.
type configGetCommand struct {
	operatorFlags `embed:""`
}

// Run prints a summary table, or the full configuration as JSON, which config set accepts.
func (c *configGetCommand) Run(std streams) error {
	return query(&c.operatorFlags, std, (*operatorapi.Client).Config, func(lines *table, config operatorapi.Config) {
		lines.row("revision", config.Revision)
		lines.row("machine list", config.Configuration.MachineList)
		lines.row("tenants", len(config.Configuration.Tenants))
		lines.row("POOL", "KIND", "REPLICAS")
		for _, pool := range config.Configuration.Pools {
			lines.row(pool.Name, pool.Kind, countReplicas(config.Configuration.Replicas, pool.EnginePool()))
		}
	})
}

func countReplicas(replicas []port.Replica, pool port.PoolName) int {
	count := 0
	for _, replica := range replicas {
		if replica.Pool == pool {
			count++
		}
	}
	return count
}

// configSetCommand changes the configuration.
type configSetCommand struct {
	operatorFlags `embed:""`
	File          string         `arg:"" type:"existingfile" help:"YAML or JSON file: a configuration, or the JSON output of config get."`
	Expected      *port.Revision `help:"Revision that the change starts from; by default that in the file, or else the one in force."`
	ChangeID      string         `name:"change-id" help:"Id of an earlier try whose answer was lost."`
	Author        string         `env:"USER" help:"Who makes the change, for the history."`
	Note          string         `help:"Why, for the history."`
}

// Run sends the edits that turn the expected revision into the configuration of the file.
func (c *configSetCommand) Run(std streams) error {
	document, err := readDocument(c.File)
	if err != nil {
		return usageError{err}
	}
	if c.Expected != nil {
		document.Revision = c.Expected
	}
	client, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	accepted, err := c.apply(ctx, client, document)
	if err != nil {
		return err
	}
	return output(c.outputFlags, std, accepted, showAccepted)
}

func (c *configSetCommand) apply(ctx context.Context, client *operatorapi.Client, document configDocument) (operatorapi.Accepted, error) {
	if c.ChangeID != "" {
		accepted, found, err := findAccepted(ctx, client, c.ChangeID)
		if err != nil || found {
			return accepted, err
		}
	} else {
		c.ChangeID = controlclient.NewChangeID()
	}
	current, err := client.Config(ctx)
	if err != nil {
		return operatorapi.Accepted{}, err
	}
	expected := current.Revision
	if document.Revision != nil {
		expected = *document.Revision
	}
	if expected != current.Revision {
		return operatorapi.Accepted{}, port.NewError(port.NotRun, port.CodeConflict,
			"the change starts from revision %d, and the configuration is at revision %d", expected, current.Revision)
	}
	edits := registry.DiffConfiguration(current.Configuration, *document.Configuration)
	if len(edits) == 0 {
		return operatorapi.Accepted{Revision: current.Revision}, nil
	}
	change := operatorapi.ConfigChange{
		ExpectedRevision: &expected, ChangeID: c.ChangeID, Edits: edits, Author: c.Author, Note: c.Note,
	}
	accepted, err := client.ChangeConfig(ctx, change)
	if err != nil {
		return operatorapi.Accepted{}, adviseRetry(err, c.ChangeID)
	}
	return accepted, nil
}

// findAccepted searches the history for a change id.
func findAccepted(ctx context.Context, client *operatorapi.Client, changeID string) (operatorapi.Accepted, bool, error) {
	history, err := client.History(ctx)
	if err != nil {
		return operatorapi.Accepted{}, false, err
	}
	for _, change := range history.Changes {
		if change.ChangeID == changeID {
			return operatorapi.Accepted{Revision: change.Revision, Index: change.Index}, true, nil
		}
	}
	return operatorapi.Accepted{}, false, nil
}

// configDocument is a configuration and the revision it was read from.
type configDocument struct {
	Revision      *port.Revision      `json:"revision"`
	Position      uint64              `json:"position"`
	Configuration *port.Configuration `json:"configuration"`
}

// readDocument reads a plain configuration or the JSON output of config get. It rejects
// unknown fields.
func readDocument(path string) (configDocument, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return configDocument{}, err
	}
	content, err = yaml.YAMLToJSON(content)
	if err != nil {
		return configDocument{}, err
	}
	var wrapped configDocument
	if decodeStrict(content, &wrapped) == nil && wrapped.Configuration != nil {
		return wrapped, nil
	}
	var plain port.Configuration
	if err := decodeStrict(content, &plain); err != nil {
		return configDocument{}, err
	}
	return configDocument{Configuration: &plain}, nil
}

func decodeStrict(content []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}

// configHistoryCommand lists accepted changes.
type configHistoryCommand struct {
	operatorFlags `embed:""`
}

// Run lists the changes, oldest first.
func (c *configHistoryCommand) Run(std streams) error {
	return query(&c.operatorFlags, std, (*operatorapi.Client).History, func(lines *table, history operatorapi.ConfigHistory) {
		lines.row("REVISION", "TIME", "EDITS", "AUTHOR", "NOTE", "CHANGE")
		for _, change := range history.Changes {
			lines.row(change.Revision, formatTime(change.Time), change.Edits, change.Author, change.Note, change.ChangeID)
		}
	})
}

// configStatusCommand shows which nodes apply the current revision.
type configStatusCommand struct {
	operatorFlags `embed:""`
}

// Run lists the nodes and their revisions.
func (c *configStatusCommand) Run(std streams) error {
	return query(&c.operatorFlags, std, (*operatorapi.Client).ConfigStatus, func(lines *table, status operatorapi.ConfigStatus) {
		lines.row("revision", status.Revision)
		lines.row("in force at", status.InForce, "behind", status.Behind, "silent", status.Silent)
		if len(status.UnreachableMembers) > 0 {
			lines.row("control members that did not answer", status.UnreachableMembers)
		}
		lines.row("NODE", "ZONE", "STATE", "REVISION", "SINCE", "REPORTED")
		for _, node := range status.Nodes {
			lines.row(node.Node, node.Zone, node.State, node.Revision, formatTime(node.Since), formatAge(node.ReportAgeMillis))
		}
	})
}
