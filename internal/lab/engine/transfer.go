package engine

import "time"

// Export stops a request and sends its KV state out. EventExported follows
// when the transfer has ended; the memory is free from then on. It returns
// ErrUnknownRequest for a request that is not there or holds no KV state.
func (m *Model) Export(now time.Duration, id string) error {
	m.interrupt(now)
	s := m.sequences[id]
	if s == nil || (s.state != stateRunning && s.state != stateHeld) {
		return ErrUnknownRequest
	}
	m.detach(s)
	s.state = stateExporting
	m.transfer(now, s, s.computed)
	m.dirty = true
	return nil
}

// transfer books the KV link for so many tokens of a sequence.
func (m *Model) transfer(now time.Duration, s *sequence, tokens int) {
	ready := m.kvLink.Reserve(now, int64(tokens)*m.config.KVBytesPerToken)
	m.timers = append(m.timers, timer{at: ready, kind: timerTransfer, sequence: s})
}

// finishTransfer ends an import or an export. The sequence may have been
// cancelled meanwhile.
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

// shortenRun ends the present run with the step in progress.
func (m *Model) shortenRun(at time.Duration) {
	if m.run.active {
		m.settle(at)
	}
	if m.run.active {
		m.run.steps = m.run.settled + 1
	}
}
