package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machine is a machine of the site with its process.
type machine struct {
	name, role, zone string
	// public is the address to which other machines connect, private the one at which the
	// process listens. They are equal without a network between the machines.
	public, private string
	folder          string
	command         *exec.Cmd
	ended           chan struct{}
}

// ports are the ports of a machine's listeners, the same on all machines.
type ports struct{ peer, control, caller, ready, metrics, replica int }

// site is a small deployment: processes of the deploy file on loopback addresses.
type site struct {
	program  string
	root     string
	record   *record
	subnet   int
	machines []*machine
	network  *network // nil without one
	ports    ports
	seeds    []string
}

var zones = []string{"hall-a", "hall-b", "hall-c"}

func newSite(program string, r *record, controls, stores, fronts int, withNetwork bool) (*site, error) {
	root, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &site{program: program, root: root, record: r, subnet: 1 + rand.IntN(250)}
	var addresses []string
	add := func(role string, count int) {
		for i := range count {
			number := len(s.machines) + 1
			m := &machine{name: fmt.Sprintf("%s-%d", role, i+1), role: role, zone: zones[i%len(zones)], public: fmt.Sprintf("127.91.%d.%d", s.subnet, number)}
			m.private = m.public
			if withNetwork {
				m.private = fmt.Sprintf("127.92.%d.%d", s.subnet, number)
			}
			m.folder = filepath.Join(root, m.name)
			s.machines = append(s.machines, m)
			addresses = append(addresses, m.public, m.private)
		}
	}
	add("control", controls)
	add("store", stores)
	add("front", fronts)
	for number := 1; number <= 20; number++ {
		addresses = append(addresses, s.replicaHost(number))
	}
	if s.ports, err = pickPorts(addresses); err != nil {
		return nil, err
	}
	for _, m := range s.of("control")[:3] {
		s.seeds = append(s.seeds, fmt.Sprintf("%s:%d", m.public, s.ports.control))
	}
	if withNetwork {
		s.network = newNetwork()
		for _, m := range s.machines {
			if err := s.network.open(m.at(m.public, s.ports.peer), m.at(m.private, s.ports.peer), s.publicOf); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

func (m *machine) at(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

func (s *site) replicaHost(number int) string { return fmt.Sprintf("127.93.%d.%d", s.subnet, number) }

// replicaAddress is the address of the server with a number.
func (s *site) replicaAddress(number int) string {
	return fmt.Sprintf("%s:%d", s.replicaHost(number), s.ports.replica)
}

func (s *site) publicOf(private string) string {
	for _, m := range s.machines {
		if m.private == private {
			return m.public
		}
	}
	return private
}

func pickPorts(addresses []string) (ports, error) {
	for range 200 {
		base := 20000 + rand.IntN(10000)
		if portsAreFree(addresses, base, 6) {
			return ports{peer: base, control: base + 1, caller: base + 2, ready: base + 3, metrics: base + 4, replica: base + 5}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

func portsAreFree(addresses []string, base, count int) bool {
	for _, address := range addresses {
		for port := base; port < base+count; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
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

// settings are those that deploy/settings.json.tmpl gives a small deployment.
func (s *site) settings(m *machine, first bool) map[string]any {
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = "guayaquil"
	}
	settings := map[string]any{
		"machine": m.name, "zone": m.zone, "zones": regions, "ip": m.public, "peer_port": fmt.Sprint(s.ports.peer),
		"caller_listen": "", "readiness_listen": "", "control_listen": "", "metrics_listen": m.at(m.public, s.ports.metrics),
		"seeds": s.seeds, "first_start": first, "data_folder": "", "tolerated_losses": 1, "holder_lease_ms": 3000,
		"grace_s": 8, "keep_jobs_s": 120, "limit_sends": true, "memory_mb": 300,
	}
	if m.private != m.public {
		settings["peer_listen"], settings["peer_source"] = m.at(m.private, s.ports.peer), m.private
	}
	switch m.role {
	case "front":
		settings["caller_listen"], settings["readiness_listen"] = m.at(m.public, s.ports.caller), m.at(m.public, s.ports.ready)
	case "control":
		settings["control_listen"] = m.at(m.public, s.ports.control)
	}
	if m.role != "front" {
		settings["data_folder"] = filepath.Join(m.folder, "data")
	}
	return settings
}

// start starts the process of a machine.
func (s *site) start(m *machine, first bool) error {
	if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
		return err
	}
	content, err := json.Marshal(s.settings(m, first))
	if err != nil {
		return err
	}
	path := filepath.Join(m.folder, "settings.json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	m.command = exec.Command(s.program, "site", m.role)
	m.command.Env = append(os.Environ(), "LOOMGRADE_CONFIG="+path)
	m.command.Stdout, m.command.Stderr = output, output
	if err := m.command.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(m.command, m.ended)
	s.record.line("started %s (process %d, first start %v)", m.name, m.command.Process.Pid, first)
	return nil
}

func (s *site) startAll() error {
	for _, m := range s.machines {
		if err := s.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// stop sends SIGTERM and waits for the end of the process, or kills it after grace.
func (s *site) stop(m *machine, grace time.Duration) {
	s.record.line("SIGTERM to %s", m.name)
	_ = m.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(grace):
		_ = m.command.Process.Kill()
		<-m.ended
	}
	s.record.line("%s has ended", m.name)
}

// close ends all processes and removes the folder, unless KEEP is set.
func (s *site) close() {
	for _, m := range s.machines {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Kill()
			<-m.ended
		}
	}
	if s.network != nil {
		s.network.close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", s.root)
		return
	}
	_ = os.RemoveAll(s.root)
}

// alive reports the machines whose processes have ended.
func (s *site) ended() (names []string) {
	for _, m := range s.machines {
		select {
		case <-m.ended:
			names = append(names, m.name)
		default:
		}
	}
	return names
}

// leads reports whether the process of a machine leads its group, by its metrics.
func (s *site) leads(m *machine) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.at(m.public, s.ports.metrics) + "/metrics")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	for line := range strings.SplitSeq(string(body), "\n") {
		if strings.HasPrefix(line, "loomgrade_site_leader") && strings.HasSuffix(strings.TrimSpace(line), " 1") {
			return true
		}
	}
	return false
}

// leader waits for the leader of a role's group.
func (s *site) leader(role string, limit time.Duration) *machine {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, m := range s.of(role) {
			if s.leads(m) {
				return m
			}
		}
	}
	return nil
}

// ready waits until all fronts are ready.
func (s *site) ready(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		count := 0
		for _, m := range s.of("front") {
			response, err := client.Get("http://" + m.at(m.public, s.ports.ready) + "/loomgrade/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					count++
				}
			}
		}
		if count == len(s.of("front")) {
			return true
		}
	}
	return false
}
