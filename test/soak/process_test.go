package soak

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal/diskfault"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// program is the built binary.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "loomgrade-soak-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "loomgrade")
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// build makes the program once.
func build(t *testing.T) {
	t.Helper()
	if _, err := os.Stat(program); err == nil {
		return
	}
	command := exec.Command("go", "build", "-tags", "faultinjection", "-o", program, "./cmd/loomgrade")
	command.Dir = testkit.Root(t)
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
}

// launcher starts processes from one thread that lives as long as the test: the
// kernel ends a child with the thread that started it.
var launcher = func() chan<- func() {
	launches := make(chan func())
	go func() {
		runtime.LockOSThread()
		for launch := range launches {
			launch()
		}
	}()
	return launches
}()

// machine is a machine with its process.
type machine struct {
	name, role string
	// public is the IP by which others know it, private that at which its
	// process listens and from which it calls.
	public, private string
	folder          string
	command         *exec.Cmd
	ended           chan struct{}
	frozen          bool
	// slept is for how long the machine was suspended so far.
	slept time.Duration
	// excused is how much of the log was looked at or tells of a time at which
	// the disk misbehaved, so that the process might end by itself; found holds
	// the failures of the former.
	excused int
	found   []string
}

func (m *machine) logPath() string { return filepath.Join(m.folder, "log") }

func (m *machine) sleptPath() string { return filepath.Join(m.folder, "suspended") }

// suspend lets the clock that counts suspended time go ahead, for the process that runs and
// those that follow.
func (m *machine) suspend(slept time.Duration) error {
	m.slept += slept
	file, err := os.OpenFile(m.sleptPath(), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	var written [8]byte
	binary.NativeEndian.PutUint64(written[:], uint64(m.slept))
	_, err = file.WriteAt(written[:], 0)
	return errors.Join(err, file.Close())
}

func (m *machine) dataPath() string { return filepath.Join(m.folder, "data") }

// setDisk makes the machine's disk misbehave; an empty mode is a sound disk.
func (m *machine) setDisk(mode diskfault.Mode) error {
	next := filepath.Join(m.folder, "disk-fault.next")
	if err := os.WriteFile(next, []byte(mode), 0o600); err != nil {
		return err
	}
	return os.Rename(next, diskfault.ControlFile(m.dataPath()))
}

func (m *machine) running() bool {
	if m.command == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// site is a running site.
type site struct {
	t        *testing.T
	network  *network
	machines []*machine
	ports    ports
	seeds    []string
}

// ports are equal on all machines.
type ports struct{ peer, control, caller, ready int }

// drawPorts finds ports that are free on every address given.
func drawPorts(t *testing.T, addresses []string) ports {
	t.Helper()
	const least, span, tries = 20000, 10000, 200
	for range tries {
		base := least + rand.IntN(span)
		if free(addresses, base) && free(addresses, base+1) && free(addresses, base+2) && free(addresses, base+3) {
			return ports{peer: base, control: base + 1, caller: base + 2, ready: base + 3}
		}
	}
	t.Fatal("no free ports")
	return ports{}
}

func free(addresses []string, port int) bool {
	for _, address := range addresses {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// newSite lays out machines: controls, stores and fronts.
func newSite(t *testing.T, controls, stores, fronts int) *site {
	s := &site{t: t, network: newNetwork()}
	root := t.TempDir()
	subnet := 1 + rand.IntN(250)
	var addresses []string
	add := func(role string, count int) {
		for i := range count {
			number := len(s.machines) + 1
			m := &machine{
				name: fmt.Sprintf("%s-%d", role, i), role: role,
				public: fmt.Sprintf("127.71.%d.%d", subnet, number), private: fmt.Sprintf("127.72.%d.%d", subnet, number),
			}
			m.folder = filepath.Join(root, m.name)
			if err := os.MkdirAll(m.folder, 0o700); err != nil {
				t.Fatal(err)
			}
			s.machines = append(s.machines, m)
			addresses = append(addresses, m.public, m.private)
		}
	}
	add("control", controls)
	add("store", stores)
	add("front", fronts)
	s.ports = drawPorts(t, addresses)
	for _, m := range s.of("control")[:3] {
		s.seeds = append(s.seeds, fmt.Sprintf("%s:%d", m.public, s.ports.control))
	}
	for _, m := range s.machines {
		if err := s.network.open(fmt.Sprintf("%s:%d", m.public, s.ports.peer), fmt.Sprintf("%s:%d", m.private, s.ports.peer)); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(s.close)
	return s
}

func (s *site) of(role string) []*machine {
	var found []*machine
	for _, m := range s.machines {
		if m.role == role {
			found = append(found, m)
		}
	}
	return found
}

// start starts a machine's process.
func (s *site) start(m *machine, first bool) {
	s.t.Helper()
	settings := map[string]any{
		"machine": m.name, "zone": "z", "ip": m.public, "peer_port": fmt.Sprint(s.ports.peer),
		"peer_listen": fmt.Sprintf("%s:%d", m.private, s.ports.peer), "peer_source": m.private,
		"caller_listen": "", "readiness_listen": "", "control_listen": "", "seeds": s.seeds, "first_start": first, "data_folder": "",
		"tolerated_losses": 1, "holder_lease_ms": holderLease.Milliseconds(), "grace_s": 8, "keep_jobs_s": 120, "memory_mb": 300,
	}
	switch m.role {
	case "front":
		settings["caller_listen"] = s.address(m, s.ports.caller)
		settings["readiness_listen"] = s.address(m, s.ports.ready)
	case "control":
		settings["control_listen"] = s.address(m, s.ports.control)
	}
	if m.role != "front" {
		settings["data_folder"] = m.dataPath()
	}
	content, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(m.folder, "settings.json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		s.t.Fatal(err)
	}
	output, err := os.OpenFile(m.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(program, "site", m.role, path)
	command.Stdout, command.Stderr = output, output
	if err := m.suspend(0); err != nil {
		s.t.Fatal(err)
	}
	command.Env = append(os.Environ(), "LOOMGRADE_TEST_SUSPENDED="+m.sleptPath())
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	launcher <- func() { started <- command.Start() }
	if err := <-started; err != nil {
		s.t.Fatalf("start %s: %v", m.name, err)
	}
	ended := make(chan struct{})
	m.command, m.ended, m.frozen = command, ended, false
	go func() { _ = command.Wait(); close(ended) }()
}

// address is where a machine serves from outside; it does not lead through the
// proxy.
func (s *site) address(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.public, port) }

// signal signals the machine's own process.
func (m *machine) signal(signal syscall.Signal) {
	if m.running() {
		_ = m.command.Process.Signal(signal)
	}
}

// kill ends the machine's own process at once.
func (m *machine) kill() {
	if !m.running() {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.ended
}

// stop ends it as planned, or kills it after the grace.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(8 * time.Second):
		m.kill()
	}
}

func (s *site) close() {
	for _, m := range s.machines {
		m.kill()
	}
	s.network.close()
	if !s.t.Failed() {
		return
	}
	for _, m := range s.machines {
		content, err := os.ReadFile(m.logPath())
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		kept := filepath.Join(os.TempDir(), "loomgrade-soak-"+m.name+".log")
		if os.WriteFile(kept, content, 0o600) == nil {
			s.t.Logf("log of %s: %s", m.name, kept)
		}
	}
}

// ready asks a front whether callers should come to it.
func (s *site) ready(m *machine) bool {
	response, err := http.Get("http://" + s.address(m, s.ports.ready) + readyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// excuse leaves out what the log tells of failures while a fault goes on.
func (m *machine) excuse(fault func()) {
	m.found = m.failures()
	fault()
	content, _ := os.ReadFile(m.logPath())
	m.excused = len(content)
}

// failures gives the lines of a log that tell of a failed process.
func (m *machine) failures() []string {
	content, _ := os.ReadFile(m.logPath())
	content = content[min(m.excused, len(content)):]
	found := slices.Clone(m.found)
	for line := range strings.Lines(string(content)) {
		if strings.Contains(line, `"process.failed"`) || strings.HasPrefix(line, "panic:") || strings.Contains(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}
