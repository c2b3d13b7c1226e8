package main

import (
	"errors"
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

	outputFlags `embed:""`
}

// checkedSettings is a settings file that a process would start from.
type checkedSettings struct {
	File string `json:"file"`
	Role string `json:"role"`
}

// Run checks every file, lists the good ones and refuses the others.
func (c *settingsCheckCommand) Run(std streams) error {
	good := []checkedSettings{}
	var refused error
	for _, path := range c.Files {
		file, err := settings.Load(path)
		if err != nil {
			refused = errors.Join(refused, err)
			continue
		}
		good = append(good, checkedSettings{File: path, Role: roleOf(file)})
	}
	err := output(c.outputFlags, std, good, func(lines *table, files []checkedSettings) {
		for _, file := range files {
			lines.row(file.File, "good", file.Role)
		}
	})
	if refused != nil {
		return usageError{refused}
	}
	return err
}

func roleOf(file *settings.File) string {
	if file.Control != nil {
		return fmt.Sprintf("control, member %d", file.Control.ID)
	}
	return fmt.Sprintf("node, %s in zone %s", file.Node.ID, file.Node.Zone)
}
