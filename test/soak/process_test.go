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
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal/diskfault"
	"github.com/loomgrade/loomgrade/internal/testkit"
	"github.com/loomgrade/loomgrade/test/childprocess"
)

// program is the path of the built binary.
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

// build builds the program unless it exists.
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

// machine is a simulated machine with its process.
type machine struct {
	name, role string
	// public is the IP address to which other machines connect, private the one at which
	// the machine's process listens and from which it connects.
	public, private string
	folder          string
	// fault is held by whoever stops, kills, freezes or starts the process.
	fault   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	frozen  bool
	// suspended is the total suspended time of the machine.
	suspended time.Duration
	// checkedBytes is the length of the checked part of the log. failureLines has its failures,
	// except those during a disk fault.
	checkedBytes int
	failureLines []string
}

func (m *machine) logPath() string { return filepath.Join(m.folder, "log") }

func (m *machine) suspendedPath() string { return filepath.Join(m.folder, "suspended") }

// suspend advances the clock that includes suspended time, for the running process and later
// ones.
func (m *machine) suspend(duration time.Duration) error {
	m.suspended += duration
	file, err := os.OpenFile(m.suspendedPath(), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	var encoded [8]byte
	binary.NativeEndian.PutUint64(encoded[:], uint64(m.suspended))
	_, err = file.WriteAt(encoded[:], 0)
	return errors.Join(err, file.Close())
}

func (m *machine) dataPath() string { return filepath.Join(m.folder, "data") }

// setDisk sets the fault mode of the machine's disk; an empty mode means no fault.
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

// ports are the ports of a machine's listeners, the same on all machines.
type ports struct{ peer, control, caller, ready int }

// pickPorts picks ports that are free on all addresses.
func pickPorts(t *testing.T, addresses []string) ports {
	t.Helper()
	const minPort, span, tries = 20000, 10000, 200
	for range tries {
		base := minPort + rand.IntN(span)
		if portIsFree(addresses, base) && portIsFree(addresses, base+1) && portIsFree(addresses, base+2) && portIsFree(addresses, base+3) {
			return ports{peer: base, control: base + 1, caller: base + 2, ready: base + 3}
		}
	}
	t.Fatal("no free ports")
	return ports{}
}

func portIsFree(addresses []string, port int) bool {
	for _, address := range addresses {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// newSite prepares a site of machines and its network without starting processes.
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
	s.ports = pickPorts(t, addresses)
	for _, m := range s.machinesOf("control")[:3] {
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

func (s *site) machinesOf(role string) []*machine {
	var found []*machine
	for _, m := range s.machines {
		if m.role == role {
			found = append(found, m)
		}
	}
	return found
}

// start writes a machine's settings and starts its process.
func (s *site) start(m *machine, first bool) {
	s.t.Helper()
	settings := map[string]any{
		"machine": m.name, "zone": "z", "ip": m.public, "peer_port": fmt.Sprint(s.ports.peer),
		"peer_listen": fmt.Sprintf("%s:%d", m.private, s.ports.peer), "peer_source": m.private,
		"caller_listen": "", "readiness_listen": "", "control_listen": "", "seeds": s.seeds, "first_start": first, "data_folder": "",
		"tolerated_losses": 1, "holder_lease_ms": holderLease.Milliseconds(), "grace_s": 8, "keep_jobs_s": 120, "memory_mb": 300, "limit_sends": true,
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
	command.Env = append(os.Environ(), "LOOMGRADE_TEST_SUSPENDED="+m.suspendedPath())
	if err := childprocess.Start(command); err != nil {
		s.t.Fatalf("start %s: %v", m.name, err)
	}
	ended := make(chan struct{})
	m.command, m.ended, m.frozen = command, ended, false
	go func() { _ = command.Wait(); close(ended) }()
}

// address returns the public address of a port without a proxy.
func (s *site) address(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.public, port) }

// signal sends a signal to the machine's process.
func (m *machine) signal(signal syscall.Signal) {
	if m.running() {
		_ = m.command.Process.Signal(signal)
	}
}

// kill ends the machine's process immediately.
func (m *machine) kill() {
	if !m.running() {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.ended
}

// stop stops the process gracefully, and kills it after a timeout.
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
		copied := filepath.Join(os.TempDir(), "loomgrade-soak-"+m.name+".log")
		if os.WriteFile(copied, content, 0o600) == nil {
			s.t.Logf("log of %s: %s", m.name, copied)
		}
	}
}

// ready reports whether a front is ready for callers.
func (s *site) ready(m *machine) bool {
	response, err := http.Get("http://" + s.address(m, s.ports.ready) + readyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ignoreFailures ignores failures in the log during a fault.
func (m *machine) ignoreFailures(fault func()) {
	m.failureLines = m.failures()
	fault()
	content, _ := os.ReadFile(m.logPath())
	m.checkedBytes = len(content)
}

// failures returns the lines of the log that report a failed process.
func (m *machine) failures() []string {
	content, _ := os.ReadFile(m.logPath())
	content = content[min(m.checkedBytes, len(content)):]
	found := slices.Clone(m.failureLines)
	for line := range strings.Lines(string(content)) {
		if strings.Contains(line, `"process.failed"`) || strings.HasPrefix(line, "panic:") || strings.Contains(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}
