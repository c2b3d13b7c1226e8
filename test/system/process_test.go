package system

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// patience bounds the wait for something that takes a few seconds at most; it
// decides nothing but when a test that hangs is given up.
const patience = 90 * time.Second

// process is one process of a site. It may be started again after it ended.
type process struct {
	name      string
	program   string
	arguments []string
	logFile   string
	command   *exec.Cmd
	ended     chan struct{} // closed when command has ended
	failure   error         // of command, once ended
}

// launcher starts processes from one thread that lives as long as the test:
// the kernel ends a child with the thread that started it, so that a test that
// is cut short leaves none behind.
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

func (p *process) start(t *testing.T) {
	t.Helper()
	output, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	command := exec.Command(filepath.Join(binaries, p.program), p.arguments...)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	launcher <- func() { started <- command.Start() }
	if err := <-started; err != nil {
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

// signal sends a signal to a process that must be running.
func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if !p.running() {
		t.Fatalf("%s has ended by itself: %v\n%s", p.name, p.failure, p.log())
	}
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// kill ends the process with SIGKILL, which leaves it no time for anything.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.ended
}

// stop ends the process as planned and demands that it does so without error.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(patience):
		t.Fatalf("%s does not stop\n%s", p.name, p.log())
	}
	if p.failure != nil {
		t.Errorf("%s stopped with %v\n%s", p.name, p.failure, p.log())
	}
}

// abandon ends the process in any state, at the end of a test.
func (p *process) abandon() {
	if p.running() {
		_ = p.command.Process.Kill() // it may have ended meanwhile
		<-p.ended
	}
}

// log gives the end of what the process wrote.
func (p *process) log() string {
	const most = 4 << 10
	content, _ := os.ReadFile(p.logFile) // a missing log is an empty one
	return string(content[max(0, len(content)-most):])
}

// invoke runs a command of loomgrade to its end and gives exit code and output.
func invoke(t *testing.T, arguments ...string) (code int, stdout, stderr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(binaries, "loomgrade"), arguments...)
	out, err := command.Output()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return 0, string(out), ""
	case errors.As(err, &exit):
		return exit.ExitCode(), string(out), string(exit.Stderr)
	default:
		t.Fatalf("loomgrade %v: %v", arguments, err)
		return 0, "", ""
	}
}

// until polls until a condition holds.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	const poll = 50 * time.Millisecond
	deadline := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("gave up waiting until %s", what)
		}
		time.Sleep(poll)
	}
}
