package main

import (
	"fmt"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
)

// settingsCommand groups the commands on settings files.
type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Check settings files and say which role each is for."`
}

// settingsCheckCommand checks files without starting anything.
type settingsCheckCommand struct {
	Files []string `arg:"" type:"path" help:"Settings files."`
}

// Run checks each file and stops at the first that is refused.
func (c *settingsCheckCommand) Run(std streams) error {
	for _, path := range c.Files {
		file, err := settings.Load(path)
		if err != nil {
			return usageError{err}
		}
		fmt.Fprintf(std.stdout, "%s: good, role %s\n", path, roleOf(file))
	}
	return nil
}

func roleOf(file *settings.File) string {
	if file.Control != nil {
		return fmt.Sprintf("control, member %d", file.Control.ID)
	}
	return fmt.Sprintf("node, %s in zone %s", file.Node.ID, file.Node.Zone)
}
