package proxy

import (
	"io"
	"slices"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
)

// blame notes that a replica ended under the request.
func (e *exchange) blame(replica string) {
	if !slices.Contains(e.broke, replica) {
		e.broke = append(e.broke, replica)
	}
	e.proxy.guard.Ended(e.request.fingerprint(), replica)
}

// served clears the request if it is a suspect.
func (e *exchange) served() {
	if e.admitted.Suspect || len(e.broke) > 0 {
		e.proxy.guard.Served(e.request.fingerprint())
	}
}

// mostSends bounds the sends of the request. A trial is one that reaches a replica, whatever
// becomes of it: what is being tried is whether the replica outlives it. Replicas that have ended
// stand in the view for a while, and nothing reaches them.
func (e *exchange) mostSends() int {
	if e.admitted.Trial {
		return min(maxTries, 1+e.notSent)
	}
	return maxTries
}

// mustStop reports whether replicas that ended under the request, here or at other processes,
// forbid a further send.
func (e *exchange) mustStop() bool {
	if e.admitted.Trial || e.sends == 0 {
		return false
	}
	return len(e.broke) >= quarantine.CrashesUntilWithheld || e.proxy.guard.Withholds(e.request.identity())
}

// streamBody is the body of a streamed answer. It tells the guard how the stream ended, and
// ends the exchange when it is closed.
type streamBody struct {
	io.ReadCloser
	run     *exchange
	replica string
	// framed is set if the end of the stream is told from that of its connection.
	framed bool
}

// Read implements io.Reader.
func (b *streamBody) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	switch {
	case err == nil:
	case err == io.EOF:
		if b.framed {
			b.run.served()
		}
	case b.run.ctx.Err() == nil && httpcall.BrokenOff(err):
		b.run.blame(b.replica)
	}
	return count, err
}

// Close implements io.Closer.
func (b *streamBody) Close() error {
	err := b.ReadCloser.Close()
	b.run.cancel()
	return err
}
