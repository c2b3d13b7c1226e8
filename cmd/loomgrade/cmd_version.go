package main

import (
	"runtime"
	"runtime/debug"
)

// versionCommand prints the build version.
type versionCommand struct {
	outputFlags `embed:""`
}

// buildVersion describes the build.
type buildVersion struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// Run prints the module version, the VCS revision if known, and the Go release.
func (c *versionCommand) Run(std streams) error {
	return output(c.outputFlags, std, readBuildVersion(), func(lines *table, built buildVersion) {
		lines.row("loomgrade", built.Version)
		lines.row("revision", built.Revision)
		lines.row("go", built.Go)
	})
}

func readBuildVersion() buildVersion {
	built := buildVersion{Version: "(devel)", Revision: "unknown", Go: runtime.Version()}
	info, found := debug.ReadBuildInfo()
	if !found {
		return built
	}
	if info.Main.Version != "" {
		built.Version = info.Main.Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			built.Revision = setting.Value
		}
	}
	return built
}
