package decision

import (
	"unsafe"

	"github.com/loomgrade/loomgrade/internal/port"
)

// DefaultMaxBytes is the default memory limit of a Store, in bytes.
const DefaultMaxBytes = 16 << 20

// Store holds the latest decisions, indexed by subject, within a memory limit. It drops
// the oldest first. It is not safe for concurrent use.
type Store struct {
	maxBytes int
	bytes    int
	// records is a queue that starts at head; the entries before head were dropped. first
	// is the sequence number of records[head].
	records []port.Decision
	head    int
	first   uint64
	// bySubject maps a subject to the sequence numbers, ascending, of the records about it
	// and about the batches that contain it.
	bySubject map[string][]uint64
	dropped   uint64
}

// NewStore returns an empty store. A maxBytes below 1 means DefaultMaxBytes.
func NewStore(maxBytes int) *Store {
	if maxBytes < 1 {
		maxBytes = DefaultMaxBytes
	}
	return &Store{maxBytes: maxBytes, bySubject: make(map[string][]uint64)}
}

// Add stores a decision. A decision that alone exceeds the limit is dropped and counted.
func (s *Store) Add(decision port.Decision) {
	size := sizeOf(&decision)
	if size > s.maxBytes {
		s.dropped++
		return
	}
	for s.bytes+size > s.maxBytes {
		s.dropOldest()
	}
	sequence := s.first + uint64(s.Len())
	s.records = append(s.records, decision)
	for _, subject := range subjectsOf(&decision) {
		s.bySubject[subject] = append(s.bySubject[subject], sequence)
	}
	s.bytes += size
}

// Get returns the decisions about a subject, oldest first.
func (s *Store) Get(subject string) []port.Decision {
	sequences := s.bySubject[subject]
	if len(sequences) == 0 {
		return nil
	}
	found := make([]port.Decision, 0, len(sequences))
	for _, sequence := range sequences {
		found = append(found, s.records[s.head+int(sequence-s.first)])
	}
	return found
}

// Recent returns up to count of the latest decisions, oldest first.
func (s *Store) Recent(count int) []port.Decision {
	count = min(max(count, 0), s.Len())
	return append([]port.Decision(nil), s.records[len(s.records)-count:]...)
}

// Len returns the number of stored decisions.
func (s *Store) Len() int { return len(s.records) - s.head }

// Bytes returns the estimated memory of the stored decisions.
func (s *Store) Bytes() int { return s.bytes }

// Dropped returns the number of decisions dropped since the start.
func (s *Store) Dropped() uint64 { return s.dropped }

// dropOldest drops one decision. The store must not be empty.
func (s *Store) dropOldest() {
	oldest := &s.records[s.head]
	s.bytes -= sizeOf(oldest)
	for _, subject := range subjectsOf(oldest) {
		if sequences := s.bySubject[subject]; len(sequences) > 1 {
			s.bySubject[subject] = sequences[1:]
		} else {
			delete(s.bySubject, subject)
		}
	}
	*oldest = port.Decision{}
	s.head++
	s.first++
	s.dropped++
	s.compact()
}

// compact moves the stored records to the front once half of the slice was dropped, so
// that the amortized cost of a record is constant.
func (s *Store) compact() {
	if s.head*2 < len(s.records) {
		return
	}
	count := copy(s.records, s.records[s.head:])
	clear(s.records[count:])
	s.records = s.records[:count]
	s.head = 0
}

// subjectsOf returns the subjects under which a decision is indexed: its own and, for a
// committed or voided batch, its samples.
func subjectsOf(decision *port.Decision) []string {
	subjects := []string{decision.Subject}
	if decision.Kind == port.DecisionCommitted || decision.Kind == port.DecisionVoided {
		subjects = append(subjects, decision.Related...)
	}
	return subjects
}

// indexOverhead is the estimated memory of an index entry.
const indexOverhead = 64

// sizeOf returns the estimated memory of a record.
func sizeOf(decision *port.Decision) int {
	size := int(unsafe.Sizeof(*decision)) + indexOverhead
	size += len(decision.Subject) + len(decision.Node) + len(decision.Pool) + len(decision.Replica) + len(decision.Detail)
	size += len(decision.Filtered) * int(unsafe.Sizeof(port.FilterCount{}))
	for _, score := range decision.Scores {
		size += int(unsafe.Sizeof(score)) + len(score.Parts)*int(unsafe.Sizeof(port.ScorePart{}))
	}
	size += len(decision.Spans) * int(unsafe.Sizeof(port.Span{}))
	for _, related := range decision.Related {
		size += int(unsafe.Sizeof(related)) + len(related)
	}
	size += (len(subjectsOf(decision)) - 1) * indexOverhead
	return size
}
