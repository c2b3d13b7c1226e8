package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/app/control"
)

const testConfiguration = `
pools:
  - name: page-api
    kind: application
    admission: {min_inflight: 1, max_inflight: 8, queue_length: 16, default_deadline: 2s}
    retry: {max_attempts: 2, budget_ratio: 0.1, base_backoff: 10ms, max_backoff: 100ms}
    ejection: {consecutive_failures: 5, latency_factor: 3, base_duration: 5s, max_share: 0.5}
  - name: caption-lm
    kind: generation
    admission: {min_inflight: 1, max_inflight: 8, queue_length: 16, default_deadline: 2s}
    retry: {max_attempts: 2, budget_ratio: 0.1, base_backoff: 10ms, max_backoff: 100ms}
    ejection: {consecutive_failures: 5, latency_factor: 3, base_duration: 5s, max_share: 0.5}
    sampling: {policy: "", staleness_bound: 4, batch_samples: 8, group_size: 4, max_tokens: 64,
      prompt_source: "http://127.0.0.1:8001", scorer: "http://127.0.0.1:8002", weight_store: "http://127.0.0.1:8003",
      priority: 1, buffer_batches: 2}
replicas:
  - {id: page-1, pool: page-api, zone: dub-north, address: "127.0.0.1:9001", state: active}
`

// operatorShell runs commands against a control group of one member.
type operatorShell struct {
	t      *testing.T
	folder string
	server string
}

func newOperatorShell(t *testing.T) *operatorShell {
	t.Helper()
	folder := t.TempDir()
	member, err := control.Start(control.Config{
		Cluster: "test", ID: 1, Members: []control.Address{{ID: 1, Peer: "127.0.0.1:0"}},
		DataFolder: filepath.Join(folder, "data"), PeerAddress: "127.0.0.1:0",
		OperatorAddress: "127.0.0.1:0", OperatorToken: "secret",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = member.Kill() })
	<-member.Ready()
	shell := &operatorShell{t: t, folder: folder, server: member.OperatorAddress()}
	shell.writeFile("token", "secret\n")
	return shell
}

func (s *operatorShell) writeFile(name, content string) string {
	s.t.Helper()
	path := filepath.Join(s.folder, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// run runs a command and returns its exit code and output.
func (s *operatorShell) run(arguments ...string) (code int, printed string) {
	s.t.Helper()
	out, err := os.Create(filepath.Join(s.folder, "out"))
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	arguments = append(arguments, "--server", s.server, "--token-file", filepath.Join(s.folder, "token"))
	code = run(arguments, out, out)
	content, err := os.ReadFile(out.Name())
	if err != nil {
		s.t.Fatal(err)
	}
	return code, string(content)
}

// mustRun runs a command and fails the test on a non-zero exit code.
func (s *operatorShell) mustRun(arguments ...string) string {
	s.t.Helper()
	code, printed := s.run(arguments...)
	if code != exitOK {
		s.t.Fatalf("%v: exit code %d: %s", arguments, code, printed)
	}
	return printed
}

// TestOperatorCommands runs most operator commands in sequence against one member.
func TestOperatorCommands(t *testing.T) {
	shell := newOperatorShell(t)
	path := shell.writeFile("configuration.yaml", testConfiguration)
	steps := []struct {
		command  []string
		contains []string
	}{
		{[]string{"config", "set", path, "--expected", "0", "--note", "first"}, []string{"revision", "1"}},
		{[]string{"config", "set", path}, []string{"revision  1"}},
		{[]string{"config", "get"}, []string{"page-api", "caption-lm"}},
		{[]string{"config", "history"}, []string{"first"}},
		{[]string{"config", "status"}, []string{"revision"}},
		{[]string{"pool", "list"}, []string{"page-api", "generation"}},
		{[]string{"pool", "show", "caption-lm"}, []string{"staleness bound"}},
		{[]string{"weights", "publish", "caption-lm", "3", "--bytes", "100"}, []string{"accepted"}},
		{[]string{"weights", "status"}, []string{"caption-lm", "3"}},
		{[]string{"replica", "drain", "page-1", "--note", "repair"}, []string{"revision  2"}},
		{[]string{"replica", "list", "--pool", "page-api"}, []string{"drain"}},
		{[]string{"replica", "return", "page-1"}, []string{"revision  3"}},
		{[]string{"member", "list"}, []string{"voter"}},
		{[]string{"member", "add", "2", "127.0.0.1:9999"}, []string{"learner"}},
		{[]string{"status"}, []string{"in touch with a quorum  true"}},
	}
	for _, step := range steps {
		printed := shell.mustRun(step.command...)
		for _, want := range step.contains {
			if !strings.Contains(printed, want) {
				t.Errorf("%v: %q is missing in:\n%s", step.command, want, printed)
			}
		}
	}
}

// TestConfigSetAcceptsEditedConfigGet also checks that config set rejects an outdated
// revision as a conflict and succeeds when repeated under its own change id.
func TestConfigSetAcceptsEditedConfigGet(t *testing.T) {
	shell := newOperatorShell(t)
	shell.mustRun("config", "set", shell.writeFile("configuration.yaml", testConfiguration))
	edited := strings.Replace(shell.mustRun("config", "get", "--output", "json"), `"queue_length": 16`, `"queue_length": 32`, 1)
	path := shell.writeFile("edited.json", edited)
	shell.mustRun("config", "set", path)
	code, printed := shell.run("config", "set", path)
	if code != exitConflict || !strings.Contains(printed, "revision 1") {
		t.Fatalf("exit code %d: %s", code, printed)
	}
	var history operatorapi.ConfigHistory
	if err := json.Unmarshal([]byte(shell.mustRun("config", "history", "--output", "json")), &history); err != nil {
		t.Fatal(err)
	}
	again := shell.mustRun("config", "set", path, "--change-id", history.Changes[1].ChangeID)
	if !strings.Contains(again, "revision  2") {
		t.Fatal(again)
	}
}

func TestOperatorExitCodes(t *testing.T) {
	shell := newOperatorShell(t)
	bad := shell.writeFile("bad.yaml", strings.Replace(testConfiguration, "min_inflight: 1", "min_inflight: 0", 1))
	cases := []struct {
		arguments []string
		code      int
		contains  string
	}{
		{[]string{"config", "set", bad}, exitUsage, "pools[page-api].admission.min_inflight"},
		{[]string{"config", "set", shell.writeFile("odd.yaml", "pool: []")}, exitUsage, "pool"},
		{[]string{"pool", "show", "none"}, exitNotFound, "none"},
		{[]string{"replica", "drain", "none"}, exitNotFound, "none"},
		{[]string{"member", "promote", "7"}, exitNotFound, "7"},
		{[]string{"status", "--output", "xml"}, exitUsage, "xml"},
		{[]string{"weights", "publish", "none", "1", "--bytes", "1"}, exitNotFound, "none"},
	}
	for _, test := range cases {
		code, printed := shell.run(test.arguments...)
		if code != test.code || !strings.Contains(printed, test.contains) {
			t.Errorf("%v: exit code %d, want %d with %q: %s", test.arguments, code, test.code, test.contains, printed)
		}
	}
	shell.writeFile("token", "wrong")
	if code, printed := shell.run("status"); code != exitDenied {
		t.Errorf("wrong token: exit code %d: %s", code, printed)
	}
	shell.server = "127.0.0.1:1"
	if code, printed := shell.run("status", "--timeout", "1s"); code != exitUnavailable {
		t.Errorf("no server: exit code %d: %s", code, printed)
	}
}
