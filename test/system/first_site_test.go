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

// TestFirstSitePage runs the commands of the operators' first-site page, with other
// folders and another loopback address.
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
	// A separate process group allows the test to kill all processes of a failing page.
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
	timeout := time.AfterFunc(waitTimeout, func() { _ = syscall.Kill(group, syscall.SIGKILL) })
	failure := command.Wait()
	timeout.Stop()
	_ = syscall.Kill(group, syscall.SIGKILL) // fails if no process is left
	shown, _ := os.ReadFile(output.Name())   // best effort
	if failure != nil {
		t.Fatalf("%v\n%s", failure, shown)
	}
	for _, expected := range []string{"in_force", "was answered by pages-1", "was delivered", `"call":"mine"`} {
		if !strings.Contains(string(shown), expected) {
			t.Errorf("%q is missing in:\n%s", expected, shown)
		}
	}
}

// commandsOf returns the indented blocks of a page.
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
