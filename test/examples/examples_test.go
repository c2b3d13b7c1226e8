package examples

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

const (
	// patience bounds waiting; it decides only when a hanging test is given up.
	patience = 90 * time.Second
	// staleness is the bound that all sites configure.
	staleness = 2
	steps     = 3
)

// site is a site of examples/ in a copy of its own.
type site struct {
	name     string
	folder   string // the copy of the repository's scripts and examples
	host     string // in place of 127.0.0.1
	trainers map[string]string
}

func TestSites(t *testing.T) {
	cases := []struct {
		name     string
		killed   string
		engines  int
		trainers map[string]string // pool by process
		calls    string            // path of an application call
	}{
		{"dev", "node-zone-b", 4, map[string]string{"trainer-captions": "captions"}, "/app/pages/pages/1"},
		{"inkwell", "engine-3", 8, map[string]string{"trainer-caption-lm": "caption-lm"}, "/app/page-api/pages/1"},
		{"marea", "trainer-summaries", 9, map[string]string{
			"trainer-bulletins": "bulletins", "trainer-anomaly-notes": "anomaly-notes", "trainer-summaries": "summaries",
		}, "/app/buoy-api/readings/latest"},
	}
	for number, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &site{name: c.name, folder: t.TempDir(), host: loopbackHost(number), trainers: c.trainers}
			s.copySite(t)
			t.Cleanup(func() { s.fleet(t, "down") })
			s.fleet(t, "up")
			s.untilSteps(t)
			s.call(t, c.calls)
			s.untilServed(t, c.engines)
			s.fleet(t, "kill", c.killed)
			s.fleet(t, "start", c.killed)
			s.untilSteps(t)
			s.check(t)
			s.fleet(t, "down")
			if status := s.fleet(t, "status"); strings.Contains(status, "running, pid") {
				t.Errorf("after down:\n%s", status)
			}
		})
	}
}

// loopbackHost gives an address of the loopback network that nobody else uses.
func loopbackHost(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>16&63, pid>>8&255, 1+(pid+64*number)&127)
}

// copySite copies the script and the site, with other addresses, and builds the
// programs beside them.
func (s *site) copySite(t *testing.T) {
	t.Helper()
	root := testkit.Root(t)
	s.copyFile(t, root, filepath.Join("scripts", "fleet"))
	files, err := filepath.Glob(filepath.Join(root, "examples", s.name, "*"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, file := range files {
		s.copyFile(t, root, filepath.Join("examples", s.name, filepath.Base(file)))
	}
	build := exec.Command("go", "build", "-o", filepath.Join(s.folder, "bin")+"/", "./cmd/loomgrade", "./cmd/loomlab")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
}

func (s *site) copyFile(t *testing.T, root, name string) {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, name))
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(
		"127.0.0.1", s.host, "go build -o bin/ ./cmd/loomgrade ./cmd/loomlab", ": the programs are built",
	).Replace(string(content))
	path := filepath.Join(s.folder, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(changed), 0o700); err != nil {
		t.Fatal(err)
	}
}

// fleet runs the script, which must succeed.
func (s *site) fleet(t *testing.T, verb string, names ...string) string {
	t.Helper()
	arguments := append([]string{filepath.Join(s.folder, "scripts", "fleet"), verb, "examples/" + s.name}, names...)
	command := exec.Command("bash", arguments...)
	command.Env = append(os.Environ(), "FLEET_JOURNALS=all")
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("fleet %s: %v\n%s", verb, err, output)
	}
	return string(output)
}

// untilSteps waits until every trainer has done a few further steps.
func (s *site) untilSteps(t *testing.T) {
	t.Helper()
	wanted := map[string]int{}
	for name := range s.trainers {
		wanted[name] = s.stepsOf(t, name) + steps
	}
	deadline := time.Now().Add(patience)
	for name := range s.trainers {
		for s.stepsOf(t, name) < wanted[name] {
			if time.Now().After(deadline) {
				t.Fatalf("gave up waiting until %s has done %d steps; it has done %d", name, wanted[name], s.stepsOf(t, name))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// untilServed waits until every engine is known to serve weights of every pool.
func (s *site) untilServed(t *testing.T, engines int) {
	t.Helper()
	operator, err := os.ReadFile(filepath.Join(s.folder, "examples", s.name, "operator"))
	if err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(patience)
	for {
		command := exec.Command(filepath.Join(s.folder, "bin", "loomgrade"), "weights", "status", "--output", "json",
			"--server", strings.TrimSpace(string(operator)), "--token-file", filepath.Join("examples", s.name, "operator.token"))
		command.Dir = s.folder
		output, err := command.Output()
		var weights operatorapi.Weights
		if err == nil && json.Unmarshal(output, &weights) == nil && s.allServed(weights, engines) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("gave up waiting until %d engines serve each pool: %v\n%s", engines, err, output)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *site) allServed(weights operatorapi.Weights, engines int) bool {
	for _, pool := range weights.Pools {
		serving := 0
		for _, count := range pool.Serving {
			if count.Version > 0 {
				serving += count.Replicas
			}
		}
		if serving != engines {
			return false
		}
	}
	return len(weights.Pools) == len(s.trainers)
}

// stepsOf gives the number of batches that a trainer's journal holds.
func (s *site) stepsOf(t *testing.T, name string) int {
	t.Helper()
	done := 0
	for _, delivery := range s.journal(t, filepath.Join(s.folder, "run", s.name, name+".journal")).Deliveries {
		if delivery.Trained {
			done++
		}
	}
	return done
}

// call makes an application call through the first node.
func (s *site) call(t *testing.T, path string) {
	t.Helper()
	response, err := http.Get("http://" + s.nodeAddress(t) + path + "?" + standin.QueryCall + "=mine")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var answer standin.ApplicationAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || !answer.CompleteFor("mine") {
		t.Fatalf("status %d, %v, %+v", response.StatusCode, err, answer)
	}
}

// nodeAddress gives the address of the first node that trainers ask.
func (s *site) nodeAddress(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(s.folder, "examples", s.name, "processes"))
	if err != nil {
		t.Fatal(err)
	}
	_, nodes, _ := strings.Cut(string(content), "--nodes http://")
	address, _, _ := strings.Cut(nodes, ",")
	return address
}

// journal reads a journal; one that is not there yet is empty.
func (s *site) journal(t *testing.T, path string) audit.Observations {
	t.Helper()
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return audit.Observations{}
	}
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	seen, err := audit.ReadJournal(file)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return seen
}

// check audits the journals, those of trainers first, so that what they got is
// in the others.
func (s *site) check(t *testing.T) {
	t.Helper()
	var all audit.Observations
	bounds := audit.Limits{Staleness: map[string]uint64{}}
	for name, pool := range s.trainers {
		bounds.Staleness[pool] = staleness
		all.Merge(s.journal(t, filepath.Join(s.folder, "run", s.name, name+".journal")))
	}
	journals, err := filepath.Glob(filepath.Join(s.folder, "run", s.name, "*.journal"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range journals {
		if _, trainer := s.trainers[strings.TrimSuffix(filepath.Base(path), ".journal")]; !trainer {
			all.Merge(s.journal(t, path))
		}
	}
	for _, violation := range audit.Check(all, bounds) {
		t.Error(violation)
	}
}
