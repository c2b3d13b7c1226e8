package coordinator_test

import (
	"fmt"
	"slices"

	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/ledger"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

const poolName = port.PoolName("captions")

var start = time.UnixMilli(1_800_000_000_000)

// leaseTTL is how long a coordinator may deliver after its last renewal.
const leaseTTL = 10 * time.Second

func smallSampling() port.Sampling {
	return port.Sampling{
		StalenessBound: 2, BatchSamples: 6, GroupSize: 2, MaxTokens: 100, BufferBatches: 3, Priority: 5,
	}
}

// attemptRun is an attempt on a replica with the output it generated.
type attemptRun struct {
	owner *coordinator.Coordinator
	start coordinator.StartSample
	text  string
	spans []port.Span
	ended bool
}

// batchRequest is a trainer's pending request for a batch.
type batchRequest struct {
	token       uint64
	number      port.BatchNumber
	epoch       port.Epoch
	coordinator *coordinator.Coordinator
}

// commitRecord is the log's state at the commit of one batch attempt.
type commitRecord struct {
	published port.WeightVersion
	samples   []port.CommittedSample
}

// proposal is a Commit that has not been answered.
type proposal struct {
	owner  *coordinator.Coordinator
	commit coordinator.Commit
}

// harness runs coordinators against the real ledger and simulated engines, scorer, prompt
// source and trainer, and checks the batches that the trainer receives.
type harness struct {
	t        rapid.TB
	now      time.Time
	sampling port.Sampling
	program  *policy.Program

	log       ledger.Ledger
	lease     port.Epoch
	epochs    port.Epoch
	published port.WeightVersion
	// serving is the version on the replicas; it follows published unless
	// rolloutStopped is set.
	serving        port.WeightVersion
	rolloutStopped bool
	answers        map[string]port.Result
	commits        map[string]commitRecord

	// steps counts events; event number crashAt, if not 0, replaces the coordinator.
	steps   int
	crashAt int
	// crashApplies makes the log apply the outstanding proposals at the crash.
	crashApplies bool
	// length is the number of tokens that an attempt generates before it finishes.
	length int

	current   *coordinator.Coordinator
	records   []port.Decision
	fetches   []coordinator.FetchPrompts
	attempts  []*attemptRun
	scores    []coordinator.ScoreSample
	proposals []proposal
	reads     int
	moves     []coordinator.CancelSample

	tokens     uint64
	requests   []batchRequest
	refused    map[uint64]*port.Error
	deliveries map[uint64]coordinator.Deliver

	trainer          port.Epoch
	next             port.BatchNumber
	highestRequested port.BatchNumber
	consumed         map[port.BatchNumber]coordinator.Deliver
	// generated holds every text that engines generated for a sample, with its spans.
	generated map[port.SampleID]map[string][]port.Span
}

func newHarness(t rapid.TB, sampling port.Sampling, source string) *harness {
	program, err := policy.Compile(source)
	if err != nil {
		t.Fatal(err)
	}
	w := &harness{
		t: t, now: start, sampling: sampling, program: program, published: 1, length: 3,
		answers: map[string]port.Result{}, commits: map[string]commitRecord{},
		refused: map[uint64]*port.Error{}, deliveries: map[uint64]coordinator.Deliver{},
		consumed: map[port.BatchNumber]coordinator.Deliver{}, next: 1,
		generated: map[port.SampleID]map[string][]port.Span{},
	}
	w.registerConsumer()
	w.replaceCoordinator()
	return w
}

// registerConsumer registers a new trainer process as the pool's consumer.
func (w *harness) registerConsumer() {
	w.epochs++
	consumer, refusal := w.log.Register(port.RegisterConsumer{Pool: poolName, Consumer: "trainer"}, w.epochs)
	if refusal != nil {
		w.t.Fatal(refusal)
	}
	w.trainer, w.next, w.highestRequested = consumer.Epoch, consumer.Next, 0
	w.requests = nil
}

// rewind registers a new trainer process that rewinds to a batch.
func (w *harness) rewind(number port.BatchNumber) {
	w.epochs++
	command := port.RegisterConsumer{Pool: poolName, Consumer: "trainer", RewindTo: number}
	consumer, refusal := w.log.Register(command, w.epochs)
	if refusal != nil {
		w.t.Fatal(refusal)
	}
	w.trainer, w.next, w.highestRequested = consumer.Epoch, consumer.Next, 0
	for batchNumber := range w.consumed {
		if batchNumber >= number {
			delete(w.consumed, batchNumber)
		}
	}
	w.step(w.current, coordinator.LedgerRead{State: w.log.State(poolName)})
}

// replaceCoordinator starts a new coordinator under a new lease epoch, after the previous
// lease has expired. The previous coordinator is not notified.
func (w *harness) replaceCoordinator() {
	if w.current != nil {
		w.now = w.now.Add(leaseTTL)
		w.fetches, w.reads = nil, 0
		w.requests = nil
	}
	w.epochs++
	w.lease = w.epochs
	created, err := coordinator.New(coordinator.Config{
		Pool: poolName, Sampling: w.sampling, Epoch: w.lease, Node: "node-1",
		LeaseUntil: w.now.Add(leaseTTL), Ledger: w.log.State(poolName),
		Weights: port.PublishedWeights{Pool: poolName, Version: w.published},
		Program: w.program, Seed: 7,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.current = created
	w.refresh()
}

// refresh sends the coordinator the replicas, which serve the published version unless
// rolloutStopped is set, and a tick.
func (w *harness) refresh() {
	if !w.rolloutStopped {
		w.serving = w.published
	}
	w.step(w.current, coordinator.CapacityChanged{Replicas: []policy.Replica{
		{ID: "replica-1", Zone: "zone-a", Version: w.serving, Running: 15, Limit: 16},
		{ID: "replica-2", Zone: "zone-b", Version: w.serving, Running: 2, Limit: 16},
	}})
	w.step(w.current, coordinator.Tick{})
}

// step sends an event and performs the resulting actions.
func (w *harness) step(to *coordinator.Coordinator, event coordinator.Event) {
	w.steps++
	if w.steps == w.crashAt {
		if w.crashApplies {
			for _, outstanding := range w.proposals {
				w.apply(outstanding.commit)
			}
		}
		w.proposals = nil
		w.replaceCoordinator()
		return
	}
	for _, action := range to.Step(w.now, event) {
		w.perform(to, action)
	}
}

func (w *harness) perform(by *coordinator.Coordinator, action coordinator.Action) {
	switch action := action.(type) {
	case coordinator.Record:
		w.records = append(w.records, action.Decision)
	case coordinator.Deliver:
		w.receive(action)
	case coordinator.Refuse:
		w.refuse(action)
	case coordinator.StartSample:
		if action.MaxTokens <= 0 {
			w.t.Fatalf("sample %v started with %d tokens left", action.ID, action.MaxTokens)
		}
		w.attempts = append(w.attempts, &attemptRun{owner: by, start: action})
	case coordinator.CancelSample:
		w.cancel(by, action)
	case coordinator.ScoreSample:
		w.scores = append(w.scores, action)
	case coordinator.FetchPrompts:
		w.fetches = append(w.fetches, action)
	case coordinator.Commit:
		w.proposals = append(w.proposals, proposal{owner: by, commit: action})
	case coordinator.ReadLedger:
		w.reads++
	}
}

func (w *harness) cancel(by *coordinator.Coordinator, action coordinator.CancelSample) {
	if action.Move {
		w.moves = append(w.moves, action)
		return
	}
	w.attempts = slices.DeleteFunc(w.attempts, func(run *attemptRun) bool {
		return run.owner == by && run.start.ID == action.ID && run.start.Attempt == action.Attempt
	})
}

// tick advances the clock, renews the lease and refreshes the coordinator.
func (w *harness) tick(by time.Duration) {
	w.now = w.now.Add(by)
	w.step(w.current, coordinator.LeaseRenewed{Until: w.now.Add(leaseTTL)})
	w.refresh()
}

func prompts(from port.PromptIndex, count int) []port.Prompt {
	list := make([]port.Prompt, 0, count)
	for index := from; index < from+port.PromptIndex(count); index++ {
		list = append(list, port.Prompt{Index: index, Text: fmt.Sprintf("prompt %d", index), Tokens: 3})
	}
	return list
}

// answerFetch answers the oldest outstanding fetch.
func (w *harness) answerFetch(fail bool) {
	if len(w.fetches) == 0 {
		return
	}
	fetch := w.fetches[0]
	w.fetches = w.fetches[1:]
	if fail {
		w.step(w.current, coordinator.PromptsFailed{From: fetch.From, Err: port.NewError(port.NotRun, port.CodeUnavailable, "down")})
		return
	}
	w.step(w.current, coordinator.PromptsArrived{From: fetch.From, Prompts: prompts(fetch.From, fetch.Count)})
}

// generate appends tokens of the served version to an attempt.
func (w *harness) generate(run *attemptRun, tokens int) {
	tokens = min(tokens, run.start.MaxTokens-spanTokens(run.spans))
	for range tokens {
		run.text += fmt.Sprintf("%d/%d ", run.start.ID.Sequence, w.serving)
		run.spans = port.AppendTokens(slices.Clone(run.spans), w.serving, 1)
	}
}

func spanTokens(spans []port.Span) int {
	sum := 0
	for _, span := range spans {
		sum += span.Tokens
	}
	return sum
}

// finish ends an attempt with its complete text.
func (w *harness) finish(run *attemptRun) {
	if !run.ended {
		w.generate(run, w.length)
	}
	w.remove(run)
	w.recordGenerated(run)
	w.step(run.owner, coordinator.SampleFinished{
		ID: run.start.ID, Attempt: run.start.Attempt, Replica: "replica-1",
		Text: run.text, Tokens: spanTokens(run.spans), Spans: run.spans,
	})
}

// progress generates tokens and reports the progress of an attempt.
func (w *harness) progress(run *attemptRun, tokens int) {
	w.generate(run, tokens)
	w.step(run.owner, coordinator.SampleProgress{
		ID: run.start.ID, Attempt: run.start.Attempt, Replica: "replica-1",
		Tokens: spanTokens(run.spans), Spans: run.spans,
	})
}

// fail ends an attempt with an error, with or without its partial output.
func (w *harness) fail(run *attemptRun, partial bool) {
	w.remove(run)
	w.recordGenerated(run)
	event := coordinator.SampleFailed{
		ID: run.start.ID, Attempt: run.start.Attempt, Replica: "replica-1",
		Err: port.NewError(port.MayHaveRun, port.CodeBackEnd, "engine crashed"),
	}
	if partial {
		event.Text, event.Tokens, event.Spans = run.text, spanTokens(run.spans), run.spans
	}
	w.step(run.owner, event)
}

// running returns the sample's running attempt.
func (w *harness) running(id port.SampleID) *attemptRun {
	for _, run := range w.attempts {
		if run.start.ID == id {
			return run
		}
	}
	w.t.Fatalf("sample %v is not running", id)
	return nil
}

// recordGenerated records the text and spans that an attempt generated.
func (w *harness) recordGenerated(run *attemptRun) {
	texts := w.generated[run.start.ID]
	if texts == nil {
		texts = map[string][]port.Span{}
		w.generated[run.start.ID] = texts
	}
	resumed := texts[run.start.Resume]
	if spanTokens(resumed) != run.start.ResumeTokens {
		w.t.Fatalf("sample %v resumes from %q, which no engine generated", run.start.ID, run.start.Resume)
	}
	texts[run.start.Resume+run.text] = append(slices.Clone(resumed), run.spans...)
}

func (w *harness) remove(run *attemptRun) {
	run.ended = true
	w.attempts = slices.DeleteFunc(w.attempts, func(other *attemptRun) bool { return other == run })
}

// score answers a request to the scorer.
func (w *harness) score(position int, fail bool) {
	request := w.scores[position]
	w.scores = slices.Delete(w.scores, position, position+1)
	if fail {
		w.step(w.current, coordinator.ScoreFailed{ID: request.ID, Err: port.NewError(port.MayHaveRun, port.CodeUnavailable, "scorer down")})
		return
	}
	w.step(w.current, coordinator.Scored{ID: request.ID, Reward: 0.5})
}

// apply applies a proposal to the log and returns its result.
func (w *harness) apply(commit coordinator.Commit) port.Result {
	result, known := w.answers[commit.ChangeID]
	if !known {
		result = port.Result{Index: uint64(len(w.answers) + 1)}
		result.Error = w.log.Commit(commit.Batch, ledger.CommitContext{
			CoordinatorEpoch: w.lease, Published: w.published, Sampling: w.sampling,
		})
		w.answers[commit.ChangeID] = result
		if result.Error == nil {
			w.commits[batchKey(commit.Batch.Number, commit.Batch.Attempt)] = commitRecord{
				published: w.published, samples: slices.Clone(commit.Batch.Samples),
			}
		}
	}
	state := w.log.State(poolName)
	result.Ledger = &state
	return result
}

func batchKey(number port.BatchNumber, attempt uint32) string {
	return fmt.Sprintf("%d/%d", number, attempt)
}

// commitOutcome is the outcome of a proposal.
type commitOutcome int

const (
	answered   commitOutcome = iota // applied, answer arrives
	answerLost                      // applied, answer lost
	neverSent                       // not applied, reported as not run
	unknown                         // not applied, but reported as may have run
)

// resolveProposal ends the oldest proposal with an outcome.
func (w *harness) resolveProposal(outcome commitOutcome) {
	if len(w.proposals) == 0 {
		return
	}
	resolved := w.proposals[0]
	w.proposals = w.proposals[1:]
	answer := coordinator.CommitAnswered{
		ChangeID: resolved.commit.ChangeID, Number: resolved.commit.Batch.Number, Attempt: resolved.commit.Batch.Attempt,
	}
	switch outcome {
	case answered:
		answer.Result = w.apply(resolved.commit)
	case answerLost:
		w.apply(resolved.commit)
		answer.Err = port.NewError(port.MayHaveRun, port.CodeUnavailable, "connection lost")
	case neverSent:
		answer.Err = port.NewError(port.NotRun, port.CodeUnavailable, "no leader")
	case unknown:
		answer.Err = port.NewError(port.MayHaveRun, port.CodeUnavailable, "connection lost")
	}
	w.step(resolved.owner, answer)
}

// ledgerState returns the pool's ledger state with the published version.
func (w *harness) ledgerState() port.LedgerState {
	state := w.log.State(poolName)
	state.Published = w.published
	return state
}

// read answers one ReadLedger.
func (w *harness) read() {
	if w.reads > 0 {
		w.reads--
		w.step(w.current, coordinator.LedgerRead{State: w.ledgerState()})
	}
}

func (w *harness) publish() {
	w.published++
	w.step(w.current, coordinator.WeightsPublished{Weights: port.PublishedWeights{Pool: poolName, Version: w.published}})
	w.refresh()
}

// requestBatch sends the trainer's request for a batch and returns its token.
func (w *harness) requestBatch(number port.BatchNumber, epoch port.Epoch, wait time.Duration) uint64 {
	w.tokens++
	w.requests = append(w.requests, batchRequest{token: w.tokens, number: number, epoch: epoch, coordinator: w.current})
	token := w.tokens
	w.highestRequested = max(w.highestRequested, number)
	w.step(w.current, coordinator.BatchRequested{
		Token: token, Number: number, ConsumerEpoch: epoch, Deadline: w.now.Add(wait),
	})
	return token
}

func (w *harness) closeRequest(token uint64) (batchRequest, bool) {
	for position, open := range w.requests {
		if open.token == token {
			w.requests = slices.Delete(w.requests, position, position+1)
			return open, true
		}
	}
	return batchRequest{}, false
}

// receive checks a delivery against the log and the generated texts. The trainer consumes
// it if the request is still pending.
func (w *harness) receive(delivery coordinator.Deliver) {
	open, waiting := w.closeRequest(delivery.Token)
	if !waiting {
		return
	}
	if open.number != delivery.Number {
		w.t.Fatalf("requested batch %d, got %d", open.number, delivery.Number)
	}
	w.deliveries[delivery.Token] = delivery
	if delivery.Number == w.next && open.epoch == w.trainer {
		w.closeDuplicates(open)
	}
	committed, found := w.commits[batchKey(delivery.Number, delivery.Attempt)]
	if !found {
		w.t.Fatalf("batch %d attempt %d was delivered before its commit", delivery.Number, delivery.Attempt)
	}
	w.checkBatch(delivery, committed)
	if open.epoch == w.trainer && open.number == w.next {
		w.consume(delivery)
	}
}

// closeDuplicates closes the trainer's other requests for a batch that it has received.
func (w *harness) closeDuplicates(open batchRequest) {
	for _, other := range slices.Clone(w.requests) {
		if other.number == open.number && other.epoch == open.epoch && other.coordinator != open.coordinator {
			w.closeRequest(other.token)
		}
	}
}

func (w *harness) checkBatch(delivery coordinator.Deliver, committed commitRecord) {
	if len(delivery.Samples) != w.sampling.BatchSamples || len(committed.samples) != len(delivery.Samples) {
		w.t.Fatalf("batch %d has %d samples, %d committed", delivery.Number, len(delivery.Samples), len(committed.samples))
	}
	groups := map[port.PromptIndex]int{}
	for position, sample := range delivery.Samples {
		groups[sample.Prompt.Index]++
		if committed.samples[position].ID != sample.ID {
			w.t.Fatalf("batch %d delivers sample %v, committed is %v", delivery.Number, sample.ID, committed.samples[position].ID)
		}
		spans, known := w.generated[sample.ID][sample.Text]
		if !known {
			w.t.Fatalf("sample %v has text %q, which no engine generated", sample.ID, sample.Text)
		}
		if port.OldestVersion(sample.Spans) != port.OldestVersion(spans) || spanTokens(sample.Spans) != spanTokens(spans) {
			w.t.Fatalf("sample %v has spans %v, want %v", sample.ID, sample.Spans, spans)
		}
		age := int64(committed.published) - int64(port.OldestVersion(spans))
		if age > int64(w.sampling.StalenessBound) {
			w.t.Fatalf("sample %v was %d versions old when it was committed", sample.ID, age)
		}
	}
	for prompt, count := range groups {
		if count != w.sampling.GroupSize {
			w.t.Fatalf("batch %d holds %d samples of prompt %d", delivery.Number, count, prompt)
		}
	}
}

// consume records a batch as trained on and checks that none of its samples or prompts
// was in an earlier batch.
func (w *harness) consume(delivery coordinator.Deliver) {
	for number, earlier := range w.consumed {
		if number == delivery.Number {
			continue
		}
		for _, sample := range delivery.Samples {
			for _, other := range earlier.Samples {
				if other.ID == sample.ID || other.Prompt.Index == sample.Prompt.Index {
					w.t.Fatalf("sample %v of prompt %d is in batch %d and in batch %d", sample.ID, sample.Prompt.Index, number, delivery.Number)
				}
			}
		}
	}
	w.consumed[delivery.Number] = delivery
	w.next = delivery.Number + 1
}

func (w *harness) refuse(action coordinator.Refuse) {
	w.refused[action.Token] = action.Err
	w.closeRequest(action.Token)
}

// runRounds answers all outstanding actions successfully, for a number of rounds.
func (w *harness) runRounds(rounds int) {
	for range rounds {
		for len(w.fetches) > 0 {
			w.answerFetch(false)
		}
		for _, run := range slices.Clone(w.attempts) {
			if run.owner == w.current && slices.Contains(w.attempts, run) {
				w.finish(run)
			}
		}
		for len(w.scores) > 0 {
			w.score(0, false)
		}
		for len(w.proposals) > 0 {
			w.resolveProposal(answered)
		}
		for w.reads > 0 {
			w.read()
		}
		w.endMoves()
		w.tick(250 * time.Millisecond)
	}
}

// endMoves ends attempts cancelled for a move, with their partial output.
func (w *harness) endMoves() {
	moves := w.moves
	w.moves = nil
	for _, move := range moves {
		for _, run := range slices.Clone(w.attempts) {
			if run.start.ID == move.ID && run.start.Attempt == move.Attempt {
				w.fail(run, true)
			}
		}
	}
}

// train requests a batch and runs the harness until it arrives.
func (w *harness) train() {
	w.t.Helper()
	number := w.next
	for range 200 {
		if w.next > number {
			return
		}
		if len(w.requests) == 0 {
			w.requestBatch(number, w.trainer, 10*time.Second)
		}
		w.runRounds(1)
	}
	w.t.Fatalf("batch %d was not delivered: %+v, refusals %v", number, w.current.Status(), w.refused[w.tokens])
}
