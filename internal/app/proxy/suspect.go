package proxy

import (
	"io"
	"slices"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
)

// recordCrash records that a replica crashed while running the request.
func (e *exchange) recordCrash(replica string) {
	if !slices.Contains(e.crashedReplicas, replica) {
		e.crashedReplicas = append(e.crashedReplicas, replica)
	}
	e.guard.RecordCrash(e.request.fingerprint(), replica)
}

// recordServed clears the request if it is a suspect.
func (e *exchange) recordServed() {
	if e.admission.Suspect || len(e.crashedReplicas) > 0 {
		e.guard.RecordServed(e.request.fingerprint())
	}
}

// maxSends limits the sends of the request. A trial is a single send that reaches a replica:
// sends that reach none, such as those to crashed replicas still in the view, don't count.
func (e *exchange) maxSends() int {
	if e.admission.Trial {
		return min(maxTries, 1+e.notSent)
	}
	return maxTries
}

// mustWithhold reports whether crashes during the request, here or at other processes, forbid
// a further send.
func (e *exchange) mustWithhold() bool {
	if e.request.Owed || e.admission.Trial || e.sends == 0 {
		return false
	}
	return len(e.crashedReplicas) >= quarantine.CrashesUntilWithheld || e.guard.Withholds(e.request.identity())
}

// streamBody is the body of a streamed answer. It reports to the guard how the stream ended,
// and ends the exchange on Close.
type streamBody struct {
	io.ReadCloser
	run     *exchange
	replica string
}

// Read implements io.Reader.
func (b *streamBody) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	switch {
	case err == nil:
	case err == io.EOF:
		b.run.recordServed()
	case b.run.ctx.Err() == nil && httpcall.IsConnectionClosed(err):
		b.run.recordCrash(b.replica)
	}
	return count, err
}

// Close implements io.Closer.
func (b *streamBody) Close() error {
	err := b.ReadCloser.Close()
	b.run.cancel()
	return err
}
