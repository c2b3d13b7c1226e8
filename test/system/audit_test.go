package system

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// journal reads what a stand-in saw.
func (s *site) journal(t *testing.T, name string) audit.Observations {
	t.Helper()
	file, err := os.Open(s.path(name + ".journal"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	seen, err := audit.ReadJournal(file)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return seen
}

// observations gathers what callers and stand-ins saw. Those who got something
// come before those who made it, so that nothing got lacks its making.
func (s *site) observations(t *testing.T) audit.Observations {
	t.Helper()
	all := s.callers.observations()
	all.Merge(s.journal(t, trainer))
	for number := range engines {
		all.Merge(s.journal(t, engine(number+1)))
	}
	for number := range applications {
		all.Merge(s.journal(t, application(number+1)))
	}
	all.Merge(s.journal(t, machineList))
	all.Merge(audit.Observations{PlannedStops: s.stops, Faults: s.faults})
	return all
}

// untilDone waits until control holds every prompt up to the highest delivered
// one for committed, and the trainer has learned from all batches of then. It
// gives the lowest prompt that is not among them.
func (s *site) untilDone(t *testing.T) port.PromptIndex {
	t.Helper()
	highest := port.PromptIndex(0)
	for _, delivery := range s.journal(t, trainer).Deliveries {
		for _, sample := range delivery.Samples {
			highest = max(highest, sample.Prompt)
		}
	}
	var detail operatorapi.PoolDetail
	until(t, fmt.Sprintf("prompts up to %d are committed", highest), func() bool {
		s.operate(t, &detail, "pool", "show", samplingPool)
		return detail.Ledger != nil && detail.Ledger.PromptsBelow > highest
	})
	committed := int(detail.Ledger.Committed)
	until(t, fmt.Sprintf("the trainer has learned from batch %d", committed), func() bool { return s.steps(t) >= committed })
	return detail.Ledger.PromptsBelow
}

// check audits the run so far and shows what is on record about violations.
func (s *site) check(t *testing.T) {
	t.Helper()
	bounds := audit.Limits{
		Staleness:        map[string]uint64{samplingPool: staleness},
		FirstUndelivered: map[string]port.PromptIndex{samplingPool: s.untilDone(t)},
	}
	seen := s.observations(t)
	for _, violation := range audit.Check(seen, bounds) {
		t.Error(violation)
		logEvidence(t, seen, violation.Subject)
	}
}

// logEvidence shows the calls and runs of a subject.
func logEvidence(t *testing.T, seen audit.Observations, subject string) {
	t.Helper()
	for _, call := range seen.Calls {
		if call.Key == subject {
			t.Logf("call %+v", call)
		}
	}
	for _, execution := range seen.Executions {
		if execution.Call == subject {
			t.Logf("execution %+v", execution)
		}
	}
	for _, generation := range seen.Generations {
		if generation.Call == subject || generation.RequestID == subject {
			t.Logf("generation %+v", generation)
		}
	}
}

// now gives the present time as the audit counts it.
func now() time.Duration { return time.Duration(time.Now().UnixNano()) }
