package chaos

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"
)

// checkTimeout bounds the search for a linearization, in real time.
const checkTimeout = 30 * time.Second

// firstHolder is the client number of the first lease holder.
const firstHolder = 100

type operationKind uint8

const (
	operationChange operationKind = iota
	operationRead
	operationLease
)

// operation is one client's call, from its first attempt to its answer.
type operation struct {
	kind     operationKind
	client   int
	name     string
	expected port.Revision
	attempts int
	// unanswered is set if an attempt may have run though its answer was lost.
	unanswered bool
	// first is the member that was asked first.
	first consensus.MemberID
	// holder and expectedEpoch are for leases; 0 asks for a new epoch.
	holder        port.NodeID
	expectedEpoch port.Epoch

	call, end time.Duration
	done      bool
	result    port.Result
}

func (o *operation) finish(now time.Duration, result port.Result) {
	o.done, o.end, o.result = true, now, result
}

// known says whether the answer tells if the operation took effect. An operator
// who is told that the answer expired does not know.
func (o *operation) known() bool {
	expired := o.result.Error != nil && o.result.Error.Code == port.CodeChangeExpired
	return o.done && !expired
}

// String is the operation's line in a trace.
func (o *operation) String() string {
	switch {
	case o.kind == operationRead:
		return fmt.Sprintf("read revision %d", o.result.Revision)
	case o.result.Error != nil:
		return fmt.Sprintf("%s on %d refused after %d resends: %s", o.name, o.expected, o.attempts, o.result.Error.Code)
	default:
		return fmt.Sprintf("%s accepted as revision %d after %d resends", o.name, o.result.Revision, o.attempts)
	}
}

// history is what clients saw.
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

// check demands that both histories are linearizable and agree with the log.
func (h *history) check(w *World) {
	for _, operation := range h.configuration {
		checkAnswer(w, operation)
	}
	checkLinearizable(w, "configuration is linearizable", configurationModel(), h.resolved(w.audit.accepted))
	checkLinearizable(w, "leases are linearizable", leaseModel(), h.leases)
}

// resolved settles the changes that no operator knows the outcome of as the log
// did: accepted as a revision at some time after the call, or of no effect. That
// demands more than any outcome that fits, and leaves the search few choices.
func (h *history) resolved(accepted map[string]port.Revision) []*operation {
	settled := make([]*operation, 0, len(h.configuration))
	for _, each := range h.configuration {
		if each.kind != operationChange || each.known() {
			settled = append(settled, each)
			continue
		}
		if revision, found := accepted[each.name]; found {
			outcome := *each
			outcome.finish(math.MaxInt64, port.Result{Revision: revision})
			settled = append(settled, &outcome)
		}
	}
	return settled
}

// checkAnswer compares what an operator was told with what the log says.
func checkAnswer(w *World, operation *operation) {
	if operation.kind != operationChange || !operation.done {
		return
	}
	revision, accepted := w.audit.accepted[operation.name]
	told := operation.result
	switch {
	case told.Error == nil && (!accepted || revision != told.Revision):
		w.violation("answers are true", "%s was told revision %d, the log has %d", operation.name, told.Revision, revision)
	case told.Error != nil && operation.known() && accepted:
		w.violation("answers are true", "%s was told %s, the log accepted it as %d", operation.name, told.Error.Code, revision)
	}
}

func checkLinearizable(w *World, check string, model porcupine.Model, operations []*operation) {
	events := make([]porcupine.Operation, 0, len(operations))
	for _, operation := range operations {
		end := int64(math.MaxInt64)
		if operation.known() {
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
		w.violation(check, "no order explains the %d answers", len(events))
	case porcupine.Unknown:
		w.violation(check, "not decided for %d answers within %v", len(events), checkTimeout)
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
	told := operation.result
	switch {
	case operation.kind == operationRead:
		return told.Revision == revision, revision
	case !operation.known():
		if operation.expected == revision {
			return true, revision + 1
		}
		return true, revision
	case told.Error != nil:
		return told.Error.Code == port.CodeConflict && operation.expected != revision && told.Revision == revision, revision
	default:
		return operation.expected == revision && told.Revision == revision+1, revision + 1
	}
}

// leaseModel is a lease whose epochs only rise; renewals need the current one.
// It leaves out calls without an answer, which can only take a lease away.
func leaseModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return port.Lease{} },
		Step: func(state, input, output any) (bool, any) {
			held, operation := state.(port.Lease), input.(*operation)
			granted := port.Lease{Holder: operation.result.Lease.Holder, Epoch: operation.result.Lease.Epoch}
			if operation.expectedEpoch == 0 {
				return granted.Epoch > held.Epoch && granted.Holder == operation.holder, granted
			}
			return granted == held && granted.Epoch == operation.expectedEpoch, granted
		},
	}
}
