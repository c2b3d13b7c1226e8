package standin

import (
	"cmp"
	"context"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// QueryCall is the query parameter that carries the unique key of a call.
const QueryCall = "call"

// pathApplicationHealth answers 200 while the service is healthy.
const pathApplicationHealth = "/healthz"

// Application simulates one replica of an application service. It answers every path
// with content that is unique to the call.
type Application struct {
	*server
	config ApplicationConfig
	slots  chan struct{}
}

// ApplicationConfig describes an application service.
type ApplicationConfig struct {
	Common
	// ServiceTime is the mean time of a call: half of it is fixed, the rest is
	// exponentially distributed. Default 5 ms.
	ServiceTime time.Duration
	// Workers is the maximum number of concurrent calls. Default 64.
	Workers int
	// PayloadBytes is the size of the payload. Default 256.
	PayloadBytes int
}

// ApplicationAnswer is the body of every answer.
type ApplicationAnswer struct {
	Call     string `json:"call"`
	BackEnd  string `json:"back_end"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	BodyHash string `json:"body_hash"`
	Payload  string `json:"payload"`
	// Size is the length of the complete payload.
	Size int `json:"size"`
}

// CompleteFor reports whether the answer is the complete answer to a call.
func (a ApplicationAnswer) CompleteFor(call string) bool {
	return a.Call == call && a.Size > 0 && a.Payload == payload(call, a.Size)
}

// payload returns the content for a call.
func payload(call string, size int) string {
	content := make([]byte, 0, size+16)
	for i := uint64(0); len(content) < size; i++ {
		content = hex.AppendEncode(content, strconv.AppendUint(nil, xxhash.Sum64String(call)+i, 36))
	}
	return string(content[:size])
}

// StartApplication starts an application service. It runs until ctx ends or
// Close is called.
func StartApplication(ctx context.Context, config ApplicationConfig) (*Application, error) {
	config.ServiceTime = cmp.Or(config.ServiceTime, 5*time.Millisecond)
	config.Workers = cmp.Or(config.Workers, 64)
	config.PayloadBytes = cmp.Or(config.PayloadBytes, 256)
	a := &Application{config: config, slots: make(chan struct{}, config.Workers)}
	a.server = newServer(ctx, config.Common,
		FaultCrash, FaultHang, FaultSlow, FaultRefuse, FaultCut, FaultLate, FaultMix)
	a.inject = a.injectFault
	a.mux.HandleFunc("GET "+pathApplicationHealth, func(w http.ResponseWriter, r *http.Request) {
		if !a.applyFaults(w, r) {
			w.WriteHeader(http.StatusOK)
		}
	})
	a.mux.HandleFunc("/", a.handleCall)
	if err := a.listen(config.Listen); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *Application) injectFault(fault Fault) error {
	if fault.Kind == FaultCrash {
		a.crash(fault.Duration(), a.endExecutions, func() {})
		return nil
	}
	return a.faults.set(fault)
}

// endExecutions records all calls in progress as crashed.
func (a *Application) endExecutions() {
	a.recorder.mutex.Lock()
	var lost []*audit.Execution
	for execution := range a.recorder.executions {
		lost = append(lost, execution)
	}
	a.recorder.mutex.Unlock()
	for _, execution := range lost {
		a.recorder.endExecution(execution, audit.EndCrashed)
	}
}

func (a *Application) handleCall(w http.ResponseWriter, r *http.Request) {
	if a.applyFaults(w, r) {
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
	case <-r.Context().Done():
		return
	}
	execution := &audit.Execution{
		BackEnd: a.address, RequestID: r.Header.Get(api.HeaderRequestID), Call: r.URL.Query().Get(QueryCall),
	}
	a.recorder.startExecution(execution)
	defer a.recorder.endExecution(execution, audit.EndCut)
	if !sleep(r.Context(), a.serviceTime()) {
		a.recorder.endExecution(execution, audit.EndCancelled)
		return
	}
	if fault, late := a.faults.consume(FaultLate); late && !sleep(r.Context(), fault.Duration()) {
		a.recorder.endExecution(execution, audit.EndCancelled)
		return
	}
	a.answer(w, r, body, execution)
}

func (a *Application) serviceTime() time.Duration {
	mean := float64(a.config.ServiceTime) * a.faults.slowdown()
	return time.Duration(mean/2 + rand.ExpFloat64()*mean/2)
}

func (a *Application) answer(w http.ResponseWriter, r *http.Request, body []byte, execution *audit.Execution) {
	call, id := execution.Call, execution.RequestID
	if _, mix := a.faults.consume(FaultMix); mix {
		call, id = "mixed-"+call, "mixed-"+id
	}
	answer, err := json.Marshal(ApplicationAnswer{
		Call: call, BackEnd: a.address, Method: r.Method, Path: r.URL.RequestURI(),
		BodyHash: strconv.FormatUint(xxhash.Sum64(body), 16),
		Payload:  payload(call, a.config.PayloadBytes), Size: a.config.PayloadBytes,
	})
	if err != nil {
		abortConnection()
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.Header().Set(api.HeaderRequestID, id)
	if _, cut := a.faults.consume(FaultCut); cut {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
	if _, err := w.Write(answer); err == nil {
		a.recorder.endExecution(execution, audit.EndFinished)
	}
}
