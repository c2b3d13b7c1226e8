package settings_test

import (
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
)

const goodControl = `cluster: demo
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

const goodNode = `cluster: demo
node:
  id: node-a
  zone: dub-north
  http_listen: 127.0.0.1:8101
  peer_listen: 127.0.0.1:8201
  control_members: [127.0.0.1:7101]
`

func TestParseAcceptsGoodFiles(t *testing.T) {
	for name, content := range map[string]string{"control": goodControl, "node": goodNode} {
		t.Run(name, func(t *testing.T) {
			if _, err := settings.Parse("demo.yaml", []byte(content)); err != nil {
				t.Fatalf("a good file was refused: %v", err)
			}
		})
	}
}

func TestParseRefusesFaults(t *testing.T) {
	cases := []struct {
		name, content, old, replacement string
		want                            []string
	}{
		{"unknown key", goodControl, "tick: 50ms", "tik: 50ms", []string{"7:3", "tik"}},
		{"duplicate key", goodControl, "tick: 50ms", "id: 2", []string{"7:3", "id"}},
		{"no unit", goodControl, "tick: 50ms", "tick: 50", []string{"demo.yaml:7", "control.tick", "50", "with a unit"}},
		{"out of range", goodControl, "tick: 50ms", "tick: 1ms", []string{"demo.yaml:7", "control.tick", "1ms", "5ms to 5s"}},
		{"wrong type", goodControl, "id: 1\n  data", "id: first\n  data", []string{"demo.yaml:3", "id", "first", "a whole number"}},
		{"host name", goodControl, "peer_listen: 127.0.0.1:7101", "peer_listen: localhost:7101", []string{"demo.yaml:5", "control.peer_listen", "localhost:7101", "IP:port"}},
		{"foreign id", goodControl, "id: 1\n  data", "id: 9\n  data", []string{"demo.yaml:3", "control.id", "9", "control.members"}},
		{"bad member address", goodControl, "address: 127.0.0.1:7101", "address: nowhere", []string{"demo.yaml:10", "control.members[0].address", "nowhere"}},
		{"bad zone", goodNode, "zone: dub-north", "zone: Dub North", []string{"demo.yaml:4", "node.zone", "Dub North"}},
		{"no members", goodNode, "[127.0.0.1:7101]", "[]", []string{"node.control_members", "at least one"}},
		{"both roles", goodNode + strings.TrimPrefix(goodControl, "cluster: demo\n"), "", "", []string{"exactly one"}},
		{"empty", "", "", "", []string{"cluster"}},
		{"not yaml", ":\n:::", "", "", []string{"demo.yaml"}},
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

func FuzzParse(f *testing.F) {
	f.Add([]byte(goodControl))
	f.Add([]byte(goodNode))
	f.Fuzz(func(t *testing.T, content []byte) {
		file, err := settings.Parse("fuzz.yaml", content)
		if (file == nil) == (err == nil) {
			t.Fatalf("file %v with error %v", file, err)
		}
	})
}
