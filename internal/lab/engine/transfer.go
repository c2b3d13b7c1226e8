package engine

import "time"

// Export stops a request and starts the transfer of its KV state. At the end of the transfer
// the engine frees the memory and emits EventExported. Export returns ErrUnknownRequest if
// the request doesn't exist or has no KV state.
func (m *Model) Export(now time.Duration, id string) error {
	m.interrupt(now)
	s := m.sequences[id]
	if s == nil || (s.state != stateRunning && s.state != stateAwaitingExport) {
		return ErrUnknownRequest
	}
	m.detach(s)
	s.state = stateExporting
	m.transfer(now, s, s.computed)
	m.dirty = true
	return nil
}

// transfer reserves the KV link for a number of tokens of a sequence.
func (m *Model) transfer(now time.Duration, s *sequence, tokens int) {
	ready := m.kvLink.Reserve(now, int64(tokens)*m.config.KVBytesPerToken)
	m.timers = append(m.timers, timer{at: ready, kind: timerTransfer, sequence: s})
}

// finishTransfer ends an import or an export, unless the driver cancelled the sequence in the
// meantime.
func (m *Model) finishTransfer(at time.Duration, s *sequence) {
	switch s.state {
	case stateImporting:
		m.shortenRun(at)
		m.enqueue(s)
	case stateExporting:
		tokens := s.computed
		m.remove(s)
		m.emit(Event{
			At: at, Kind: EventExported, ID: s.request.ID, Count: tokens,
			Completion: s.completion(FinishPrefilled),
		})
	}
}

// shortenRun ends the current run with the current step.
func (m *Model) shortenRun(at time.Duration) {
	if m.run.active {
		m.completeSteps(at)
	}
	if m.run.active {
		m.run.steps = m.run.completed + 1
	}
}
