package standin

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
)

// recorder keeps what a stand-in saw. Work in progress is kept by pointer and
// changed in place until it ends.
type recorder struct {
	mutex       sync.Mutex
	past        audit.Observations
	generations map[*audit.Generation]bool
	executions  map[*audit.Execution]bool
	lines       *json.Encoder // nil without a file
}

func newRecorder(lines io.Writer) *recorder {
	r := &recorder{generations: map[*audit.Generation]bool{}, executions: map[*audit.Execution]bool{}}
	if lines != nil {
		r.lines = json.NewEncoder(lines)
	}
	return r
}

// since gives the present time as the audit counts it.
func since() time.Duration { return time.Duration(time.Now().UnixNano()) }

// add records something that has ended.
func (r *recorder) add(seen audit.Observations) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.append(seen)
}

func (r *recorder) append(seen audit.Observations) {
	r.past.Merge(seen)
	if r.lines != nil {
		// A failed write loses a copy; the record in memory is complete.
		_ = r.lines.Encode(seen)
	}
}

func (r *recorder) beginGeneration(g *audit.Generation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	g.StartedAt = since()
	r.generations[g] = true
}

// changeGeneration lets change alter a generation in progress.
func (r *recorder) changeGeneration(g *audit.Generation, change func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change()
}

// endGeneration closes a generation; only the first end counts.
func (r *recorder) endGeneration(g *audit.Generation, end audit.End) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.generations[g] {
		return
	}
	delete(r.generations, g)
	g.End, g.EndedAt = end, since()
	r.append(audit.Observations{Generations: []audit.Generation{*g}})
}

func (r *recorder) beginExecution(e *audit.Execution) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e.StartedAt = since()
	r.executions[e] = true
}

// endExecution closes an execution; only the first end counts.
func (r *recorder) endExecution(e *audit.Execution, end audit.End) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.executions[e] {
		return
	}
	delete(r.executions, e)
	e.End, e.EndedAt = end, since()
	r.append(audit.Observations{Executions: []audit.Execution{*e}})
}

// observations returns a copy of everything seen so far, work in progress
// included.
func (r *recorder) observations() audit.Observations {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all audit.Observations
	all.Merge(r.past)
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
