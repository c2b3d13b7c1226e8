package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// kvBlob describes an exported KV cache. It has no data; the model simulates the
// transfer time.
type kvBlob struct {
	Key    uint64 `json:"key"`
	Tokens int    `json:"tokens"`
}

// exportResult is the result of an export.
type exportResult struct {
	handle string
	blob   kvBlob
}

const (
	fetchTimeout = 5 * time.Second
	maxBlobBytes = 4 << 10
)

// handleExport stops a running request and returns the handle of its KV cache when the
// transfer is done. The request's own stream ends with finish reason "exported".
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	if e.applyFaults(w, r) {
		return
	}
	var body api.KVExport
	if !readJSON(w, r, &body) {
		return
	}
	e.mutex.Lock()
	err := e.model.Export(e.now(), body.RequestID)
	done := make(chan exportResult, 1)
	if err == nil {
		e.exports[body.RequestID] = done
		e.wakeDriver()
	}
	crashed := e.incarnation.Done()
	e.mutex.Unlock()
	if err != nil {
		fault, status := modelError(err)
		writeError(w, status, fault)
		return
	}
	select {
	case result := <-done:
		bytes := uint64(result.blob.Tokens) * uint64(e.model.Config().KVBytesPerToken)
		writeJSON(w, api.KVHandle{Handle: result.handle, Bytes: bytes, Tokens: result.blob.Tokens})
	case <-crashed:
		abortConnection()
	case <-r.Context().Done():
	}
}

// finishExport publishes the handle of a finished export. The mutex must be held.
func (e *Engine) finishExport(event engine.Event) {
	result := exportResult{blob: kvBlob{Tokens: event.Count}}
	if s := e.streams[event.ID]; s != nil {
		result.blob.Key = s.generation.Key
		e.recorder.endGeneration(s.generation, audit.EndExported)
		s.push(event)
		delete(e.streams, event.ID)
	}
	e.lastID++
	name := fmt.Sprintf("%d-%d", e.model.Load().Incarnation, e.lastID)
	result.handle = e.URL() + "/v1/kv/" + name
	e.blobs[name] = result.blob
	e.handles = append(e.handles, name)
	if len(e.handles) > maxBlobs {
		delete(e.blobs, e.handles[0])
		e.handles = e.handles[1:]
	}
	if done := e.exports[event.ID]; done != nil {
		done <- result
		delete(e.exports, event.ID)
	}
}

func (e *Engine) handleBlob(w http.ResponseWriter, r *http.Request) {
	if e.applyFaults(w, r) {
		return
	}
	e.mutex.Lock()
	blob, found := e.blobs[r.PathValue("handle")]
	e.mutex.Unlock()
	if !found {
		fault, status := modelError(engine.ErrUnknownRequest)
		writeError(w, status, fault)
		return
	}
	writeJSON(w, blob)
}

// fetchBlob returns the number of context tokens in the KV cache behind a handle. It
// returns 0 if the cache is unavailable or has other content; the engine then computes
// the context itself.
func (e *Engine) fetchBlob(ctx context.Context, handle string, key uint64) int {
	if handle == "" {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, handle, nil)
	if err != nil {
		return 0
	}
	response, err := e.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var blob kvBlob
	if response.StatusCode != http.StatusOK ||
		json.NewDecoder(io.LimitReader(response.Body, maxBlobBytes)).Decode(&blob) != nil || blob.Key != key {
		return 0
	}
	return blob.Tokens
}
