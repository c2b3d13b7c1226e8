package system

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/childprocess"
)

// waitTimeout is the timeout of waits for events that take a few seconds at most.
const waitTimeout = 90 * time.Second

// process is one process of a site. It can be restarted after it ended.
type process struct {
	name      string
	program   string
	arguments []string
	logFile   string
	command   *exec.Cmd
	ended     chan struct{} // closed when command has ended
	failure   error         // result of command; valid once ended is closed
}

func (p *process) start(t *testing.T) {
	t.Helper()
	output, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	command := exec.Command(filepath.Join(binaries, p.program), p.arguments...)
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

// signal sends a signal to the process, which must be running.
func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if !p.running() {
		t.Fatalf("%s ended unexpectedly: %v\n%s", p.name, p.failure, p.log())
	}
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// kill ends the process with SIGKILL.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.ended
}

// stop stops the process gracefully and checks that it ends without error.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not stop\n%s", p.name, p.log())
	}
	if p.failure != nil {
		t.Errorf("%s stopped with %v\n%s", p.name, p.failure, p.log())
	}
}

// killIfRunning kills the process if it is running.
func (p *process) killIfRunning() {
	if p.running() {
		_ = p.command.Process.Kill() // it may have ended in between
		<-p.ended
	}
}

// log returns the last output of the process.
func (p *process) log() string {
	const maxBytes = 4 << 10
	content, _ := os.ReadFile(p.logFile) // a missing log counts as empty
	return string(content[max(0, len(content)-maxBytes):])
}

// invoke runs a command of loomgrade and returns its exit code and output.
func invoke(t *testing.T, arguments ...string) (code int, stdout, stderr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
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

// waitUntil polls until a condition holds.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	const poll = 50 * time.Millisecond
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(poll)
	}
}
