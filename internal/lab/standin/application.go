package standin

import (
	"cmp"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// QueryCall is the query parameter by which a caller marks a call with its
// unique key.
const QueryCall = "call"

// pathApplicationHealth answers 200 while the service is well.
const pathApplicationHealth = "/healthz"

// Application stands in for one replica of an application service. It answers
// every path with content that belongs to the call and to no other.
type Application struct {
	*server
	config ApplicationConfig
	slots  chan struct{}
}

// ApplicationConfig describes an application service.
type ApplicationConfig struct {
	Common
	// ServiceTime is the mean time of a call, drawn exponentially above half
	// of it. Default 5 ms.
	ServiceTime time.Duration
	// Workers bounds the calls that run at once. Default 64.
	Workers int
	// PayloadBytes is the size of the answer's content. Default 256.
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
	// Size is the length of the whole payload.
	Size int `json:"size"`
}

// Whole reports whether the answer holds all of the content of a call.
func (a ApplicationAnswer) CompleteFor(call string) bool {
	return a.Call == call && a.Size > 0 && a.Payload == payload(call, a.Size)
}

// payload returns the content that belongs to a call.
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
		if !a.disturbed(w, r) {
			w.WriteHeader(http.StatusOK)
		}
	})
	a.mux.HandleFunc("/", a.handleCall)
	if err := a.open(config.Listen); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *Application) injectFault(fault Fault) error {
	if fault.Kind == FaultCrash {
		a.crash(fault.Duration(), a.loseAll, func() {})
		return nil
	}
	return a.faults.set(fault)
}

// loseAll marks all calls in progress as lost.
func (a *Application) loseAll() {
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
	if a.disturbed(w, r) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, port.NewError(port.NotRun, port.CodeInvalid, "body: %v", err))
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
	a.recorder.beginExecution(execution)
	defer a.recorder.endExecution(execution, audit.EndCut)
	if !pause(r.Context(), a.serviceTime()) {
		a.recorder.endExecution(execution, audit.EndCancelled)
		return
	}
	if fault, late := a.faults.take(FaultLate); late && !pause(r.Context(), fault.Duration()) {
		a.recorder.endExecution(execution, audit.EndCancelled)
		return
	}
	a.answer(w, r, body, execution)
}

func (a *Application) serviceTime() time.Duration {
	mean := float64(a.config.ServiceTime) * a.faults.factor()
	return time.Duration(mean/2 + rand.ExpFloat64()*mean/2)
}

func (a *Application) answer(w http.ResponseWriter, r *http.Request, body []byte, execution *audit.Execution) {
	call, id := execution.Call, execution.RequestID
	if _, mix := a.faults.take(FaultMix); mix {
		call, id = "mixed-"+call, "mixed-"+id
	}
	answer, err := json.Marshal(ApplicationAnswer{
		Call: call, BackEnd: a.address, Method: r.Method, Path: r.URL.RequestURI(),
		BodyHash: strconv.FormatUint(xxhash.Sum64(body), 16),
		Payload:  payload(call, a.config.PayloadBytes), Size: a.config.PayloadBytes,
	})
	if err != nil {
		cutConnection()
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.Header().Set(api.HeaderRequestID, id)
	if _, cut := a.faults.take(FaultCut); cut {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		cutConnection()
	}
	if _, err := w.Write(answer); err == nil {
		a.recorder.endExecution(execution, audit.EndFinished)
	}
}
