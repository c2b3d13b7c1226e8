package system

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Shape of the site.
const (
	clusterName  = "system-test"
	samplingPool = "captions"
	pagesPool    = "pages"
	engines      = 4
	applications = 2
	groupSize    = 4
	batchSamples = 16
	staleness    = 2
	weightBytes  = 1 << 18
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Names of the processes with a single instance.
const (
	weightStore = "weights"
	scorer      = "scorer"
	machineList = "machines"
	trainer     = "trainer"
)

func member(number int) string      { return fmt.Sprintf("control-%d", number) }
func engine(number int) string      { return fmt.Sprintf("engine-%d", number) }
func application(number int) string { return fmt.Sprintf("application-%d", number) }

// site is a running site with its stand-ins.
type site struct {
	folder    string
	host      string
	processes map[string]*process
	addresses map[string]string // IP:port by process, or by process + "/" + purpose
	callers   *callers
	// queueLength and revision are the values of the last accepted change.
	queueLength int
	revision    port.Revision
	stops       []audit.GracefulStop
	faults      []audit.Fault
}

// loopbackHost returns a loopback address that only this test process uses, so that no other
// process uses the port of a killed one.
func loopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, 1+pid&127)
}

// startSite starts every process, sets the configuration and waits until each node is
// ready.
func startSite(t *testing.T) *site {
	t.Helper()
	s := &site{
		folder: t.TempDir(), host: loopbackHost(),
		processes: map[string]*process{}, addresses: map[string]string{}, queueLength: 512,
	}
	s.reservePorts(t)
	s.writeSettings(t)
	s.addStandIns()
	t.Cleanup(func() {
		for _, process := range s.processes {
			process.killIfRunning()
		}
	})
	for name, process := range s.processes {
		if name != trainer {
			process.start(t)
		}
	}
	s.configure(t)
	// The trainer starts after configure publishes version 1, since it publishes the next
	// version as soon as it has a batch.
	s.processes[trainer].start(t)
	for _, zone := range zones {
		s.waitUntilReady(t, node(zone))
	}
	s.callers = startCallers(s.nodeURLs())
	t.Cleanup(s.callers.stop)
	return s
}

// reservePorts picks a free port for every listener.
func (s *site) reservePorts(t *testing.T) {
	t.Helper()
	names := []string{weightStore, scorer, machineList, trainer}
	for number := range zones {
		names = append(names, member(number+1), member(number+1)+"/operators")
	}
	for _, zone := range zones {
		names = append(names, node(zone), node(zone)+"/peers")
	}
	for number := range engines {
		names = append(names, engine(number+1))
	}
	for number := range applications {
		names = append(names, application(number+1))
	}
	for _, name := range names {
		listener, err := net.Listen("tcp", s.host+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		s.addresses[name] = listener.Addr().String()
	}
}

func (s *site) path(name string) string { return filepath.Join(s.folder, name) }

func (s *site) url(name string) string { return "http://" + s.addresses[name] }

func (s *site) nodeURLs() []string {
	var urls []string
	for _, zone := range zones {
		urls = append(urls, s.url(node(zone)))
	}
	return urls
}

func (s *site) add(name, program string, arguments ...string) {
	s.processes[name] = &process{
		name: name, program: program, arguments: arguments, logFile: s.path(name + ".log"),
	}
}

// addStandIns adds the stand-ins around loomgrade. Each writes a journal.
func (s *site) addStandIns() {
	add := func(name, kind string, arguments ...string) {
		common := []string{"stand-in", kind, "--listen", s.addresses[name], "--observations", s.path(name + ".journal")}
		s.add(name, "loomlab", append(common, arguments...)...)
	}
	var live []string
	for number := range engines {
		name := engine(number + 1)
		live = append(live, s.addresses[name])
		add(name, "engine", "--time-scale", "6", "--batch", "8", "--median-tokens", "50", "--sigma", "0.7",
			"--max-tokens", "300", "--cache-gap-every", "500")
	}
	for number := range applications {
		name := application(number + 1)
		live = append(live, s.addresses[name])
		add(name, "app", "--service-time", "100ms")
	}
	add(weightStore, "weights", "--rate", "16777216", "--bytes", fmt.Sprint(weightBytes))
	add(scorer, "scorer")
	add(machineList, "machines", "--lag", "500ms", "--live", strings.Join(live, ","))
	add(trainer, "trainer", "--pool", samplingPool, "--step-time", "200ms", "--nodes", strings.Join(s.nodeURLs(), ","))
}

// runOperatorCommand runs an operator's command, which must succeed, and decodes its JSON
// output into answer unless that is nil.
func (s *site) runOperatorCommand(t *testing.T, answer any, arguments ...string) {
	t.Helper()
	code, stdout, stderr := invoke(t, append(arguments, s.operatorFlags()...)...)
	if code != 0 {
		t.Fatalf("loomgrade %v: exit code %d: %s", arguments, code, stderr)
	}
	if answer == nil {
		return
	}
	if err := json.Unmarshal([]byte(stdout), answer); err != nil {
		t.Fatalf("loomgrade %v: %v: %s", arguments, err, stdout)
	}
}

func (s *site) operatorFlags() []string {
	var servers []string
	for number := range zones {
		servers = append(servers, s.addresses[member(number+1)+"/operators"])
	}
	return []string{"--output", "json", "--token-file", s.path("operator.token"), "--server", strings.Join(servers, ",")}
}

// get reads JSON from a process, and reports whether it succeeded.
func (s *site) get(name, path string, answer any) bool {
	client := http.Client{Timeout: 5 * time.Second}
	request, err := http.NewRequest(http.MethodGet, s.url(name)+path, nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(answer) == nil
}

func (s *site) waitUntilReady(t *testing.T, name string) {
	t.Helper()
	waitUntil(t, name+" is ready", func() bool {
		var health map[string]any
		return s.get(name, api.PathReady, &health)
	})
}

// steps returns the number of batches that the trainer has trained on.
func (s *site) steps(t *testing.T) int {
	t.Helper()
	var stats standin.TrainerStats
	waitUntil(t, "the trainer answers", func() bool { return s.get(trainer, standin.PathTrainerStats, &stats) })
	return stats.Steps
}

// waitForProgress waits until the trainer has trained on the given number of further batches
// and a further call has an answer.
func (s *site) waitForProgress(t *testing.T, steps int) {
	t.Helper()
	targetSteps, answered := s.steps(t)+steps, s.callers.answeredCount()+1
	waitUntil(t, fmt.Sprintf("the trainer has done %d steps", targetSteps), func() bool { return s.steps(t) >= targetSteps })
	waitUntil(t, "a caller is answered", func() bool { return s.callers.answeredCount() >= answered })
}

// changeConfiguration changes the configuration and checks that the revision increases.
func (s *site) changeConfiguration(t *testing.T) {
	t.Helper()
	s.queueLength++
	var accepted operatorapi.Accepted
	s.runOperatorCommand(t, &accepted, "config", "set", s.writeConfiguration(t, s.configuration()))
	if accepted.Revision <= s.revision {
		t.Fatalf("revision %d accepted after %d", accepted.Revision, s.revision)
	}
	s.revision = accepted.Revision
}

// waitUntilApplied waits until every node has applied the last accepted change.
func (s *site) waitUntilApplied(t *testing.T) {
	t.Helper()
	waitUntil(t, "every node has the configuration", func() bool {
		var status operatorapi.ConfigStatus
		s.runOperatorCommand(t, &status, "config", "status")
		if status.Revision < s.revision {
			t.Fatalf("revision went from %d to %d", s.revision, status.Revision)
		}
		return status.InForce == len(zones)
	})
}
