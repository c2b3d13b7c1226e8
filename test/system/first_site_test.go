package system

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/testkit"
)

// TestFirstSitePage runs the commands of the page on the first site, as they
// stand, with other folders and another loopback address.
func TestFirstSitePage(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	script := commandsOf(testkit.Page(t, "docs/operators/first-site.md"))
	script = strings.NewReplacer(
		"go build -o bin/ ./cmd/loomgrade ./cmd/loomlab\n", "",
		"bin/loom", binaries+"/loom",
		"run/first-site", folder,
		"127.0.0.1", loopbackHost(),
	).Replace(script)
	command := exec.Command("bash", "-c", "set -euo pipefail\n"+script)
	// A process group of its own, so that nothing outlives a page that fails.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	output, err := os.Create(folder + "/output")
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	group := -command.Process.Pid
	giveUp := time.AfterFunc(patience, func() { _ = syscall.Kill(group, syscall.SIGKILL) })
	failure := command.Wait()
	giveUp.Stop()
	_ = syscall.Kill(group, syscall.SIGKILL) // nothing is left of a page that worked
	said, _ := os.ReadFile(output.Name())    // shown as far as it can be read
	if failure != nil {
		t.Fatalf("%v\n%s", failure, said)
	}
	for _, expected := range []string{"in_force", "was answered by pages-1", "was delivered", `"call":"mine"`} {
		if !strings.Contains(string(said), expected) {
			t.Errorf("%q is missing in:\n%s", expected, said)
		}
	}
}

// commandsOf gives the indented blocks of a page.
func commandsOf(page string) string {
	const indent = "    "
	var commands strings.Builder
	for line := range strings.Lines(page) {
		if command, indented := strings.CutPrefix(line, indent); indented {
			commands.WriteString(command)
		}
	}
	return commands.String()
}
