package chaos

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"
)

// checkTimeout limits the search for a linearization, in real time.
const checkTimeout = 30 * time.Second

// firstHolder is the client number of the first lease holder.
const firstHolder = 100

type operationKind uint8

const (
	operationChange operationKind = iota
	operationRead
	operationLease
)

// operation is one client's call, from its first attempt to its response.
type operation struct {
	kind     operationKind
	client   int
	name     string
	expected port.Revision
	attempts int
	// unanswered is set if an attempt may have run but its response was lost.
	unanswered bool
	// firstMember is the first member called.
	firstMember consensus.MemberID
	// holder and expectedEpoch are for leases; epoch 0 requests a new one.
	holder        port.NodeID
	expectedEpoch port.Epoch

	call, end time.Duration
	done      bool
	result    port.Result
}

func (o *operation) finish(now time.Duration, result port.Result) {
	o.done, o.end, o.result = true, now, result
}

// outcomeKnown reports whether the response determines if the operation took effect. An
// expired cached result leaves the outcome unknown.
func (o *operation) outcomeKnown() bool {
	expired := o.result.Error != nil && o.result.Error.Code == port.CodeChangeExpired
	return o.done && !expired
}

// String returns the operation's line in a trace.
func (o *operation) String() string {
	switch {
	case o.kind == operationRead:
		return fmt.Sprintf("read revision %d", o.result.Revision)
	case o.result.Error != nil:
		return fmt.Sprintf("%s on %d rejected after %d retries: %s", o.name, o.expected, o.attempts, o.result.Error.Code)
	default:
		return fmt.Sprintf("%s accepted as revision %d after %d retries", o.name, o.result.Revision, o.attempts)
	}
}

// history records the calls and responses of clients.
type history struct {
	configuration []*operation
	leases        []*operation
}

func (h *history) add(operation *operation) {
	if operation.kind == operationLease {
		h.leases = append(h.leases, operation)
		return
	}
	h.configuration = append(h.configuration, operation)
}

// check checks that both histories are linearizable and agree with the log.
func (h *history) check(w *World) {
	for _, operation := range h.configuration {
		checkResponse(w, operation)
	}
	checkLinearizable(w, "configuration is linearizable", configurationModel(), h.resolved(w.audit.accepted))
	checkLinearizable(w, "leases are linearizable", leaseModel(), h.leases)
}

// resolved returns the operations with unknown outcomes of changes replaced by those in the
// log: accepted as a revision at some time after the call, or omitted. This is stricter than
// trying every outcome, and limits the search.
func (h *history) resolved(accepted map[string]port.Revision) []*operation {
	operations := make([]*operation, 0, len(h.configuration))
	for _, each := range h.configuration {
		if each.kind != operationChange || each.outcomeKnown() {
			operations = append(operations, each)
			continue
		}
		if revision, found := accepted[each.name]; found {
			outcome := *each
			outcome.finish(math.MaxInt64, port.Result{Revision: revision})
			operations = append(operations, &outcome)
		}
	}
	return operations
}

// checkResponse compares an operator's response with the log.
func checkResponse(w *World, operation *operation) {
	if operation.kind != operationChange || !operation.done {
		return
	}
	revision, accepted := w.audit.accepted[operation.name]
	result := operation.result
	switch {
	case result.Error == nil && (!accepted || revision != result.Revision):
		w.violation("answers are true", "%s returned revision %d, the log has %d", operation.name, result.Revision, revision)
	case result.Error != nil && operation.outcomeKnown() && accepted:
		w.violation("answers are true", "%s returned %s, the log accepted it as %d", operation.name, result.Error.Code, revision)
	}
}

func checkLinearizable(w *World, check string, model porcupine.Model, operations []*operation) {
	events := make([]porcupine.Operation, 0, len(operations))
	for _, operation := range operations {
		end := int64(math.MaxInt64)
		if operation.outcomeKnown() {
			end = int64(operation.end)
		}
		if operation.kind == operationRead && !operation.done {
			continue
		}
		events = append(events, porcupine.Operation{
			ClientId: operation.client, Input: operation, Call: int64(operation.call), Output: operation.result, Return: end,
		})
	}
	switch porcupine.CheckOperationsTimeout(model, events, checkTimeout) {
	case porcupine.Illegal:
		w.violation(check, "no linearization of %d responses", len(events))
	case porcupine.Unknown:
		w.violation(check, "undecided for %d responses after %v", len(events), checkTimeout)
	}
}

// configurationModel is a register that counts accepted changes.
func configurationModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return port.Revision(0) },
		Step: func(state, input, output any) (bool, any) {
			return stepConfiguration(state.(port.Revision), input.(*operation))
		},
	}
}

func stepConfiguration(revision port.Revision, operation *operation) (bool, any) {
	result := operation.result
	switch {
	case operation.kind == operationRead:
		return result.Revision == revision, revision
	case !operation.outcomeKnown():
		if operation.expected == revision {
			return true, revision + 1
		}
		return true, revision
	case result.Error != nil:
		return result.Error.Code == port.CodeConflict && operation.expected != revision && result.Revision == revision, revision
	default:
		return operation.expected == revision && result.Revision == revision+1, revision + 1
	}
}

// leaseModel is a lease whose epochs only increase; a renewal must name the current one. The
// history omits calls without a response, which can only revoke a lease.
func leaseModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return port.Lease{} },
		Step: func(state, input, output any) (bool, any) {
			current, operation := state.(port.Lease), input.(*operation)
			granted := port.Lease{Holder: operation.result.Lease.Holder, Epoch: operation.result.Lease.Epoch}
			if operation.expectedEpoch == 0 {
				return granted.Epoch > current.Epoch && granted.Holder == operation.holder, granted
			}
			return granted == current && granted.Epoch == operation.expectedEpoch, granted
		},
	}
}
