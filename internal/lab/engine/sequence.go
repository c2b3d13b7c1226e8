package engine

import (
	"container/heap"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// sequenceState is the stage of a sequence.
type sequenceState uint8

const (
	stateImporting      sequenceState = iota // its KV state is being received
	stateWaiting                             // in the waiting queue
	stateRunning                             // in the batch
	stateAwaitingExport                      // prefilled, waiting for export
	stateExporting                           // its KV state is being sent
	stateRemoved                             // ended or cancelled
)

// sequence is a request inside the engine.
type sequence struct {
	request     Request
	arrival     uint64 // order of submission
	state       sequenceState
	heapIndex   int
	shared      []*block // leading blocks, found by hash
	private     int      // number of blocks that are not shared
	context     int      // prompt, resumed and generated tokens
	computed    int      // context tokens whose KV state is in memory
	imported    int      // context tokens whose KV state was imported before admission
	generated   int      // tokens generated here
	spans       []port.Span
	submittedAt time.Duration
	firstToken  time.Duration
	cachedHits  int // context tokens found in the prefix cache at the first admission
	preemptions int
	admitted    bool
	unshareable bool // some KV state was computed with replaced weights
}

func (s *sequence) blocks() int { return len(s.shared) + s.private }

// remaining returns the number of tokens still to generate.
func (s *sequence) remaining() int {
	if s.request.PrefillOnly {
		return 0
	}
	return s.request.target() - s.generated
}

func (s *sequence) prefilled() bool { return s.computed >= s.context }

// before orders sequences by priority, then by arrival.
func (s *sequence) before(other *sequence) bool {
	if s.request.Priority != other.request.Priority {
		return s.request.Priority > other.request.Priority
	}
	return s.arrival < other.arrival
}

// blockHash returns the hash of the i-th full block of the context; previous is the hash
// of the preceding block.
func (s *sequence) blockHash(i int, previous uint64) uint64 {
	if i < len(s.request.PromptBlocks) {
		return s.request.PromptBlocks[i]
	}
	return chainHash(previous, s.request.ContentKey+uint64(i))
}

// lastSharedHash returns the hash of the last shared block, or 0 if there is none.
func (s *sequence) lastSharedHash() uint64 {
	if len(s.shared) == 0 {
		return 0
	}
	return s.shared[len(s.shared)-1].hash
}

// record adds generated tokens to the context and the spans.
func (s *sequence) record(count int, version port.WeightVersion) {
	s.generated += count
	s.context += count
	s.computed = s.context
	if last := len(s.spans) - 1; last >= 0 && s.spans[last].Version == version {
		s.spans[last].Tokens += count
		return
	}
	s.spans = append(s.spans, port.Span{Version: version, Tokens: count})
}

// completion returns the completion of the sequence so far.
func (s *sequence) completion(reason FinishReason) *Completion {
	return &Completion{
		Reason:       reason,
		Spans:        s.spans,
		SubmittedAt:  s.submittedAt,
		FirstTokenAt: s.firstToken,
		CachedTokens: s.cachedHits,
		Preemptions:  s.preemptions,
	}
}

// waitingQueue is a heap of waiting sequences.
type waitingQueue []*sequence

var _ heap.Interface = (*waitingQueue)(nil)

// Len implements heap.Interface.
func (q waitingQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitingQueue) Less(i, j int) bool { return q[i].before(q[j]) }

// Swap implements heap.Interface.
func (q waitingQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *waitingQueue) Push(value any) {
	s := value.(*sequence)
	s.heapIndex = len(*q)
	*q = append(*q, s)
}

// Pop implements heap.Interface.
func (q *waitingQueue) Pop() any {
	old := *q
	last := len(old) - 1
	s := old[last]
	old[last] = nil
	*q = old[:last]
	return s
}
