package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionCommand prints what was built.
type versionCommand struct{}

// Run prints the module version, the revision if known, and the Go release.
func (versionCommand) Run(std streams) error {
	version, revision := "(devel)", "unknown"
	if info, found := debug.ReadBuildInfo(); found {
		if info.Main.Version != "" {
			version = info.Main.Version
		}
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	fmt.Fprintf(std.stdout, "loomgrade %s, revision %s, %s\n", version, revision, runtime.Version())
	return nil
}
