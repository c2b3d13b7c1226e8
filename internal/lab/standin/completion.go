package standin

import (
	"context"
	"errors"
	"net/http"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// defaultMaxTokens applies to requests without max_tokens.
const defaultMaxTokens = 4096

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	if e.applyFaults(w, r) {
		return
	}
	var body api.Completion
	if !readJSON(w, r, &body) {
		return
	}
	key := engine.ContentKey(body.Prompt, body.Seed)
	if fault := checkResume(body, key); fault != nil {
		writeError(w, http.StatusBadRequest, fault)
		return
	}
	imported := e.fetchBlob(r.Context(), body.KVHandle, key)
	s, fault, status := e.submit(r, body, key, imported)
	if fault != nil {
		writeError(w, status, fault)
		return
	}
	defer e.releaseStream(s)
	e.answer(w, r.Context(), s, key)
}

// checkResume rejects a request whose resume text is not a prefix of its output.
func checkResume(body api.Completion, key uint64) *port.Error {
	if len(body.ResumeText) != body.ResumeTokens*engine.BytesPerToken || !engine.SameContent(body.ResumeText, key) {
		return port.InvalidField("resume_text", body.ResumeText[:min(len(body.ResumeText), 32)], "the start of this request's own output, resume_tokens long")
	}
	return nil
}

// submit passes a request to the model and opens its stream.
func (e *Engine) submit(r *http.Request, body api.Completion, key uint64, imported int) (*stream, *port.Error, int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	id := e.requestID(r)
	if fault, status := e.checkMinVersion(body); fault != nil {
		return nil, fault, status
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = defaultMaxTokens
	}
	request := e.modelRequest(id, body, key, imported)
	total := body.ResumeTokens + min(request.OutputTokens, request.MaxTokens)
	s := newStream(id, body, &audit.Generation{
		Engine: e.address, RequestID: id, Call: audit.PromptKey(body.Prompt),
		Key: key, FirstToken: body.ResumeTokens, TotalTokens: total,
	})
	if request.OutputTokens > 0 || request.PrefillOnly {
		if err := e.model.Submit(e.now(), request); err != nil {
			fault, status := modelError(err)
			return nil, fault, status
		}
		e.streams[id] = s
		e.recorder.startGeneration(s.generation)
		e.wakeDriver()
		return s, nil, 0
	}
	// The resumed text was already complete.
	e.recorder.startGeneration(s.generation)
	e.recorder.endGeneration(s.generation, audit.EndFinished)
	s.push(engine.Event{Kind: engine.EventFinished, ID: id, Completion: &engine.Completion{}})
	return s, nil, 0
}

// checkMinVersion rejects a request that needs newer weights than the engine serves.
func (e *Engine) checkMinVersion(body api.Completion) (*port.Error, int) {
	if body.MinVersion == 0 {
		return nil, 0
	}
	report := e.loadReport()
	if served, _ := report.Versions(body.Adapter); uint64(served) < body.MinVersion {
		fault := port.NewError(port.NotRun, port.CodeStale, "serves version %d, asked for %d or newer", served, body.MinVersion)
		return fault, http.StatusConflict
	}
	return nil, 0
}

func (e *Engine) modelRequest(id string, body api.Completion, key uint64, imported int) engine.Request {
	remaining := e.config.Lengths.Of(key) - body.ResumeTokens
	role := e.model.Load().Role
	return engine.Request{
		ID: id, Priority: body.Priority, Adapter: body.Adapter,
		PromptTokens: engine.CountTokens(body.Prompt),
		PromptBlocks: engine.HashBlocks(body.Prompt, e.model.Config().BlockTokens),
		ContentKey:   key, ResumedTokens: body.ResumeTokens, ImportedTokens: imported,
		OutputTokens: max(remaining, 0), MaxTokens: body.MaxTokens,
		PrefillOnly: role == engine.RolePrefill,
	}
}

// modelError converts an error of the model into an API error and a status. The
// request has not run.
func modelError(err error) (*port.Error, int) {
	code, status := port.CodeConflict, http.StatusConflict
	switch {
	case errors.Is(err, engine.ErrQueueFull):
		code, status = port.CodeQueueFull, http.StatusServiceUnavailable
	case errors.Is(err, engine.ErrDown):
		code, status = port.CodeUnavailable, http.StatusServiceUnavailable
	case errors.Is(err, engine.ErrTooLarge):
		code, status = port.CodeTooLarge, http.StatusRequestEntityTooLarge
	case errors.Is(err, engine.ErrEmpty):
		code, status = port.CodeInvalid, http.StatusBadRequest
	case errors.Is(err, engine.ErrAdapterNotLoaded), errors.Is(err, engine.ErrUnknownRequest):
		code, status = port.CodeNotFound, http.StatusNotFound
	}
	return port.NewError(port.NotRun, code, "%v", err), status
}

// releaseStream removes a request from the engine when its handler returns, unless its
// KV cache is waiting for an export or being exported.
func (e *Engine) releaseStream(s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.streams[s.id] != s || s.awaitingExport || e.exports[s.id] != nil {
		return
	}
	delete(e.streams, s.id)
	e.model.Cancel(e.now(), s.id)
	e.recorder.endGeneration(s.generation, audit.EndCancelled)
}

// answer writes the events of a request as they arrive.
func (e *Engine) answer(w http.ResponseWriter, ctx context.Context, s *stream, key uint64) {
	writer := &answerWriter{http: w, id: s.id, body: s.body, key: key, position: s.body.ResumeTokens}
	if fault, cut := e.faults.consume(FaultCut); cut {
		writer.cutAfter = max(s.generation.TotalTokens/2, 1)
		if fault.Factor > 0 {
			writer.cutAfter = int(fault.Factor)
		}
	}
	if _, mix := e.faults.consume(FaultMix); mix {
		writer.id, writer.key = "mixed-"+s.id, key+1
	}
	late, isLate := e.faults.consume(FaultLate)
	for {
		select {
		case <-s.notify:
		case <-ctx.Done():
			return
		}
		if isLate && !sleep(ctx, late.Duration()) {
			return
		}
		isLate = false
		e.faults.waitOutHang(ctx)
		e.mutex.Lock()
		events, aborted := s.pending, s.aborted
		s.pending = nil
		e.mutex.Unlock()
		if aborted {
			abortConnection()
		}
		if done, err := writeEvents(writer, s, events); done || err != nil {
			return
		}
	}
}

func writeEvents(writer *answerWriter, s *stream, events []engine.Event) (done bool, err error) {
	for _, event := range events {
		switch event.Kind {
		case engine.EventTokens:
			if err := writer.writeTokens(event.Count, event.Version); err != nil {
				return false, err
			}
		case engine.EventFinished:
			return true, writer.finish(finishReason(event.Completion.Reason), s.usage(writer, event.Completion))
		case engine.EventExported:
			return true, writer.finish(finishExported, s.usage(writer, event.Completion))
		}
	}
	return false, nil
}

func (s *stream) usage(writer *answerWriter, completion *engine.Completion) api.Usage {
	return api.Usage{PromptTokens: s.promptTokens, CompletionTokens: writer.tokensWritten, CachedTokens: completion.CachedTokens}
}

func finishReason(reason engine.FinishReason) string {
	switch reason {
	case engine.FinishLength:
		return string(port.FinishLength)
	case engine.FinishPrefilled:
		return finishPrefilled
	default:
		return string(port.FinishStop)
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if e.applyFaults(w, r) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	id := r.PathValue("id")
	found := e.model.Cancel(e.now(), id)
	if s := e.streams[id]; s != nil {
		e.recorder.endGeneration(s.generation, audit.EndCancelled)
		delete(e.streams, id)
		s.abort()
	}
	if !found {
		fault, status := modelError(engine.ErrUnknownRequest)
		writeError(w, status, fault)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
