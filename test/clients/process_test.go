package clients

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/testkit"
	"github.com/loomgrade/loomgrade/test/childprocess"
)

var (
	runCrowds   = flag.Bool("crowds", false, "run the crowds of clients, without other load on the machine")
	waitTimeout = flag.Duration("wait", time.Minute, "how long to wait for an answer before a test fails")
)

const (
	// machineMegabytes is the memory of each machine of a site, machineDescriptors are the descriptors of
	// each process.
	machineMegabytes   = 128
	machineDescriptors = 1024
	// reservedDescriptors must stay free for files.
	reservedDescriptors = 64
	// runawayMegabytes is the resident memory beyond which a test kills the process.
	runawayMegabytes = 1200

	pollInterval   = 20 * time.Millisecond
	sampleInterval = 10 * time.Millisecond
)

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "loomgrade-clients-")
	if err != nil {
		panic(err)
	}
	programs = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// build skips the test unless the crowds are requested, and builds the programs once.
func build(t *testing.T) {
	t.Helper()
	if !*runCrowds {
		t.Skip("crowds disturb other tests, and these disturb them; run with -crowds")
	}
	if entries, err := os.ReadDir(programs); err == nil && len(entries) > 0 {
		return
	}
	command := exec.Command("go", "build", "-o", programs+"/", "./cmd/loomgrade", "./cmd/loomlab")
	command.Dir = testkit.Root(t)
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
}

// runProgram runs a command of loomgrade.
func runProgram(arguments ...string) error {
	output, err := exec.Command(filepath.Join(programs, "loomgrade"), arguments...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("loomgrade %v: %w: %s", arguments, err, output)
	}
	return nil
}

// process is a process of a site or a fleet.
type process struct {
	name string
	// program is its file in programs.
	program   string
	arguments []string
	logPath   string
	command   *exec.Cmd
	ended     chan struct{}
	failure   error // result of command; valid once ended is closed
}

// start starts the process with the descriptors of its machine.
func (p *process) start(t *testing.T) {
	t.Helper()
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = output.Close() }()
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, machineDescriptors)
	command := exec.Command("bash", append([]string{"-c", script, filepath.Join(programs, p.program)}, p.arguments...)...)
	command.Stdout, command.Stderr = output, output
	if err := childprocess.Start(command); err != nil {
		t.Fatalf("start %s: %v", p.name, err)
	}
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		p.failure = command.Wait()
		close(ended)
	}()
}

func (p *process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill ends the process if it runs.
func (p *process) kill() {
	if p.running() {
		_ = p.command.Process.Kill()
		<-p.ended
	}
}

// log returns the end of the process's output.
func (p *process) log() string {
	const maxBytes = 2 << 10
	content, _ := os.ReadFile(p.logPath) // a missing log counts as empty
	return string(content[max(0, len(content)-maxBytes):])
}

// resetPeak makes peakMegabytes count from now on (proc(5), clear_refs).
func (p *process) resetPeak(t *testing.T) {
	t.Helper()
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.command.Process.Pid), []byte("5"), 0o200); err != nil {
		t.Fatal(err)
	}
}

// megabytes returns a field of the process's status, such as VmRSS or VmHWM; 0 if the process has
// ended.
func (p *process) megabytes(field string) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, field+":"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// descriptors returns the number of open descriptors.
func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries)
}

// usage is what a process used during a crowd.
type usage struct {
	peakMegabytes, peakDescriptors int
}

// observer samples the usage of a process. It kills a process far beyond its memory.
type observer struct {
	process *process
	// megabytes is the memory of the process's machine.
	megabytes int
	stop      chan struct{}
	done      sync.WaitGroup
	used      usage
	runaway   bool
}

func observe(t *testing.T, p *process, megabytes int) *observer {
	p.resetPeak(t)
	o := &observer{process: p, megabytes: megabytes, stop: make(chan struct{})}
	o.done.Go(o.sample)
	return o
}

func (o *observer) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		resident := o.process.megabytes("VmHWM")
		o.used.peakMegabytes = max(o.used.peakMegabytes, resident)
		o.used.peakDescriptors = max(o.used.peakDescriptors, o.process.descriptors())
		if resident > runawayMegabytes && !o.runaway {
			o.runaway = true
			_ = o.process.command.Process.Kill()
		}
		select {
		case <-ticker.C:
		case <-o.stop:
			return
		}
	}
}

// finish ends the sampling and checks the usage against the machine's.
func (o *observer) finish(t *testing.T) {
	t.Helper()
	close(o.stop)
	o.done.Wait()
	switch {
	case o.runaway:
		t.Errorf("%s was killed at %d MB of resident memory, its machine has %d MB", o.process.name, o.used.peakMegabytes, o.megabytes)
	case !o.process.running():
		t.Errorf("%s ended: %v\n%s", o.process.name, o.process.failure, o.process.log())
	}
	if o.used.peakMegabytes > o.megabytes {
		t.Errorf("%s: %d MB of resident memory, its machine has %d MB", o.process.name, o.used.peakMegabytes, o.megabytes)
	}
	if allowed := machineDescriptors - reservedDescriptors; o.used.peakDescriptors > allowed {
		t.Errorf("%s: %d open descriptors, at most %d are allowed", o.process.name, o.used.peakDescriptors, allowed)
	}
	t.Logf("%s: at most %d MB and %d descriptors", o.process.name, o.used.peakMegabytes, o.used.peakDescriptors)
}

// eventually polls until attempt succeeds. It returns the last error if that takes longer than
// waitTimeout.
func eventually(attempt func() error) error {
	deadline := time.Now().Add(*waitTimeout)
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

var errNotYet = errors.New("not yet")

// waitUntil fails the test unless condition holds within waitTimeout.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	err := eventually(func() error {
		if condition() {
			return nil
		}
		return errNotYet
	})
	if err != nil {
		t.Fatalf("timed out after %v: %s", *waitTimeout, what)
	}
}
