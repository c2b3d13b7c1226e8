package system

import (
	"os"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
)

// promptWindow is how far below the highest delivered prompt one may still be
// missing: those of four batches are under way at a time, and those that a lost
// coordinator had handed out come after them.
const promptWindow = 12 * batchSamples / groupSize

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

// check audits the run so far and shows what is on record about violations.
func (s *site) check(t *testing.T) {
	t.Helper()
	bounds := audit.Bounds{Staleness: map[string]uint64{samplingPool: staleness}, PromptWindow: promptWindow}
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
		if call.Call == subject {
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
