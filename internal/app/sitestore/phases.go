package sitestore

import "time"

// phases breaks down the time of an item from when the runner started its job.
type phases struct {
	// firstWait is the wait for the first replica, laterWaits that for further ones.
	firstWait, laterWaits time.Duration
	// ran is the time of runs that generated text, unused that of the others: rejected,
	// broken off before an event, or failed.
	ran, unused time.Duration
	// scored is the time from the complete text to the response of its reward call.
	scored time.Duration
	// rejected counts runs that a replica rejected, cutOff those that broke off or were
	// moved.
	rejected, cutOff int
}

// recordWait records a wait that ended when the item got a replica.
func (p *phases) recordWait(waited time.Duration, first bool) {
	if first {
		p.firstWait += waited
		return
	}
	p.laterWaits += waited
}

// recordRun records the end of a run; generated is set if the run added text.
func (p *phases) recordRun(kind runKind, took time.Duration, generated bool) {
	if generated {
		p.ran += took
	} else {
		p.unused += took
	}
	switch kind {
	case runRejected:
		p.rejected++
	case runBroken, runMoved, runWrongVersion:
		p.cutOff++
	default:
	}
}

// waited returns the total wait for replicas.
func (p *phases) waited() time.Duration { return p.firstWait + p.laterWaits }
