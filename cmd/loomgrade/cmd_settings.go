package main

import (
	"errors"
	"fmt"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
)

// settingsCommand groups the settings file commands.
type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Check settings files and say which role each is for."`
}

// settingsCheckCommand checks settings files without starting a process.
type settingsCheckCommand struct {
	Files []string `arg:"" type:"path" help:"Settings files."`

	outputFlags `embed:""`
}

// checkedSettings is a valid settings file and its role.
type checkedSettings struct {
	File string `json:"file"`
	Role string `json:"role"`
}

// Run checks every file, lists the valid ones and returns the errors of the others.
func (c *settingsCheckCommand) Run(std streams) error {
	valid := []checkedSettings{}
	var failures error
	for _, path := range c.Files {
		file, err := settings.Load(path)
		if err != nil {
			failures = errors.Join(failures, err)
			continue
		}
		valid = append(valid, checkedSettings{File: path, Role: roleOf(file)})
	}
	err := output(c.outputFlags, std, valid, func(lines *table, files []checkedSettings) {
		for _, file := range files {
			lines.row(file.File, "good", file.Role)
		}
	})
	if failures != nil {
		return usageError{failures}
	}
	return err
}

func roleOf(file *settings.File) string {
	if file.Control != nil {
		return fmt.Sprintf("control, member %d", file.Control.ID)
	}
	return fmt.Sprintf("node, %s in zone %s", file.Node.ID, file.Node.Zone)
}
