// Package childprocess starts the programs under test.
package childprocess

import (
	"os/exec"
	"runtime"
	"syscall"
)

// launches are started by one thread that lives as long as the tests. The kernel kills a child with
// Pdeathsig when the thread that started it ends.
var launches = func() chan<- func() {
	launches := make(chan func())
	go func() {
		runtime.LockOSThread()
		for launch := range launches {
			launch()
		}
	}()
	return launches
}()

// Start starts a command whose process does not outlive that of the tests, not even if it is
// killed.
func Start(command *exec.Cmd) error {
	if command.SysProcAttr == nil {
		command.SysProcAttr = &syscall.SysProcAttr{}
	}
	command.SysProcAttr.Pdeathsig = syscall.SIGKILL
	started := make(chan error)
	launches <- func() { started <- command.Start() }
	return <-started
}
