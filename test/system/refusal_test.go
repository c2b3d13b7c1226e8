package system

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/port"
)

// exitUsage is the exit code for invalid input.
const exitUsage = 2

func TestBadSettingsAreRefused(t *testing.T) {
	const control = "cluster: c\ncontrol:\n  id: 1\n  data_folder: data\n  peer_listen: 127.0.0.1:1\n  operator_listen: 127.0.0.1:2\n" +
		"  members:\n    - id: 1\n      address: 127.0.0.1:1\n"
	const node = "cluster: c\nnode:\n  id: n\n  zone: z\n  http_listen: 127.0.0.1:1\n  peer_listen: 127.0.0.1:2\n  control_members: [127.0.0.1:3]\n"
	cases := []struct {
		name, role, settings string
		want                 []string
	}{
		{"host name", "control", strings.Replace(control, "127.0.0.1:2", "localhost:2", 1), []string{"control.operator_listen", "localhost:2", "IP:port", ":6"}},
		{"no unit", "control", control + "  tick: 50\n", []string{"control.tick", "50", "unit"}},
		{"out of range", "node", node + "  configuration_lease: 1h\n", []string{"node.configuration_lease", "1h0m0s", "10m0s"}},
		{"unknown key", "node", node + "  zones: z\n", []string{"node.zones", ":8:3:", "allowed: configuration_lease"}},
		{"twice", "node", node + "  zone: y\n", []string{"zone", ":8:3:"}},
		{"name", "node", strings.Replace(node, "zone: z", "zone: Zone_Z", 1), []string{"node.zone", "Zone_Z", "lower-case"}},
		{"other role", "node", control, []string{"node", "section"}},
		{"missing", "node", strings.Replace(node, "  id: n\n", "", 1), []string{"node.id", "missing"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			path := filepath.Join(folder, "settings.yaml")
			if err := os.WriteFile(path, []byte(c.settings), 0o600); err != nil {
				t.Fatal(err)
			}
			code, _, stderr := invoke(t, c.role, path)
			if code != exitUsage {
				t.Errorf("exit code %d, want %d", code, exitUsage)
			}
			for _, part := range append(c.want, path) {
				if !strings.Contains(stderr, part) {
					t.Errorf("%q is missing in %s", part, stderr)
				}
			}
		})
	}
}

// testBadChange checks that invalid changes are rejected with field, value and allowed
// range, and that they have no effect.
func (s *site) testBadChange(t *testing.T) {
	cases := []struct {
		name       string
		invalidate func(*port.Configuration)
		want       []string
	}{
		{"share over one", func(c *port.Configuration) { c.Pools[0].Ejection.MaxShare = 1.5 }, []string{"max_share", "1.5", "allowed"}},
		{"batch of incomplete groups", func(c *port.Configuration) { c.Pools[0].Sampling.BatchSamples = 15 }, []string{"batch_samples", "15", "allowed"}},
		{"policy that does not compile", func(c *port.Configuration) { c.Pools[0].Sampling.Policy = "def plan(pool):\n    return nothing\n" }, []string{"policy", "nothing"}},
		{"replica of unknown pool", func(c *port.Configuration) { c.Replicas[0].Pool = "nowhere" }, []string{"pool", "nowhere", "allowed"}},
		{"address with host name", func(c *port.Configuration) { c.Replicas[0].Address = "engine:80" }, []string{"address", "engine:80", "allowed"}},
	}
	var before, after operatorapi.Config
	s.runOperatorCommand(t, &before, "config", "get")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			changed := s.configuration()
			c.invalidate(&changed)
			arguments := []string{"config", "set", s.writeConfiguration(t, changed)}
			code, _, stderr := invoke(t, append(arguments, s.operatorFlags()...)...)
			if code != exitUsage {
				t.Errorf("exit code %d, want %d", code, exitUsage)
			}
			for _, part := range c.want {
				if !strings.Contains(stderr, part) {
					t.Errorf("%q is missing in %s", part, stderr)
				}
			}
		})
	}
	s.runOperatorCommand(t, &after, "config", "get")
	if before.Revision != after.Revision {
		t.Errorf("revision changed from %d to %d", before.Revision, after.Revision)
	}
}
