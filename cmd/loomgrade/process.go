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

// process holds what every control member or node process needs.
type process struct {
	file          *settings.File
	ring          *ringlog.Ring
	peerToken     string
	operatorToken string
	// stops and dumps receive signals. They are registered before anything starts, and separate, since
	// a signal is dropped while its channel is full.
	stops, dumps chan os.Signal
}

// newProcess loads a settings file, its tokens and the log ring, and registers signals.
func newProcess(path string) (*process, error) {
	file, err := settings.Load(path)
	if err != nil {
		return nil, usageError{err}
	}
	p := &process{file: file, stops: make(chan os.Signal, 1), dumps: make(chan os.Signal, 1)}
	if p.peerToken, err = readToken("peer_token_file", file.PeerTokenFile); err != nil {
		return nil, err
	}
	if p.operatorToken, err = readToken("operator_token_file", file.OperatorTokenFile); err != nil {
		return nil, err
	}
	if p.ring, err = ringlog.Open(file.Log.RingLines, file.Log.File); err != nil {
		return nil, err
	}
	signal.Notify(p.stops, os.Interrupt, syscall.SIGTERM)
	signal.Notify(p.dumps, syscall.SIGUSR1)
	return p, nil
}

// readToken reads a token from a file; an empty path yields an empty token.
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

// awaitStop blocks until SIGINT, SIGTERM or the close of done. On SIGUSR1 it writes out
// the log ring and continues to wait.
func (p *process) awaitStop(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-p.stops:
			return
		case <-p.dumps:
			p.writeOut("signal SIGUSR1")
		}
	}
}

// finish writes out the log ring if the process ends with an error, and returns err.
func (p *process) finish(err error) error {
	if err != nil {
		p.writeOut("the process ends with an error")
	}
	return err
}

// writeOut writes out the log ring. It ignores write errors: the process reports the
// error that ended it.
func (p *process) writeOut(reason string) { _ = p.ring.WriteOut(reason) }

// shutdownContext returns a context that limits a graceful stop to shutdownTimeout. A
// second signal cancels it.
func shutdownContext() (context.Context, context.CancelFunc) {
	limited, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	interrupted, release := signal.NotifyContext(limited, os.Interrupt, syscall.SIGTERM)
	return interrupted, func() { release(); cancel() }
}
