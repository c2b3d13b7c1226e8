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

// attemptRun is one attempt that a replica runs, with the truth of what it made.
type attemptRun struct {
	owner *coordinator.Coordinator
	start coordinator.StartSample
	text  string
	spans []port.Span
	ended bool
}

// question is a trainer's open question.
type question struct {
	token  uint64
	number port.BatchNumber
	epoch  port.Epoch
	asked  *coordinator.Coordinator
}

// commitRecord is what the log decided for one batch attempt.
type commitRecord struct {
	published port.WeightVersion
	samples   []port.CommittedSample
}

// proposal is a Commit on its way to the log, or its answer on the way back.
type proposal struct {
	owner  *coordinator.Coordinator
	commit coordinator.Commit
}

// world joins coordinators with the real ledger and simple engines, scorer,
// prompt source and trainer, and checks what the trainer sees.
type world struct {
	t        rapid.TB
	now      time.Time
	sampling port.Sampling
	program  *policy.Program

	log       ledger.Ledger
	lease     port.Epoch
	epochs    port.Epoch
	published port.WeightVersion
	// serving is what the replicas serve; it follows published unless
	// rolloutStopped is set.
	serving        port.WeightVersion
	rolloutStopped bool
	answers        map[string]port.Result
	commits        map[string]commitRecord

	// steps counts events; before crashAt, if not 0, the coordinator is replaced.
	steps   int
	crashAt int
	// crashTakes lets the log take the proposals that are out at that time.
	crashTakes bool
	// length is how many tokens an attempt makes before it finishes.
	length int

	current   *coordinator.Coordinator
	records   []port.Decision
	fetches   []coordinator.FetchPrompts
	attempts  []*attemptRun
	scores    []coordinator.ScoreSample
	proposals []proposal
	reads     int
	moves     []coordinator.CancelSample

	tokens    uint64
	questions []question
	refusals  map[uint64]*port.Error
	arrived   map[uint64]coordinator.Deliver

	trainer port.Epoch
	next    port.BatchNumber
	asked   port.BatchNumber
	used    map[port.BatchNumber]coordinator.Deliver
	// truths holds, for each sample, every text that engines made of it with the
	// versions that truly made it.
	truths map[port.SampleID]map[string][]port.Span
}

func newWorld(t rapid.TB, sampling port.Sampling, source string) *world {
	program, err := policy.Compile(source)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, now: start, sampling: sampling, program: program, published: 1, length: 3,
		answers: map[string]port.Result{}, commits: map[string]commitRecord{},
		refusals: map[uint64]*port.Error{}, arrived: map[uint64]coordinator.Deliver{},
		used: map[port.BatchNumber]coordinator.Deliver{}, next: 1,
		truths: map[port.SampleID]map[string][]port.Span{},
	}
	w.registerConsumer()
	w.takeOver()
	return w
}

// registerConsumer makes a new trainer process the pool's consumer.
func (w *world) registerConsumer() {
	w.epochs++
	consumer, refusal := w.log.Register(port.RegisterConsumer{Pool: poolName, Consumer: "trainer"}, w.epochs)
	if refusal != nil {
		w.t.Fatal(refusal)
	}
	w.trainer, w.next, w.asked = consumer.Epoch, consumer.Next, 0
	w.questions = nil
}

// rewind has an operator go back to a batch, for a new trainer process.
func (w *world) rewind(number port.BatchNumber) {
	w.epochs++
	command := port.RegisterConsumer{Pool: poolName, Consumer: "trainer", RewindTo: number}
	consumer, refusal := w.log.Register(command, w.epochs)
	if refusal != nil {
		w.t.Fatal(refusal)
	}
	w.trainer, w.next, w.asked = consumer.Epoch, consumer.Next, 0
	for later := range w.used {
		if later >= number {
			delete(w.used, later)
		}
	}
	w.step(w.current, coordinator.LedgerRead{State: w.log.State(poolName)})
}

// takeOver starts a new coordinator under a new lease epoch, once the former
// one's lease is over. The former one is not told.
func (w *world) takeOver() {
	if w.current != nil {
		w.now = w.now.Add(leaseTTL)
		w.fetches, w.reads = nil, 0
		w.questions = nil
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
	w.look()
}

// look lets the coordinator see the time and the replicas, which serve the
// published version unless the rollout of weights stands still.
func (w *world) look() {
	if !w.rolloutStopped {
		w.serving = w.published
	}
	w.step(w.current, coordinator.CapacityChanged{Replicas: []policy.Replica{
		{ID: "replica-1", Zone: "zone-a", Version: w.serving, Running: 15, Limit: 16},
		{ID: "replica-2", Zone: "zone-b", Version: w.serving, Running: 2, Limit: 16},
	}})
	w.step(w.current, coordinator.Tick{})
}

// step feeds an event and queues what comes of it.
func (w *world) step(to *coordinator.Coordinator, event coordinator.Event) {
	w.steps++
	if w.steps == w.crashAt {
		if w.crashTakes {
			for _, out := range w.proposals {
				w.apply(out.commit)
			}
		}
		w.proposals = nil
		w.takeOver()
		return
	}
	for _, action := range to.Step(w.now, event) {
		w.perform(to, action)
	}
}

func (w *world) perform(by *coordinator.Coordinator, action coordinator.Action) {
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

func (w *world) cancel(by *coordinator.Coordinator, action coordinator.CancelSample) {
	if action.Move {
		w.moves = append(w.moves, action)
		return
	}
	w.attempts = slices.DeleteFunc(w.attempts, func(run *attemptRun) bool {
		return run.owner == by && run.start.ID == action.ID && run.start.Attempt == action.Attempt
	})
}

// tick lets time pass.
func (w *world) tick(by time.Duration) {
	w.now = w.now.Add(by)
	w.step(w.current, coordinator.LeaseRenewed{Until: w.now.Add(leaseTTL)})
	w.look()
}

func prompts(from port.PromptIndex, count int) []port.Prompt {
	list := make([]port.Prompt, 0, count)
	for index := from; index < from+port.PromptIndex(count); index++ {
		list = append(list, port.Prompt{Index: index, Text: fmt.Sprintf("prompt %d", index), Tokens: 3})
	}
	return list
}

// answerFetch answers the oldest fetch.
func (w *world) answerFetch(fail bool) {
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

// generate lets an attempt make tokens with the version that the replicas serve.
func (w *world) generate(run *attemptRun, tokens int) {
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

// finish ends an attempt with its whole text, progress reports one, fail ends it
// with an error.
func (w *world) finish(run *attemptRun) {
	if !run.ended {
		w.generate(run, w.length)
	}
	w.remove(run)
	w.noteTruth(run)
	w.step(run.owner, coordinator.SampleFinished{
		ID: run.start.ID, Attempt: run.start.Attempt, Replica: "replica-1",
		Text: run.text, Tokens: spanTokens(run.spans), Spans: run.spans,
	})
}

func (w *world) progress(run *attemptRun, tokens int) {
	w.generate(run, tokens)
	w.step(run.owner, coordinator.SampleProgress{
		ID: run.start.ID, Attempt: run.start.Attempt, Replica: "replica-1",
		Tokens: spanTokens(run.spans), Spans: run.spans,
	})
}

func (w *world) fail(run *attemptRun, partial bool) {
	w.remove(run)
	w.noteTruth(run)
	event := coordinator.SampleFailed{
		ID: run.start.ID, Attempt: run.start.Attempt, Replica: "replica-1",
		Err: port.NewError(port.MayHaveRun, port.CodeBackEnd, "engine crashed"),
	}
	if partial {
		event.Text, event.Tokens, event.Spans = run.text, spanTokens(run.spans), run.spans
	}
	w.step(run.owner, event)
}

// running finds the attempt that runs for a sample.
func (w *world) running(id port.SampleID) *attemptRun {
	for _, run := range w.attempts {
		if run.start.ID == id {
			return run
		}
	}
	w.t.Fatalf("sample %v does not run", id)
	return nil
}

// noteTruth remembers which text and versions an attempt truly has.
func (w *world) noteTruth(run *attemptRun) {
	texts := w.truths[run.start.ID]
	if texts == nil {
		texts = map[string][]port.Span{}
		w.truths[run.start.ID] = texts
	}
	resumed := texts[run.start.Resume]
	if spanTokens(resumed) != run.start.ResumeTokens {
		w.t.Fatalf("sample %v resumes from %q, which no engine made", run.start.ID, run.start.Resume)
	}
	texts[run.start.Resume+run.text] = append(slices.Clone(resumed), run.spans...)
}

func (w *world) remove(run *attemptRun) {
	run.ended = true
	w.attempts = slices.DeleteFunc(w.attempts, func(other *attemptRun) bool { return other == run })
}

// score answers a question to the scorer.
func (w *world) score(position int, fail bool) {
	asked := w.scores[position]
	w.scores = slices.Delete(w.scores, position, position+1)
	if fail {
		w.step(w.current, coordinator.ScoreFailed{ID: asked.ID, Err: port.NewError(port.MayHaveRun, port.CodeUnavailable, "scorer down")})
		return
	}
	w.step(w.current, coordinator.Scored{ID: asked.ID, Reward: 0.5})
}

// apply runs a proposal through the log and gives its result.
func (w *world) apply(commit coordinator.Commit) port.Result {
	result, known := w.answers[commit.ChangeID]
	if !known {
		result = port.Result{Index: uint64(len(w.answers) + 1)}
		result.Error = w.log.Commit(commit.Batch, ledger.Terms{
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

// commitOutcome says what becomes of a proposal.
type commitOutcome int

const (
	answered   commitOutcome = iota // applied, answer arrives
	answerLost                      // applied, answer lost
	neverSent                       // not applied, reported as not run
	unknown                         // not applied, but reported as may have run
)

// settle takes the oldest proposal to its outcome.
func (w *world) settle(outcome commitOutcome) {
	if len(w.proposals) == 0 {
		return
	}
	taken := w.proposals[0]
	w.proposals = w.proposals[1:]
	answer := coordinator.CommitAnswered{
		ChangeID: taken.commit.ChangeID, Number: taken.commit.Batch.Number, Attempt: taken.commit.Batch.Attempt,
	}
	switch outcome {
	case answered:
		answer.Result = w.apply(taken.commit)
	case answerLost:
		w.apply(taken.commit)
		answer.Err = port.NewError(port.MayHaveRun, port.CodeUnavailable, "connection lost")
	case neverSent:
		answer.Err = port.NewError(port.NotRun, port.CodeUnavailable, "no leader")
	case unknown:
		answer.Err = port.NewError(port.MayHaveRun, port.CodeUnavailable, "connection lost")
	}
	w.step(taken.owner, answer)
}

// ledgerState gives the pool's state in the log with the version that is published.
func (w *world) ledgerState() port.LedgerState {
	state := w.log.State(poolName)
	state.Published = w.published
	return state
}

// read answers a ReadLedger.
func (w *world) read() {
	if w.reads > 0 {
		w.reads--
		w.step(w.current, coordinator.LedgerRead{State: w.ledgerState()})
	}
}

func (w *world) publish() {
	w.published++
	w.step(w.current, coordinator.WeightsPublished{Weights: port.PublishedWeights{Pool: poolName, Version: w.published}})
	w.look()
}

// ask sends the trainer's question for a batch and gives its token.
func (w *world) ask(number port.BatchNumber, epoch port.Epoch, wait time.Duration) uint64 {
	w.tokens++
	w.questions = append(w.questions, question{token: w.tokens, number: number, epoch: epoch, asked: w.current})
	token := w.tokens
	w.asked = max(w.asked, number)
	w.step(w.current, coordinator.BatchRequested{
		Token: token, Number: number, ConsumerEpoch: epoch, Deadline: w.now.Add(wait),
	})
	return token
}

func (w *world) closeQuestion(token uint64) (question, bool) {
	for position, open := range w.questions {
		if open.token == token {
			w.questions = slices.Delete(w.questions, position, position+1)
			return open, true
		}
	}
	return question{}, false
}

// receive checks a delivery against the log and the engines' truth; the trainer
// uses it if it still waits for the answer.
func (w *world) receive(delivery coordinator.Deliver) {
	open, waiting := w.closeQuestion(delivery.Token)
	if !waiting {
		return
	}
	if open.number != delivery.Number {
		w.t.Fatalf("asked for batch %d, got %d", open.number, delivery.Number)
	}
	w.arrived[delivery.Token] = delivery
	if delivery.Number == w.next && open.epoch == w.trainer {
		w.closeOthers(open)
	}
	committed, found := w.commits[batchKey(delivery.Number, delivery.Attempt)]
	if !found {
		w.t.Fatalf("batch %d attempt %d left before it was committed", delivery.Number, delivery.Attempt)
	}
	w.checkBatch(delivery, committed)
	if open.epoch == w.trainer && open.number == w.next {
		w.use(delivery)
	}
}

// closeOthers is what a trainer does once it has its answer: its other questions
// for the batch end.
func (w *world) closeOthers(open question) {
	for _, other := range slices.Clone(w.questions) {
		if other.number == open.number && other.epoch == open.epoch && other.asked != open.asked {
			w.closeQuestion(other.token)
		}
	}
}

func (w *world) checkBatch(delivery coordinator.Deliver, committed commitRecord) {
	if len(delivery.Samples) != w.sampling.BatchSamples || len(committed.samples) != len(delivery.Samples) {
		w.t.Fatalf("batch %d has %d samples, %d committed", delivery.Number, len(delivery.Samples), len(committed.samples))
	}
	groups := map[port.PromptIndex]int{}
	for position, sample := range delivery.Samples {
		groups[sample.Prompt.Index]++
		if committed.samples[position].ID != sample.ID {
			w.t.Fatalf("batch %d delivers %v, committed is %v", delivery.Number, sample.ID, committed.samples[position].ID)
		}
		truth, made := w.truths[sample.ID][sample.Text]
		if !made {
			w.t.Fatalf("sample %v has text %q, which no engine made", sample.ID, sample.Text)
		}
		if port.OldestVersion(sample.Spans) != port.OldestVersion(truth) || spanTokens(sample.Spans) != spanTokens(truth) {
			w.t.Fatalf("sample %v names spans %v, true are %v", sample.ID, sample.Spans, truth)
		}
		age := int64(committed.published) - int64(port.OldestVersion(truth))
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

// use trains on a batch: from here on it must never come again.
func (w *world) use(delivery coordinator.Deliver) {
	for number, earlier := range w.used {
		if number == delivery.Number {
			continue
		}
		for _, sample := range delivery.Samples {
			for _, other := range earlier.Samples {
				if other.ID == sample.ID || other.Prompt.Index == sample.Prompt.Index {
					w.t.Fatalf("sample %v of prompt %d came in batch %d and in batch %d", sample.ID, sample.Prompt.Index, number, delivery.Number)
				}
			}
		}
	}
	w.used[delivery.Number] = delivery
	w.next = delivery.Number + 1
}

func (w *world) refuse(action coordinator.Refuse) {
	w.refusals[action.Token] = action.Err
	w.closeQuestion(action.Token)
}

// settleAll runs everything that is out to a good end until nothing is left or
// rounds are used up.
func (w *world) settleAll(rounds int) {
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
			w.settle(answered)
		}
		for w.reads > 0 {
			w.read()
		}
		w.endMoves()
		w.tick(250 * time.Millisecond)
	}
}

// endMoves ends attempts that were told to move, with what they made so far.
func (w *world) endMoves() {
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

// train asks for a batch and runs the world until it came.
func (w *world) train() {
	w.t.Helper()
	number := w.next
	for range 200 {
		if w.next > number {
			return
		}
		if len(w.questions) == 0 {
			w.ask(number, w.trainer, 10*time.Second)
		}
		w.settleAll(1)
	}
	w.t.Fatalf("batch %d never came: %+v, refusals %v", number, w.current.Status(), w.refusals[w.tokens])
}
