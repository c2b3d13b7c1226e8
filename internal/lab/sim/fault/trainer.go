package fault

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Timing of the trainer.
const (
	stepTime      = 400 * time.Millisecond
	batchTimeout  = 2 * time.Second
	trainerPause  = 100 * time.Millisecond
	publishEvery  = 2
	trainerName   = "trainer"
	answerTimeout = 10 * time.Second
	// publicationTimeout is the publication timeout of the nodes.
	publicationTimeout = 250 * time.Millisecond
)

// trainer requests batches by number, trains on each and publishes versions.
type trainer struct {
	process
	world *world
	calls int
	// The checkpoint survives a crash.
	next        port.BatchNumber
	version     port.WeightVersion
	unpublished int
	// The epoch is lost in a crash.
	epoch port.Epoch
	// Numbers of upcoming requests or publications that a fault affects.
	repeatNext, previousNext, publishEarlyNext int
	// batches counts the batches trained on.
	batches     int
	lastBatchAt time.Duration
}

func (w *world) newTrainer() *trainer {
	return &trainer{process: process{name: trainerName, up: true}, world: w, next: 1, version: firstVersion}
}

// start registers the trainer and resumes from the checkpoint.
func (t *trainer) start() {
	t.epoch = 0
	t.retryUntilDone(func(done func(bool)) {
		t.world.registerAt(t, t.target(), func(consumer *port.Consumer, failure *port.Error) {
			if failure == nil {
				t.epoch = consumer.Epoch
			}
			done(failure == nil)
		})
	}, t.receive)
}

// target returns the next node in round-robin order.
func (t *trainer) target() *node {
	t.calls++
	return t.world.nodes[t.calls%len(t.world.nodes)]
}

// retryUntilDone repeats a call until it succeeds or the trainer dies.
func (t *trainer) retryUntilDone(call func(done func(bool)), then func()) {
	incarnation := t.incarnation
	var again func()
	again = func() {
		answered := false
		call(func(success bool) {
			switch {
			case answered || t.incarnation != incarnation:
			case success:
				answered = true
				then()
			default:
				answered = true
				t.world.after(trainerPause, func() {
					if t.incarnation == incarnation {
						again()
					}
				})
			}
		})
	}
	again()
}

// receive requests the next batch until it arrives.
func (t *trainer) receive() {
	number := t.next
	t.retryUntilDone(func(done func(bool)) {
		if t.repeatNext > 0 {
			t.repeatNext--
			t.requestBatch(number, func(batch *coordinator.Deliver, version port.WeightVersion, _ *port.Error) {
				if batch != nil {
					t.recordDelivery(batch, version, false)
				}
			})
		}
		if t.previousNext > 0 && number > 1 {
			t.previousNext--
			t.requestPrevious(number)
		}
		t.requestBatch(number, func(batch *coordinator.Deliver, version port.WeightVersion, failure *port.Error) {
			switch {
			case batch != nil && t.next == number:
				done(true)
				t.train(batch, version)
			case failure != nil && failure.Code == port.CodeFenced:
				t.register(func() { done(false) })
			default:
				done(false)
			}
		})
	}, func() {})
}

// requestPrevious requests the batch before number once batch number was received.
// The previous batch is acknowledged by then, so receiving it is a second delivery.
func (t *trainer) requestPrevious(number port.BatchNumber) {
	incarnation := t.incarnation
	t.world.after(stepTime, func() {
		switch {
		case t.incarnation != incarnation:
		case t.next <= number:
			t.requestPrevious(number)
		default:
			t.requestBatch(number-1, func(batch *coordinator.Deliver, version port.WeightVersion, _ *port.Error) {
				if batch != nil {
					t.recordDelivery(batch, version, true)
				}
			})
		}
	})
}

func (t *trainer) register(then func()) {
	t.world.registerAt(t, t.target(), func(consumer *port.Consumer, failure *port.Error) {
		if failure == nil {
			t.epoch = consumer.Epoch
		}
		then()
	})
}

// requestBatch requests a batch from a node. Handle gets the trainer's version at the
// time of the request.
func (t *trainer) requestBatch(number port.BatchNumber, handle func(*coordinator.Deliver, port.WeightVersion, *port.Error)) {
	w, version, epoch := t.world, t.version, t.epoch
	target := t.target()
	incarnation, done := t.incarnation, false
	answer := func(batch *coordinator.Deliver, failure *port.Error) {
		if !done && t.incarnation == incarnation {
			done = true
			handle(batch, version, failure)
		}
	}
	s := w.dial(&t.process, &target.process, func(s *stream) {
		target.batch(s, number, epoch, answer)
	}, func(failure *port.Error) { answer(nil, failure) })
	w.after(answerTimeout, func() {
		s.close()
		answer(nil, connectionLost())
	})
}

// recordDelivery records a delivery for the audit and returns its index.
func (t *trainer) recordDelivery(batch *coordinator.Deliver, version port.WeightVersion, trained bool) int {
	delivery := audit.Delivery{
		Trainer: trainerName, Pool: string(trainingPool), Batch: uint64(batch.Number), Attempt: batch.Attempt,
		Version: version, Trained: trained, At: t.world.queue.Now(),
	}
	for index := range batch.Samples {
		sample := &batch.Samples[index]
		delivery.Samples = append(delivery.Samples, audit.Sample{
			ID: sample.ID.String(), Prompt: sample.Prompt.Index, Call: audit.PromptKey(sample.Prompt.Text),
			Text: sample.Text, Tokens: sample.Tokens, Spans: sample.Spans,
		})
	}
	t.world.observed.rest.Deliveries = append(t.world.observed.rest.Deliveries, delivery)
	t.world.trace("trainer received batch %d attempt %d", batch.Number, batch.Attempt)
	if len(batch.Samples) != batchSamples {
		t.world.fail("batch %d has %d samples, want %d", batch.Number, len(batch.Samples), batchSamples)
	}
	return len(t.world.observed.rest.Deliveries) - 1
}

// train trains on a batch; a crash during the step loses it.
func (t *trainer) train(batch *coordinator.Deliver, version port.WeightVersion) {
	w, incarnation := t.world, t.incarnation
	index := t.recordDelivery(batch, version, false)
	w.after(stepTime, func() {
		if t.incarnation != incarnation {
			return
		}
		w.observed.rest.Deliveries[index].Trained = true
		w.count.delivered += len(batch.Samples)
		t.next = batch.Number + 1
		t.batches++
		t.lastBatchAt = w.queue.Now()
		t.finishStep()
	})
}

// finishStep publishes a version when it is due, and requests the next batch after the
// publication, or, as a fault, concurrently with it.
func (t *trainer) finishStep() {
	t.unpublished++
	if t.unpublished < publishEvery {
		t.receive()
		return
	}
	t.unpublished = 0
	version := t.version + 1
	published := func() { t.version = max(t.version, version) }
	if t.publishEarlyNext > 0 {
		t.publishEarlyNext--
		t.publish(version, published)
		t.receive()
		return
	}
	t.publish(version, func() {
		published()
		t.receive()
	})
}

// publish publishes a version until it is accepted. A conflict means that an earlier
// attempt was accepted and its answer lost.
func (t *trainer) publish(version port.WeightVersion, then func()) {
	w := t.world
	t.retryUntilDone(func(done func(bool)) {
		publish := port.PublishWeights{Pool: trainingPool, Version: version, Bytes: weightBytes, ConsumerEpoch: t.epoch}
		w.proposeAt(t, t.target(), port.Command{PublishWeights: &publish}, func(result port.Result, failure *port.Error) {
			alreadyPublished := failure == nil && result.Error != nil && result.Error.Code == port.CodeConflict
			fenced := failure == nil && result.Error != nil && result.Error.Code == port.CodeFenced
			if fenced {
				t.register(func() { done(false) })
				return
			}
			done(failure == nil && result.Error == nil || alreadyPublished)
		})
	}, then)
}

// crash loses all state but the checkpoint and restarts the trainer later.
func (t *trainer) crash(downtime time.Duration) {
	if !t.up {
		return
	}
	t.world.kill(&t.process)
	t.world.after(downtime, func() {
		t.up = true
		t.start()
	})
}

// proposeAt submits a command of the trainer through a node.
func (w *world) proposeAt(t *trainer, target *node, command port.Command, handle func(port.Result, *port.Error)) {
	incarnation, done := t.incarnation, false
	answer := func(result port.Result, failure *port.Error) {
		if !done && t.incarnation == incarnation {
			done = true
			handle(result, failure)
		}
	}
	s := w.dial(&t.process, &target.process, func(s *stream) {
		if target.draining {
			s.answer(true, func() { answer(port.Result{}, unreachable(&target.process)) })
			return
		}
		end := target.trackRequest()
		target.propose(command, func(result port.Result, failure *port.Error) {
			s.answer(true, func() { answer(result, failure) })
			end()
		})
	}, func(failure *port.Error) { answer(port.Result{}, failure) })
	w.after(answerTimeout, func() {
		s.close()
		answer(port.Result{}, connectionLost())
	})
}

func (w *world) registerAt(t *trainer, target *node, handle func(*port.Consumer, *port.Error)) {
	register := port.RegisterConsumer{Pool: trainingPool, Consumer: trainerName}
	w.proposeAt(t, target, port.Command{RegisterConsumer: &register}, func(result port.Result, failure *port.Error) {
		switch {
		case failure != nil:
			handle(nil, failure)
		case result.Error != nil:
			handle(nil, result.Error)
		default:
			handle(result.Consumer, nil)
		}
	})
}

// progress describes the trainer's position for failure messages.
func (t *trainer) progress() string { return fmt.Sprintf("batch %d, version %d", t.next, t.version) }
