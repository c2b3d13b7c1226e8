package chaos

import (
	"os"
	"strconv"
	"testing"
)

func TestScenariosHold(t *testing.T) {
	count := 3
	if n, err := strconv.Atoi(os.Getenv("CHAOS_SEEDS")); err == nil {
		count = n
	}
	for _, scenario := range Scenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(count) {
				report := Run(Options{Scenario: scenario, Seed: seed + 1})
				for _, violation := range report.Violations {
					t.Errorf("seed %d at %v: %s: %s", seed+1, violation.Time, violation.Check, violation.Detail)
				}
				t.Logf("%+v", report)
			}
		})
	}
}
