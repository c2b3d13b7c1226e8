package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
)

const validControl = `cluster: demo
control:
  id: 1
  data_folder: run/control-1
  peer_listen: 127.0.0.1:7101
  operator_listen: 127.0.0.1:7201
  tick: 50ms
  members:
    - id: 1
      address: 127.0.0.1:7101
`

const validNode = `cluster: demo
node:
  id: node-a
  zone: dub-north
  http_listen: 127.0.0.1:8101
  peer_listen: 127.0.0.1:8201
  control_members: [127.0.0.1:7101]
`

func TestParseAcceptsGoodFiles(t *testing.T) {
	for name, content := range map[string]string{"control": validControl, "node": validNode} {
		t.Run(name, func(t *testing.T) {
			if _, err := settings.Parse("demo.yaml", []byte(content)); err != nil {
				t.Fatalf("a valid file was rejected: %v", err)
			}
		})
	}
}

func TestParseRejectsInvalidFiles(t *testing.T) {
	cases := []struct {
		name, content, old, replacement string
		want                            []string
	}{
		{"unknown key", validControl, "tick: 50ms", "tik: 50ms", []string{"7:3", "tik"}},
		{"duplicate key", validControl, "tick: 50ms", "id: 2", []string{"7:3", "id"}},
		{"no unit", validControl, "tick: 50ms", "tick: 50", []string{"demo.yaml:7", "control.tick", "50", "with a unit"}},
		{"out of range", validControl, "tick: 50ms", "tick: 1ms", []string{"demo.yaml:7", "control.tick", "1ms", "5ms to 5s"}},
		{"wrong type", validControl, "id: 1\n  data", "id: first\n  data", []string{"demo.yaml:3", "id", "first", "a whole number"}},
		{"host name", validControl, "peer_listen: 127.0.0.1:7101", "peer_listen: localhost:7101", []string{"demo.yaml:5", "control.peer_listen", "localhost:7101", "IP:port"}},
		{"foreign id", validControl, "id: 1\n  data", "id: 9\n  data", []string{"demo.yaml:3", "control.id", "9", "control.members"}},
		{"bad member address", validControl, "address: 127.0.0.1:7101", "address: nowhere", []string{"demo.yaml:10", "control.members[0].address", "nowhere"}},
		{"bad zone", validNode, "zone: dub-north", "zone: Dub North", []string{"demo.yaml:4", "node.zone", "Dub North"}},
		{"no members", validNode, "[127.0.0.1:7101]", "[]", []string{"node.control_members", "at least one"}},
		{"both roles", validNode + strings.TrimPrefix(validControl, "cluster: demo\n"), "", "", []string{"exactly one"}},
		{"empty", "", "", "", []string{"cluster"}},
		{"not yaml", ":\n:::", "", "", []string{"demo.yaml"}},
		{"a list", "- 1\n", "", "", []string{"demo.yaml:1"}},
		{"tab", "\tcluster: demo\n", "", "", []string{"demo.yaml:1"}},
		{"second document", validNode + "---\nodd: 1\n", "", "", []string{"demo.yaml:9", "one document"}},
		{"unknown section", validNode + "odd: 1\n", "", "", []string{"demo.yaml:8", "odd", "allowed: cluster, control"}},
		{"key in another case", validNode, "cluster:", "Cluster:", []string{"demo.yaml:1", "Cluster", "allowed: cluster"}},
		{"unknown key in a list", validControl, "address: 127", "adress: 127", []string{"demo.yaml:10", "control.members.adress", "allowed: address, id"}},
		{"duplicate section", validNode + "node: {id: x}\n", "", "", []string{"demo.yaml:8", "node"}},
		{"fraction", validControl, "id: 1\n  data", "id: 1.5\n  data", []string{"demo.yaml:3", "control.id", "1.5", "a whole number"}},
		{"fraction in a list", validControl, "- id: 1\n", "- id: 1.5\n", []string{"demo.yaml:9", "control.members.id", "1.5", "a whole number"}},
		{"zero in place of the default", validControl, "tick: 50ms", "snapshot_entries: 0", []string{"demo.yaml:7", "control.snapshot_entries", "0", "100 to 1000000"}},
		{"zero duration", validControl, "tick: 50ms", "tick: 0s", []string{"demo.yaml:7", "control.tick", "0s", "5ms to 5s"}},
		{"negative duration", validNode + "  configuration_lease: -1s\n", "", "", []string{"demo.yaml:8", "node.configuration_lease", "-1s"}},
		{"list in place of a duration", validControl, "tick: 50ms", "tick: [50ms]", []string{"demo.yaml:7", "control.tick", "50ms", "with a unit"}},
		{"unknown unit", validControl, "tick: 50ms", "tick: 50 millis", []string{"demo.yaml:7", "control.tick", "50 millis"}},
		{"zero log lines", validNode + "log: {ring_lines: 0}\n", "", "", []string{"demo.yaml:8", "log.ring_lines", "0", "1 to 1000000"}},
		{"number in place of a section", validNode + "log: 3\n", "", "", []string{"demo.yaml:8", "log", "3"}},
		{"missing key names its section", validNode, "  zone: dub-north\n", "", []string{"demo.yaml:3", "node.zone is missing"}},
		{"missing list names its section", validNode, "  control_members: [127.0.0.1:7101]\n", "", []string{"demo.yaml:3", "node.control_members is missing"}},
		{"tag", validNode, "[127.0.0.1:7101]", "!list ", []string{"demo.yaml:7", "!list", "without tags"}},
		{"anchor and alias", validNode, "id: node-a\n  zone: dub-north", "id: &a node-a\n  zone: *a", []string{"demo.yaml:3", "demo.yaml:4", "without tags, anchors and aliases"}},
		{"no port", validNode, "http_listen: 127.0.0.1:8101", "http_listen: 127.0.0.1", []string{"demo.yaml:5", "node.http_listen", "IP:port"}},
		{"port out of range", validNode, "http_listen: 127.0.0.1:8101", "http_listen: 127.0.0.1:65536", []string{"demo.yaml:5", "65536", "IP:port"}},
		{"port 0 of another process", validNode, "[127.0.0.1:7101]", "[127.0.0.1:0]", []string{"demo.yaml:7", "node.control_members[0]", "127.0.0.1:0"}},
		{"any address of another process", validControl, "address: 127.0.0.1:7101", "address: 0.0.0.0:7101", []string{"demo.yaml:10", "control.members[0].address", "0.0.0.0:7101"}},
		{"one address for two listeners", validNode, "peer_listen: 127.0.0.1:8201", "peer_listen: 127.0.0.1:8101", []string{"demo.yaml:6", "node.peer_listen", "127.0.0.1:8101", "differ"}},
		{"member listed twice", validControl + "    - id: 1\n      address: 127.0.0.1:7102\n", "", "", []string{"demo.yaml:11", "control.members[1].id", "no other member"}},
		{"address listed twice", validControl + "    - id: 2\n      address: 127.0.0.1:7101\n", "", "", []string{"demo.yaml:9", "control.members", "127.0.0.1:7101", "differ"}},
		{"no data folder", validControl, "data_folder: run/control-1", "data_folder: ''", []string{"demo.yaml:4", "control.data_folder", "a path"}},
		{"too long a name", validNode, "cluster: demo", "cluster: " + strings.Repeat("x", 64), []string{"demo.yaml:1", "cluster", "63"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			content := strings.Replace(test.content, test.old, test.replacement, 1)
			_, err := settings.Parse("demo.yaml", []byte(content))
			if err == nil {
				t.Fatal("the file was accepted")
			}
			for _, part := range test.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("message %q does not name %q", err, part)
				}
			}
		})
	}
}

// TestParseNamesEveryFault parses a file with several errors.
func TestParseReportsAllErrors(t *testing.T) {
	_, err := settings.Parse("demo.yaml", []byte("cluster: Demo\nnode:\n  id: ''\n  zone: x\n"))
	if err == nil {
		t.Fatal("the file was accepted")
	}
	for _, want := range []string{"cluster", "node.id", "node.http_listen", "node.peer_listen", "node.control_members"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in %q", want, err)
		}
	}
}

func TestDefaultsForMissingKeys(t *testing.T) {
	control, err := settings.Parse("demo.yaml", []byte(strings.Replace(validControl, "  tick: 50ms\n", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if control.Control.Tick.Value() != 50*time.Millisecond || control.Control.SnapshotEntries != 10_000 || control.Log.RingLines != 4096 {
		t.Errorf("control: %+v, log: %+v", control.Control, control.Log)
	}
	node, err := settings.Parse("demo.yaml", []byte(validNode))
	if err != nil {
		t.Fatal(err)
	}
	if node.Node.ConfigurationLease.Value() != 5*time.Second {
		t.Errorf("node: %+v", node.Node)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validControl))
	f.Add([]byte(validNode))
	f.Fuzz(func(t *testing.T, content []byte) {
		file, err := settings.Parse("fuzz.yaml", content)
		if (file == nil) == (err == nil) {
			t.Fatalf("file %v with error %v", file, err)
		}
	})
}
