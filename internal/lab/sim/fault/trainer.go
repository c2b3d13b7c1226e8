package fault

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Pacing of the trainer.
const (
	stepTime     = 400 * time.Millisecond
	askWait      = 2 * time.Second
	trainerPause = 100 * time.Millisecond
	publishEvery = 2
	trainerName  = "trainer"
	answerWait   = 10 * time.Second
	// publicationTimeout is that of the nodes.
	publicationTimeout = 250 * time.Millisecond
)

// trainer asks for batches by number, trains on each and publishes versions.
type trainer struct {
	process
	world *world
	turn  int
	// The checkpoint survives a crash.
	next        port.BatchNumber
	version     port.WeightVersion
	unpublished int
	// The rest doesn't.
	epoch port.Epoch
	// Faults that concern the next question or publication.
	twice, previous, early int
	// received and kept count the batches.
	kept     int
	lastKept time.Duration
}

func (w *world) newTrainer() *trainer {
	return &trainer{process: process{name: trainerName, up: true}, world: w, next: 1, version: firstVersion}
}

// start begins a life from the checkpoint.
func (t *trainer) start() {
	t.epoch = 0
	t.untilDone(func(done func(bool)) {
		t.world.registerAt(t, t.target(), func(consumer *port.Consumer, failure *port.Error) {
			if failure == nil {
				t.epoch = consumer.Epoch
			}
			done(failure == nil)
		})
	}, t.receive)
}

// target gives the node to ask next.
func (t *trainer) target() *node {
	t.turn++
	return t.world.nodes[t.turn%len(t.world.nodes)]
}

// untilDone repeats a call until it succeeds, while the trainer lives.
func (t *trainer) untilDone(call func(done func(bool)), then func()) {
	life := t.life
	var again func()
	again = func() {
		answered := false
		call(func(success bool) {
			switch {
			case answered || t.life != life:
			case success:
				answered = true
				then()
			default:
				answered = true
				t.world.after(trainerPause, func() {
					if t.life == life {
						again()
					}
				})
			}
		})
	}
	again()
}

// receive asks for the next batch until it has come.
func (t *trainer) receive() {
	number := t.next
	t.untilDone(func(done func(bool)) {
		if t.twice > 0 {
			t.twice--
			t.ask(number, func(batch *coordinator.Deliver, version port.WeightVersion, _ *port.Error) {
				if batch != nil {
					t.note(batch, version, false)
				}
			})
		}
		if t.previous > 0 && number > 1 {
			t.previous--
			t.askBack(number)
		}
		t.ask(number, func(batch *coordinator.Deliver, version port.WeightVersion, failure *port.Error) {
			switch {
			case batch != nil && t.next == number:
				done(true)
				t.learn(batch, version)
			case failure != nil && failure.Code == port.CodeFenced:
				t.register(func() { done(false) })
			default:
				done(false)
			}
		})
	}, func() {})
}

// askBack asks for the batch before, once the question for this one has been
// answered: by then it is acknowledged, and getting it is a second delivery.
func (t *trainer) askBack(number port.BatchNumber) {
	life := t.life
	t.world.after(stepTime, func() {
		switch {
		case t.life != life:
		case t.next <= number:
			t.askBack(number)
		default:
			t.ask(number-1, func(batch *coordinator.Deliver, version port.WeightVersion, _ *port.Error) {
				if batch != nil {
					t.note(batch, version, true)
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

// ask asks a node for a batch. The version is the trainer's newest when it asked:
// bytes that have left can't be called back when it publishes meanwhile.
func (t *trainer) ask(number port.BatchNumber, take func(*coordinator.Deliver, port.WeightVersion, *port.Error)) {
	w, version, epoch := t.world, t.version, t.epoch
	target := t.target()
	life, once := t.life, false
	answer := func(batch *coordinator.Deliver, failure *port.Error) {
		if !once && t.life == life {
			once = true
			take(batch, version, failure)
		}
	}
	s := w.dial(&t.process, &target.process, func(s *stream) {
		target.batch(s, number, epoch, answer)
	}, func(failure *port.Error) { answer(nil, failure) })
	w.after(answerWait, func() {
		s.close()
		answer(nil, cutOff())
	})
}

// note records a delivery as the trainer saw it.
func (t *trainer) note(batch *coordinator.Deliver, version port.WeightVersion, trained bool) int {
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
	t.world.seen.rest.Deliveries = append(t.world.seen.rest.Deliveries, delivery)
	t.world.trace("trainer got batch %d attempt %d", batch.Number, batch.Attempt)
	if len(batch.Samples) != batchSamples {
		t.world.fail("batch %d has %d samples, not %d", batch.Number, len(batch.Samples), batchSamples)
	}
	return len(t.world.seen.rest.Deliveries) - 1
}

// learn trains on a batch; a crash meanwhile loses it.
func (t *trainer) learn(batch *coordinator.Deliver, version port.WeightVersion) {
	w, life := t.world, t.life
	place := t.note(batch, version, false)
	w.after(stepTime, func() {
		if t.life != life {
			return
		}
		w.seen.rest.Deliveries[place].Trained = true
		w.count.delivered += len(batch.Samples)
		t.next = batch.Number + 1
		t.kept++
		t.lastKept = w.queue.Now()
		t.trained()
	})
}

// trained publishes when it is due, and asks for the next batch: after the
// publication, or as a fault at the same time.
func (t *trainer) trained() {
	t.unpublished++
	if t.unpublished < publishEvery {
		t.receive()
		return
	}
	t.unpublished = 0
	version := t.version + 1
	published := func() { t.version = max(t.version, version) }
	if t.early > 0 {
		t.early--
		t.publish(version, published)
		t.receive()
		return
	}
	t.publish(version, func() {
		published()
		t.receive()
	})
}

// publish announces a version until loomgrade has it. A conflict means that an
// earlier try was accepted and its answer lost.
func (t *trainer) publish(version port.WeightVersion, then func()) {
	w := t.world
	t.untilDone(func(done func(bool)) {
		publish := port.PublishWeights{Pool: trainingPool, Version: version, Bytes: weightBytes, ConsumerEpoch: t.epoch}
		w.proposeAt(t, t.target(), port.Command{PublishWeights: &publish}, func(result port.Result, failure *port.Error) {
			known := failure == nil && result.Error != nil && result.Error.Code == port.CodeConflict
			fenced := failure == nil && result.Error != nil && result.Error.Code == port.CodeFenced
			if fenced {
				t.register(func() { done(false) })
				return
			}
			done(failure == nil && result.Error == nil || known)
		})
	}, then)
}

// crash loses what is not in the checkpoint; a new life begins later.
func (t *trainer) crash(away time.Duration) {
	if !t.up {
		return
	}
	t.world.kill(&t.process)
	t.world.after(away, func() {
		t.up = true
		t.start()
	})
}

// proposeAt lets a node put a command of the trainer through the log.
func (w *world) proposeAt(t *trainer, target *node, command port.Command, take func(port.Result, *port.Error)) {
	life, once := t.life, false
	answer := func(result port.Result, failure *port.Error) {
		if !once && t.life == life {
			once = true
			take(result, failure)
		}
	}
	s := w.dial(&t.process, &target.process, func(s *stream) {
		if target.draining {
			s.answer(true, func() { answer(port.Result{}, notReached(&target.process)) })
			return
		}
		end := target.begin()
		target.propose(command, func(result port.Result, failure *port.Error) {
			s.answer(true, func() { answer(result, failure) })
			end()
		})
	}, func(failure *port.Error) { answer(port.Result{}, failure) })
	w.after(answerWait, func() {
		s.close()
		answer(port.Result{}, cutOff())
	})
}

func (w *world) registerAt(t *trainer, target *node, take func(*port.Consumer, *port.Error)) {
	register := port.RegisterConsumer{Pool: trainingPool, Consumer: trainerName}
	w.proposeAt(t, target, port.Command{RegisterConsumer: &register}, func(result port.Result, failure *port.Error) {
		switch {
		case failure != nil:
			take(nil, failure)
		case result.Error != nil:
			take(nil, result.Error)
		default:
			take(result.Consumer, nil)
		}
	})
}

// progress says what the trainer reached, for reports.
func (t *trainer) progress() string { return fmt.Sprintf("batch %d, version %d", t.next, t.version) }
