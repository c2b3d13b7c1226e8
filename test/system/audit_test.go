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

// journal reads the observations that a stand-in recorded.
func (s *site) journal(t *testing.T, name string) audit.Observations {
	t.Helper()
	file, err := os.Open(s.path(name + ".journal"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	observed, err := audit.ReadJournal(file)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return observed
}

// observations merges the observations of callers and stand-ins. It reads receivers before
// producers, so that the result includes the origin of every received sample and answer.
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
	all.Merge(audit.Observations{GracefulStops: s.stops, Faults: s.faults})
	return all
}

// waitUntilTrained waits until control has committed every prompt up to the highest
// delivered one and the trainer has trained on every batch committed by then. It returns
// the lowest uncommitted prompt.
func (s *site) waitUntilTrained(t *testing.T) port.PromptIndex {
	t.Helper()
	highest := port.PromptIndex(0)
	for _, delivery := range s.journal(t, trainer).Deliveries {
		for _, sample := range delivery.Samples {
			highest = max(highest, sample.Prompt)
		}
	}
	var detail operatorapi.PoolDetail
	waitUntil(t, fmt.Sprintf("prompts up to %d are committed", highest), func() bool {
		s.runOperatorCommand(t, &detail, "pool", "show", samplingPool)
		return detail.Ledger != nil && detail.Ledger.PromptsBelow > highest
	})
	committed := int(detail.Ledger.Committed)
	waitUntil(t, fmt.Sprintf("the trainer has trained on batch %d", committed), func() bool { return s.steps(t) >= committed })
	return detail.Ledger.PromptsBelow
}

// check audits the run so far and logs the evidence for violations.
func (s *site) check(t *testing.T) {
	t.Helper()
	limits := audit.Limits{
		Staleness:        map[string]uint64{samplingPool: staleness},
		FirstUndelivered: map[string]port.PromptIndex{samplingPool: s.waitUntilTrained(t)},
	}
	observed := s.observations(t)
	for _, violation := range audit.Check(observed, limits) {
		t.Error(violation)
		logEvidence(t, observed, violation.Subject)
	}
}

// logEvidence logs the calls and runs of a subject.
func logEvidence(t *testing.T, observed audit.Observations, subject string) {
	t.Helper()
	for _, call := range observed.Calls {
		if call.Key == subject {
			t.Logf("call %+v", call)
		}
	}
	for _, execution := range observed.Executions {
		if execution.Call == subject {
			t.Logf("execution %+v", execution)
		}
	}
	for _, generation := range observed.Generations {
		if generation.Call == subject || generation.RequestID == subject {
			t.Logf("generation %+v", generation)
		}
	}
}

// now returns the current time as the audit represents it.
func now() time.Duration { return time.Duration(time.Now().UnixNano()) }
