package system

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaries is the folder of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "loomgrade-system-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binaries = folder
	for _, program := range []string{"loomgrade", "loomlab"} {
		build := exec.Command("go", "build", "-o", filepath.Join(folder, program), "../../cmd/"+program)
		build.Stdout, build.Stderr = os.Stderr, os.Stderr
		if err := build.Run(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n", program, err)
			return 1
		}
	}
	return m.Run()
}
