package main

import (
	"bytes"
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
	"syscall"
	"time"
)

const (
	program   = "target/loomgrade"
	hostname  = "review.example"
	zone      = "hall-a"
	waitLimit = 25 * time.Second

	// Bounds of the users' pages that the settings or the checks use.
	contactTime   = 3000 * time.Millisecond
	drainTime     = 2000 * time.Millisecond
	graceTime     = 8 * time.Second
	heartbeatTime = 1200 * time.Millisecond
)

// memory is the memory of a machine in MB, by role.
var memory = map[string]int{"front": 284, "control": 280, "store": 314}

// machine is one machine of the site with its process. Each has a loopback address of its own.
type machine struct {
	name, role, ip, folder string
	command                *exec.Cmd
	ended                  chan struct{}
}

func (m *machine) signal(signal syscall.Signal) { _ = m.command.Process.Signal(signal) }

func (m *machine) running() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// site is a small deployment: three control machines, three store machines and some fronts.
type site struct {
	record   *record
	folder   string
	subnet   int
	machines []*machine
	// ports are alike on all machines.
	peer, control, front, ready, metrics int
	version                              int
}

func newSite(r *record, fronts int) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, folder: folder, subnet: 1 + rand.IntN(250)}
	counts := map[string]int{"control": 3, "store": 3, "front": fronts}
	for _, role := range []string{"control", "store", "front"} {
		for i := range counts[role] {
			s.machines = append(s.machines, &machine{
				name: fmt.Sprintf("%s-%d", role, i), role: role, ip: fmt.Sprintf("127.80.%d.%d", s.subnet, len(s.machines)+1),
				folder: filepath.Join(folder, fmt.Sprintf("%s-%d", role, i)),
			})
		}
	}
	return s, s.pickPorts()
}

// pickPorts picks five ports in a row that are free on all machines.
func (s *site) pickPorts() error {
	for range 200 {
		base := 20000 + rand.IntN(10000)
		free := true
		for _, m := range s.machines {
			for port := base; free && port < base+5; port++ {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			s.peer, s.control, s.front, s.ready, s.metrics = base, base+1, base+2, base+3, base+4
			return nil
		}
	}
	return errors.New("no free ports")
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

// start writes the settings of a machine, in the form of deploy/settings.json.tmpl, and starts
// its process with the command of deploy/system.toml.
func (s *site) start(m *machine, first bool) error {
	listen := func(role string, port int) string {
		if m.role != role {
			return ""
		}
		return fmt.Sprintf("%s:%d", m.ip, port)
	}
	var seeds []string
	for _, control := range s.of("control") {
		seeds = append(seeds, fmt.Sprintf("%s:%d", control.ip, s.control))
	}
	settings := map[string]any{
		"machine": m.name, "zone": zone, "zones": map[string]string{zone: "guayaquil"}, "ip": m.ip, "peer_port": fmt.Sprint(s.peer),
		"caller_listen": listen("front", s.front), "readiness_listen": listen("front", s.ready), "control_listen": listen("control", s.control),
		"metrics_listen": fmt.Sprintf("%s:%d", m.ip, s.metrics), "seeds": seeds, "first_start": first, "data_folder": "",
		"tolerated_losses": 1, "holder_lease_ms": 3000, "grace_s": graceTime.Seconds(), "keep_jobs_s": 120, "limit_sends": true, "memory_mb": memory[m.role],
	}
	if m.role != "front" {
		settings["data_folder"] = filepath.Join(m.folder, "data")
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(m.folder, "settings.json")
	if err := errors.Join(os.MkdirAll(m.folder, 0o700), os.WriteFile(path, content, 0o600)); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(program, "site", m.role)
	command.Env = append(os.Environ(), "LOOMGRADE_CONFIG="+path)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.command, m.ended = command, make(chan struct{})
	go func(ended chan struct{}) { _ = command.Wait(); close(ended) }(m.ended)
	s.record.add("start %s %s, process %d", m.role, m.name, command.Process.Pid)
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

// close ends all processes and removes the folder.
func (s *site) close() {
	for _, m := range s.machines {
		if m.command != nil && m.running() {
			m.signal(syscall.SIGKILL)
			<-m.ended
		}
	}
	_ = os.RemoveAll(s.folder)
}

// controlCall sends a call to the control machines in turn until one answers with a 2xx.
func (s *site) controlCall(method, path string, body any) (at time.Time, err error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return time.Time{}, err
	}
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(waitLimit)
	for i := 0; time.Now().Before(deadline); i++ {
		controls := s.of("control")
		request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", controls[i%len(controls)].ip, s.control, path), bytes.NewReader(encoded))
		if err != nil {
			return time.Time{}, err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode/100 == 2 {
				return time.Now(), nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("no control machine accepts %s %s", method, path)
}

// configure sends the next configuration.
func (s *site) configure(routes, services []map[string]any) error {
	s.version++
	_, err := s.controlCall(http.MethodPut, "/loomgrade/config", map[string]any{
		"version": s.version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return err
}

// awaitReady waits until all fronts call themselves ready.
func (s *site) awaitReady() error {
	deadline := time.Now().Add(waitLimit)
	client := &http.Client{Timeout: time.Second}
	for _, m := range s.of("front") {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/loomgrade/readyz", m.ip, s.ready))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// frontURL returns the address of a front for clients.
func (s *site) frontURL(m *machine, path string) string {
	return fmt.Sprintf("http://%s:%d%s", m.ip, s.front, path)
}
