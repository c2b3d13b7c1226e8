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
	retryInterval = 100 * time.Millisecond
	maxBatchBytes = 256 << 20
	// trainerIdleTimeout is below the keep-alive timeout of nodes, so that no request is
	// sent on a connection that the node is closing.
	trainerIdleTimeout = time.Second
)

// statusError is an error response of loomgrade.
type statusError struct {
	status int
	detail api.ErrorDetail
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s (%s): %s", e.status, e.detail.Code, e.detail.Verdict, e.detail.Message)
}

// ReadOnce hides the type of a request body, even an empty one, from the HTTP client,
// which otherwise retries requests with replayable bodies by itself. Such retries would be
// missing in the record of attempts.
type ReadOnce struct{ io.Reader }

// call sends one request to a node and decodes a successful response.
func (t *Trainer) call(ctx context.Context, node, method, path string, body, answer any) error {
	return t.exchange(ctx, node, method, path, body, answer, func(*http.Response) {})
}

// exchange does the same as call and invokes onHeader when the header of a successful
// response arrives.
func (t *Trainer) exchange(ctx context.Context, node, method, path string, body, answer any, onHeader func(*http.Response)) error {
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
	if t.config.Cluster != "" {
		request.Header.Set(api.HeaderCluster, t.config.Cluster)
	}
	if t.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+t.config.Token)
	}
	start := unixNow()
	response, err := t.client.Do(request)
	if err != nil {
		t.recordLost(ctx, node, method+" "+path, start, err)
		return err
	}
	defer response.Body.Close()
	limited := io.LimitReader(response.Body, maxBatchBytes)
	if response.StatusCode/100 != 2 {
		var fault api.ErrorBody
		_ = json.NewDecoder(limited).Decode(&fault) // the status is enough
		return &statusError{response.StatusCode, fault.Error}
	}
	onHeader(response)
	err = json.NewDecoder(limited).Decode(answer)
	if err != nil {
		t.recordLost(ctx, node, method+" "+path, start, err)
	}
	return err
}

// recordLost records a call whose connection ended without a complete response. It ignores
// calls that never connected and those cancelled by the trainer itself.
func (t *Trainer) recordLost(ctx context.Context, node, what string, start time.Duration, err error) {
	var operation *net.OpError
	if ctx.Err() != nil || errors.As(err, &operation) && operation.Op == "dial" {
		return
	}
	t.recorder.add(audit.Observations{Calls: []audit.Call{{
		Class: "trainer", Target: strings.TrimPrefix(node, "http://"), Key: fmt.Sprintf("%s at %d", what, start),
		Outcome: audit.OutcomeLost, Detail: err.Error(), StartedAt: start, EndedAt: unixNow(),
	}}})
}

// retry calls the nodes in round-robin order, starting with the last one that answered,
// until one call succeeds or ctx ends, and reports success. A fenced trainer registers again.
func (t *Trainer) retry(ctx context.Context, call func(node string) error) bool {
	for ctx.Err() == nil {
		position, node := t.node()
		err := call(node)
		if err == nil {
			return true
		}
		t.mutex.Lock()
		t.stats.LastError = err.Error()
		t.currentNode = (position + 1) % len(t.config.Nodes)
		t.mutex.Unlock()
		if hasCode(err, port.CodeFenced) {
			// If this fails, the next attempt is fenced again.
			_ = t.register(ctx, node)
		}
		sleep(ctx, retryInterval)
	}
	return false
}

// node returns the node to call next.
func (t *Trainer) node() (position int, url string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.currentNode, t.config.Nodes[t.currentNode]
}

func (t *Trainer) path(pattern string, number uint64) string {
	replacer := strings.NewReplacer("{pool}", url.PathEscape(t.config.Pool), "{number}", strconv.FormatUint(number, 10))
	return replacer.Replace(pattern)
}

// hasCode reports whether an error is a response of loomgrade with this code.
func hasCode(err error, code port.Code) bool {
	var fault *statusError
	return errors.As(err, &fault) && fault.detail.Code == string(code)
}

// register registers the trainer as the pool's consumer.
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

// receiveBatch requests a batch until it is received completely.
func (t *Trainer) receiveBatch(ctx context.Context, number uint64) (audit.Delivery, bool) {
	if _, repeat := t.faults.consume(FaultRepeatPrevious); repeat && number > 2 {
		// The previous batch is acknowledged only by the next request.
		t.requestAcknowledged(ctx, number-2)
	}
	var received receivedBatch
	ok := t.retry(ctx, func(node string) error {
		if _, twice := t.faults.consume(FaultDuplicateRequest); twice {
			t.work.Go(func() { t.requestDuplicate(ctx, number) })
		}
		var err error
		if received, err = t.requestBatch(ctx, node, number); err != nil {
			return err
		}
		if received.Number != number {
			return fmt.Errorf("requested batch %d, got %d", number, received.Number)
		}
		return nil
	})
	return t.delivery(received), ok
}

// receivedBatch is a batch with the times of its request.
type receivedBatch struct {
	api.Batch
	requestedAt, headerAt time.Duration
	// headerVersion is the newest version whose publication had begun when the header
	// arrived; 0 if the header did not announce the length of the content.
	headerVersion uint64
}

func (t *Trainer) requestBatch(ctx context.Context, node string, number uint64) (receivedBatch, error) {
	query := url.Values{}
	query.Set(api.QueryConsumerEpoch, strconv.FormatUint(uint64(t.consumerEpoch()), 10))
	query.Set(api.QueryWaitMs, strconv.FormatInt(t.config.Wait.Milliseconds(), 10))
	received := receivedBatch{requestedAt: unixNow()}
	path := t.path(api.PathBatch, number) + "?" + query.Encode()
	err := t.exchange(ctx, node, http.MethodGet, path, nil, &received.Batch, func(response *http.Response) {
		received.headerAt = unixNow()
		if response.ContentLength >= 0 {
			received.headerVersion = t.newestBegun()
		}
	})
	return received, err
}

// newestBegun returns the newest version that was published or is being published.
func (t *Trainer) newestBegun() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return max(t.stats.Version, t.begun)
}

// requestDuplicate requests a batch that is already being requested, from the last node,
// and discards the response after recording it.
func (t *Trainer) requestDuplicate(ctx context.Context, number uint64) {
	if received, err := t.requestBatch(ctx, t.config.Nodes[len(t.config.Nodes)-1], number); err == nil {
		t.recorder.add(audit.Observations{Deliveries: []audit.Delivery{t.delivery(received)}})
	}
}

// requestAcknowledged requests a batch that was acknowledged. A response with samples is a
// second delivery and is recorded as one.
func (t *Trainer) requestAcknowledged(ctx context.Context, number uint64) {
	if received, err := t.requestBatch(ctx, t.config.Nodes[0], number); err == nil && len(received.Samples) > 0 {
		delivery := t.delivery(received)
		delivery.Trained = true
		t.recorder.add(audit.Observations{Deliveries: []audit.Delivery{delivery}})
	}
}

// publish publishes a version, retrying until loomgrade has accepted it. Retries under one
// consumer epoch have the same change id. A conflict means that an earlier attempt was
// accepted but its response was lost.
func (t *Trainer) publish(ctx context.Context, version uint64) bool {
	return t.retry(ctx, func(node string) error {
		body := api.PublishWeights{
			Version: version, Bytes: t.config.WeightBytes, ConsumerEpoch: uint64(t.consumerEpoch()),
		}
		var published api.PublishedWeights
		err := t.call(ctx, node, http.MethodPost, t.path(api.PathWeights, 0), body, &published)
		if hasCode(err, port.CodeConflict) {
			return nil
		}
		return err
	})
}
