package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/adapter/ringlog"
	"github.com/loomgrade/loomgrade/internal/adapter/settings"
)

// process is what every long-running command starts from.
type process struct {
	file          *settings.File
	ring          *ringlog.Ring
	peerToken     string
	operatorToken string
	// signals are taken from before anything starts, so that none is lost.
	signals chan os.Signal
}

// newProcess reads a settings file and opens what it names.
func newProcess(path string) (*process, error) {
	file, err := settings.Load(path)
	if err != nil {
		return nil, usageError{err}
	}
	started := &process{file: file, signals: make(chan os.Signal, 1)}
	if started.peerToken, err = readToken("peer_token_file", file.PeerTokenFile); err != nil {
		return nil, err
	}
	if started.operatorToken, err = readToken("operator_token_file", file.OperatorTokenFile); err != nil {
		return nil, err
	}
	if started.ring, err = ringlog.Open(file.Log.RingLines, file.Log.File); err != nil {
		return nil, err
	}
	signal.Notify(started.signals, os.Interrupt, syscall.SIGTERM, syscall.SIGUSR1)
	return started, nil
}

// readToken reads a token from a file; an empty path gives no token.
func readToken(key, path string) (string, error) {
	if path == "" {
		return "", nil
	}
	token, err := operatorapi.LoadToken(path)
	if err != nil {
		return "", usageError{eris.Wrapf(err, "%s", key)}
	}
	return token, nil
}

// untilStopped waits for an interrupt or a termination signal, or until done
// is closed. On SIGUSR1 it writes the log ring out and goes on waiting.
func (p *process) untilStopped(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case received := <-p.signals:
			if received != syscall.SIGUSR1 {
				return
			}
			p.writeOut("signal SIGUSR1")
		}
	}
}

// finish writes the log ring out when the process ends with an error.
func (p *process) finish(err error) error {
	if err != nil {
		p.writeOut("the process ends with an error")
	}
	return err
}

// writeOut writes the log ring out; a failure to write has nowhere else to go
// than the exit code of the process, which reports its own error.
func (p *process) writeOut(reason string) { _ = p.ring.WriteOut(reason) }

// stopContext bounds a planned stop; a second signal ends it at once.
func stopContext() (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithTimeout(context.Background(), plannedStopTime)
	interrupted, release := signal.NotifyContext(bounded, os.Interrupt, syscall.SIGTERM)
	return interrupted, func() { release(); cancel() }
}
