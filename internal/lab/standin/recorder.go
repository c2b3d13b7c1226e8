package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// recorder stores the observations of a stand-in. Work in progress is stored by pointer
// and updated in place until it ends. With a journal, each change is written to it before
// its effect is visible, so that the record survives a killed process.
type recorder struct {
	mutex       sync.Mutex
	ended       audit.Observations
	generations map[*audit.Generation]bool
	executions  map[*audit.Execution]bool
	journal     *json.Encoder // may be nil
	startedAt   time.Duration // makes work ids unique across restarts
	lastWork    uint64
}

func newRecorder(lines io.Writer) *recorder {
	r := &recorder{
		generations: map[*audit.Generation]bool{}, executions: map[*audit.Execution]bool{}, startedAt: unixNow(),
	}
	if lines != nil {
		r.journal = json.NewEncoder(lines)
	}
	return r
}

// unixNow returns the time since the Unix epoch, the origin of audit times.
func unixNow() time.Duration { return time.Duration(time.Now().UnixNano()) }

// add records observations of finished work.
func (r *recorder) add(observed audit.Observations) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.append(observed)
}

func (r *recorder) append(observed audit.Observations) {
	r.ended.Merge(observed)
	r.write(audit.Entry{Observations: observed})
}

func (r *recorder) write(entry audit.Entry) {
	if r.journal != nil {
		// The record in memory is complete even if the write fails.
		_ = r.journal.Encode(entry)
	}
}

// nextWork returns a new work id. The mutex must be held.
func (r *recorder) nextWork() string {
	r.lastWork++
	return fmt.Sprintf("%x-%d", int64(r.startedAt), r.lastWork)
}

func (r *recorder) startGeneration(g *audit.Generation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	g.Work, g.StartedAt = r.nextWork(), unixNow()
	r.generations[g] = true
	r.write(audit.Entry{Observations: audit.Observations{Generations: []audit.Generation{*g}}})
}

// addTokens records tokens of a generation in progress.
func (r *recorder) addTokens(g *audit.Generation, version port.WeightVersion, count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	g.Spans = port.AppendTokens(g.Spans, version, count)
	if r.generations[g] {
		r.write(audit.Entry{Tokens: &audit.WorkTokens{Work: g.Work, Version: version, Count: count}})
	}
}

// endGeneration records the end of a generation; later calls are ignored.
func (r *recorder) endGeneration(g *audit.Generation, end audit.End) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.generations[g] {
		return
	}
	delete(r.generations, g)
	g.End, g.EndedAt = end, unixNow()
	r.append(audit.Observations{Generations: []audit.Generation{*g}})
}

func (r *recorder) startExecution(e *audit.Execution) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e.Work, e.StartedAt = r.nextWork(), unixNow()
	r.executions[e] = true
	r.write(audit.Entry{Observations: audit.Observations{Executions: []audit.Execution{*e}}})
}

// endExecution records the end of an execution; later calls are ignored.
func (r *recorder) endExecution(e *audit.Execution, end audit.End) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.executions[e] {
		return
	}
	delete(r.executions, e)
	e.End, e.EndedAt = end, unixNow()
	r.append(audit.Observations{Executions: []audit.Execution{*e}})
}

// observations returns a copy of all observations, including work in progress.
func (r *recorder) observations() audit.Observations {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all audit.Observations
	all.Merge(r.ended)
	for g := range r.generations {
		copied := *g
		copied.Spans = append(copied.Spans[:0:0], g.Spans...)
		all.Generations = append(all.Generations, copied)
	}
	for e := range r.executions {
		all.Executions = append(all.Executions, *e)
	}
	return all
}
