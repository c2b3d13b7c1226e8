package consensus

// raftLog holds the log entries after a base position; earlier ones are compacted.
type raftLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// inProgress is the last index returned in a Ready, stable the last one known to be
	// durable.
	inProgress uint64
	stable     uint64
	commit     uint64
	applied    uint64
}

func newRaftLog(snapshot Snapshot, entries []Entry, commit uint64) raftLog {
	last := snapshot.Index + uint64(len(entries))
	return raftLog{
		baseIndex:  snapshot.Index,
		baseTerm:   snapshot.Term,
		entries:    entries[:len(entries):len(entries)],
		inProgress: last,
		stable:     last,
		commit:     max(commit, snapshot.Index),
		applied:    snapshot.Index,
	}
}

func (l *raftLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term at index, and whether the log holds it.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *raftLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// isUpToDate reports whether a log that ends in (index, term) is at least as up to date
// as this one (section 5.4.1 of the paper).
func (l *raftLog) isUpToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || term == last && index >= l.lastIndex()
}

// entriesFrom returns entries from index on, with at most maxBytes of data but at least
// one entry if there is one.
func (l *raftLog) entriesFrom(index uint64, maxBytes int) []Entry {
	if index <= l.baseIndex || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.baseIndex-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// entriesBetween returns the entries in (after, to].
func (l *raftLog) entriesBetween(after, to uint64) []Entry {
	if to <= after {
		return nil
	}
	low, high := after-l.baseIndex, to-l.baseIndex
	return l.entries[low:high:high]
}

func (l *raftLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncateFrom removes the entries from index on. Slices returned earlier keep their
// contents.
func (l *raftLog) truncateFrom(index uint64) {
	keep := index - l.baseIndex - 1
	l.entries = l.entries[:keep:keep]
	l.inProgress = min(l.inProgress, index-1)
	l.stable = min(l.stable, index-1)
}

// compactionIndex returns the index up to which to compact the log for a snapshot at
// index. It retains at most maxEntries entries before the snapshot, with at most maxBytes
// of data unless maxBytes is 0.
func (l *raftLog) compactionIndex(index uint64, maxEntries, maxBytes int) uint64 {
	size := 0
	for range maxEntries {
		if index <= l.baseIndex {
			break
		}
		size += len(l.entries[index-l.baseIndex-1].Data)
		if maxBytes > 0 && size > maxBytes {
			break
		}
		index--
	}
	return index
}

// compact removes the entries up to and including index.
func (l *raftLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// reset removes all entries and sets the base to a snapshot's position.
func (l *raftLog) reset(index, term uint64) {
	*l = raftLog{baseIndex: index, baseTerm: term, inProgress: index, stable: index, commit: index, applied: index}
}

// lastAtOrBelow returns the largest index up to limit whose term is at most term, and the
// term there. If there is none, it returns the base position.
func (l *raftLog) lastAtOrBelow(limit, term uint64) (uint64, uint64) {
	index := min(limit, l.lastIndex())
	for index > l.baseIndex {
		own, _ := l.term(index)
		if own <= term {
			return index, own
		}
		index--
	}
	return l.baseIndex, l.baseTerm
}
