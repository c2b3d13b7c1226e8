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

// recorder keeps what a stand-in saw. Work in progress is kept by pointer and
// changed in place until it ends. With a file, all of it is written there too,
// before anyone else can see its effect, so that it outlasts a killed process.
type recorder struct {
	mutex       sync.Mutex
	past        audit.Observations
	generations map[*audit.Generation]bool
	executions  map[*audit.Execution]bool
	lines       *json.Encoder // nil without a file
	life        time.Duration // start, which keeps the names of work of two lives apart
	begun       uint64
}

func newRecorder(lines io.Writer) *recorder {
	r := &recorder{
		generations: map[*audit.Generation]bool{}, executions: map[*audit.Execution]bool{}, life: since(),
	}
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
	r.write(audit.Entry{Observations: seen})
}

func (r *recorder) write(entry audit.Entry) {
	if r.lines != nil {
		// A failed write loses a copy; the record in memory is complete.
		_ = r.lines.Encode(entry)
	}
}

// nameWork gives the next piece of work its name. The mutex must be held.
func (r *recorder) nameWork() string {
	r.begun++
	return fmt.Sprintf("%x-%d", int64(r.life), r.begun)
}

func (r *recorder) beginGeneration(g *audit.Generation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	g.Work, g.StartedAt = r.nameWork(), since()
	r.generations[g] = true
	r.write(audit.Entry{Observations: audit.Observations{Generations: []audit.Generation{*g}}})
}

// addTokens notes tokens that a generation in progress produced.
func (r *recorder) addTokens(g *audit.Generation, version port.WeightVersion, count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	g.Spans = port.AppendTokens(g.Spans, version, count)
	if r.generations[g] {
		r.write(audit.Entry{Tokens: &audit.WorkTokens{Work: g.Work, Version: version, Count: count}})
	}
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
	e.Work, e.StartedAt = r.nameWork(), since()
	r.executions[e] = true
	r.write(audit.Entry{Observations: audit.Observations{Executions: []audit.Execution{*e}}})
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
