package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

const (
	retryPause    = 100 * time.Millisecond
	maxBatchBytes = 256 << 20
	// trainerIdleTimeout is below the time that nodes announce (Keep-Alive), so
	// that a call does not meet a connection that is just being closed.
	trainerIdleTimeout = time.Second
)

// statusError is an error answer of loomgrade.
type statusError struct {
	status int
	detail api.ErrorDetail
}

// Error gives the answer in one line.
func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s (%s): %s", e.status, e.detail.Code, e.detail.Verdict, e.detail.Message)
}

// ReadOnce hides what kind of body it is, also that it is empty. The HTTP client
// repeats requests by itself whose body it can take for repeatable, and the
// record of attempts would then be wrong.
type ReadOnce struct{ io.Reader }

// call sends one request to a node and decodes a good answer.
func (t *Trainer) call(ctx context.Context, node, method, path string, body, answer any) error {
	return t.exchange(ctx, node, method, path, body, answer, func() {})
}

// exchange is a call that tells when the head of a good answer has come.
func (t *Trainer) exchange(ctx context.Context, node, method, path string, body, answer any, headCame func()) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, node+path, ReadOnce{bytes.NewReader(encoded)})
	if err != nil {
		return err
	}
	request.ContentLength = int64(len(encoded))
	request.Header.Set("Content-Type", contentTypeJSON)
	if t.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+t.config.Token)
	}
	began := since()
	response, err := t.client.Do(request)
	if err != nil {
		t.noteCutOff(ctx, node, method+" "+path, began, err)
		return err
	}
	defer response.Body.Close()
	limited := io.LimitReader(response.Body, maxBatchBytes)
	if response.StatusCode/100 != 2 {
		var fault api.ErrorBody
		_ = json.NewDecoder(limited).Decode(&fault) // the status says enough
		return &statusError{response.StatusCode, fault.Error}
	}
	headCame()
	err = json.NewDecoder(limited).Decode(answer)
	if err != nil {
		t.noteCutOff(ctx, node, method+" "+path, began, err)
	}
	return err
}

// noteCutOff records a call whose connection ended without a whole answer. One
// whose connection was never made is none, nor is one that the trainer's own
// end cut off.
func (t *Trainer) noteCutOff(ctx context.Context, node, what string, began time.Duration, err error) {
	var operation *net.OpError
	if ctx.Err() != nil || errors.As(err, &operation) && operation.Op == "dial" {
		return
	}
	t.recorder.add(audit.Observations{Calls: []audit.Call{{
		Class: "trainer", Target: strings.TrimPrefix(node, "http://"), Key: fmt.Sprintf("%s at %d", what, began),
		Outcome: audit.OutcomeLost, Detail: err.Error(), StartedAt: began, EndedAt: since(),
	}}})
}

// untilDone repeats a call over the nodes, beginning with the one that answered
// last, until it succeeds, which it reports, or ctx ends. A trainer that was fenced off registers again.
func (t *Trainer) untilDone(ctx context.Context, call func(node string) error) bool {
	for ctx.Err() == nil {
		position, node := t.goodNode()
		err := call(node)
		if err == nil {
			return true
		}
		t.mutex.Lock()
		t.stats.LastError = err.Error()
		t.good = (position + 1) % len(t.config.Nodes)
		t.mutex.Unlock()
		if hasCode(err, port.CodeFenced) {
			// Without success the next attempt is fenced off and comes here again.
			_ = t.register(ctx, node)
		}
		pause(ctx, retryPause)
	}
	return false
}

// goodNode returns the node to ask next.
func (t *Trainer) goodNode() (position int, url string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.good, t.config.Nodes[t.good]
}

func (t *Trainer) path(pattern string, number uint64) string {
	replacer := strings.NewReplacer("{pool}", url.PathEscape(t.config.Pool), "{number}", strconv.FormatUint(number, 10))
	return replacer.Replace(pattern)
}

// hasCode reports whether an error is loomgrade's answer with this code.
func hasCode(err error, code port.Code) bool {
	var fault *statusError
	return errors.As(err, &fault) && fault.detail.Code == string(code)
}

// register makes this trainer the pool's consumer.
func (t *Trainer) register(ctx context.Context, node string) error {
	var consumer port.Consumer
	body := api.RegisterConsumer{Consumer: t.config.Name}
	if err := t.call(ctx, node, http.MethodPost, t.path(api.PathConsumers, 0), body, &consumer); err != nil {
		return err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.epoch = consumer.Epoch
	if t.stats.NextBatch == 0 {
		t.stats.NextBatch = max(uint64(consumer.Next), 1)
	}
	return nil
}

// consumerEpoch returns the epoch of the last registration.
func (t *Trainer) consumerEpoch() port.Epoch {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.epoch
}

// receive asks for a batch until it has come whole.
func (t *Trainer) receive(life context.Context, number uint64) (audit.Delivery, bool) {
	if _, again := t.faults.take(FaultRepeatPrevious); again && number > 2 {
		// The batch before is acknowledged only by the question to come.
		t.askAgain(life, number-2)
	}
	var received receivedBatch
	ok := t.untilDone(life, func(node string) error {
		if _, twice := t.faults.take(FaultDuplicateRequest); twice {
			t.work.Go(func() { t.askAtOnce(life, number) })
		}
		var err error
		if received, err = t.ask(life, node, number); err != nil {
			return err
		}
		if received.Number != number {
			return fmt.Errorf("asked for batch %d and got %d", number, received.Number)
		}
		return nil
	})
	return t.observe(received), ok
}

// receivedBatch is an answer with its course.
type receivedBatch struct {
	api.Batch
	askedAt, headAt time.Duration
	headVersion     uint64
}

func (t *Trainer) ask(life context.Context, node string, number uint64) (receivedBatch, error) {
	query := url.Values{}
	query.Set(api.QueryConsumerEpoch, strconv.FormatUint(uint64(t.consumerEpoch()), 10))
	query.Set(api.QueryWaitMs, strconv.FormatInt(t.config.Wait.Milliseconds(), 10))
	received := receivedBatch{askedAt: since()}
	path := t.path(api.PathBatch, number) + "?" + query.Encode()
	err := t.exchange(life, node, http.MethodGet, path, nil, &received.Batch, func() {
		received.headAt, received.headVersion = since(), t.Stats().Version
	})
	return received, err
}

// askAtOnce asks for the batch that is being asked for anyway, over the last
// node, and throws the answer away after recording it.
func (t *Trainer) askAtOnce(life context.Context, number uint64) {
	if received, err := t.ask(life, t.config.Nodes[len(t.config.Nodes)-1], number); err == nil {
		t.recorder.add(audit.Observations{Deliveries: []audit.Delivery{t.observe(received)}})
	}
}

// askAgain asks for a batch that was acknowledged. Getting it would be a
// second delivery, and is recorded as one.
func (t *Trainer) askAgain(life context.Context, number uint64) {
	if received, err := t.ask(life, t.config.Nodes[0], number); err == nil && len(received.Samples) > 0 {
		delivery := t.observe(received)
		delivery.Trained = true
		t.recorder.add(audit.Observations{Deliveries: []audit.Delivery{delivery}})
	}
}

// publish announces a version until loomgrade has it. Resends under one
// consumer epoch carry the same change id. A conflict means that an earlier
// attempt was accepted and its answer lost.
func (t *Trainer) publish(life context.Context, version uint64) bool {
	return t.untilDone(life, func(node string) error {
		body := api.PublishWeights{
			Version: version, Bytes: t.config.WeightBytes, ConsumerEpoch: uint64(t.consumerEpoch()),
		}
		var published api.PublishedWeights
		err := t.call(life, node, http.MethodPost, t.path(api.PathWeights, 0), body, &published)
		if hasCode(err, port.CodeConflict) {
			return nil
		}
		return err
	})
}
