package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	if e.applyFaults(w, r) {
		return
	}
	var body port.Order
	if !readJSON(w, r, &body) {
		return
	}
	order, fault := engine.OrderFrom(body)
	if fault != nil {
		writeError(w, http.StatusBadRequest, fault)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	alreadyStaging := slices.Contains(e.model.Load().Staging, order.Weights)
	if err := e.model.Order(e.now(), order); err != nil {
		code := port.CodeConflict
		if errors.Is(err, engine.ErrStaleFence) {
			code = port.CodeFenced
		}
		writeError(w, http.StatusConflict, port.NewError(port.NotRun, code, "%v", err))
		return
	}
	staging := slices.Contains(e.model.Load().Staging, order.Weights)
	if order.Kind == engine.OrderStage && staging && !alreadyStaging {
		e.download(body.Source, order.Weights)
	}
	e.wakeDriver()
	writeJSON(w, e.loadReport())
}

// download fetches weights in the background. The mutex must be held.
func (e *Engine) download(source string, weights engine.Weights) {
	incarnation := e.incarnation
	e.work.Go(func() {
		complete := e.fetchWeights(incarnation, source)
		if incarnation.Err() != nil {
			return
		}
		e.mutex.Lock()
		defer e.mutex.Unlock()
		// An error means that the engine no longer needs these weights.
		_ = e.model.CompleteStaging(e.now(), weights, complete)
		e.wakeDriver()
	})
}

func (e *Engine) fetchWeights(ctx context.Context, source string) bool {
	if source == "" {
		return true
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return false
	}
	response, err := e.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	received, err := io.Copy(io.Discard, response.Body)
	return err == nil && (response.ContentLength < 0 || received == response.ContentLength)
}

// loadReport returns the current load report. The mutex must be held.
func (e *Engine) loadReport() port.LoadReport {
	report := e.model.Load().Report()
	if fault, found := e.faults.active(FaultLoadVersion); found {
		report.Version = port.WeightVersion(fault.Version)
	}
	return report
}

// laggedReport returns the newest report that is older than the lag. Without a lag it is
// the current one, even before the driver advances the model.
func (e *Engine) laggedReport() port.LoadReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.loadReports.Put(unixNow(), e.loadReport())
	report, _ := e.loadReports.Get(unixNow())
	report.AgeMillis = e.config.LoadLag.Milliseconds()
	return report
}

func (e *Engine) handleLoad(w http.ResponseWriter, r *http.Request) {
	if !e.applyFaults(w, r) {
		writeJSON(w, e.laggedReport())
	}
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	if e.applyFaults(w, r) {
		return
	}
	after, err := strconv.ParseUint(strings.TrimSpace(r.URL.Query().Get("after")), 10, 64)
	if err != nil {
		after = 0
	}
	e.mutex.Lock()
	visible := e.cacheFeed.After(unixNow(), after, cacheEventsPageSize)
	answer := api.CacheEvents{First: max(e.cacheFeed.First(), e.clearedThrough+1), Events: make([]port.CacheEvent, 0, len(visible))}
	e.mutex.Unlock()
	for _, change := range visible {
		answer.Events = append(answer.Events, port.CacheEvent{
			Sequence: change.Sequence, Block: change.Hash, Evicted: change.Kind == engine.CacheRemoved,
		})
	}
	writeJSON(w, answer)
}

// handleMetrics serves the load as Prometheus text, under the metric names of vLLM.
func (e *Engine) handleMetrics(w http.ResponseWriter, r *http.Request) {
	if e.applyFaults(w, r) {
		return
	}
	report := e.laggedReport()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	gauge := func(name, help string, value float64) {
		fmt.Fprintf(w, "# HELP %[1]s %[2]s\n# TYPE %[1]s gauge\n%[1]s %[3]g\n", name, help, value)
	}
	gauge("vllm:num_requests_running", "Requests in the batch.", float64(report.Running))
	gauge("vllm:num_requests_waiting", "Requests that wait.", float64(report.Waiting))
	gauge("vllm:kv_cache_usage_perc", "Share of the KV memory in use, 0 to 1.",
		float64(report.KVUsed)/float64(max(report.KVTotal, 1)))
}
