package policy

import (
	"fmt"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Trial is the result of running a program on one standard view.
type Trial struct {
	Name  string
	View  View
	Plan  Plan
	Steps uint64
	Err   error
}

// Check compiles a program and runs it on the standard views. It returns the results of
// all views and the first error.
func Check(source string) ([]Trial, error) {
	program, err := Compile(source)
	if err != nil {
		return nil, err
	}
	return CheckProgram(program, StandardViews())
}

// CheckProgram runs a program on the given views and returns all results and the first error.
func CheckProgram(program *Program, views []NamedView) ([]Trial, error) {
	var first error
	trials := make([]Trial, 0, len(views))
	for _, named := range views {
		plan, steps, err := program.Run(named.View)
		trials = append(trials, Trial{Name: named.Name, View: named.View, Plan: plan, Steps: steps, Err: err})
		if err != nil && first == nil {
			first = fmt.Errorf("view %q: %w", named.Name, err)
		}
	}
	return trials, first
}

// NamedView is a view with a name for reports.
type NamedView struct {
	Name string
	View View
}

// StandardViews returns the views that every program must accept: an empty pool, the
// start, normal running, a waiting trainer, replicas on mixed versions, a full buffer
// and a large pool.
func StandardViews() []NamedView {
	running := standardView(8, 24, 7)
	running.InFlight, running.Buffered, running.Scoring = 120, 64, 8
	running.MedianTokens, running.HighTokens, running.LongSamples = 300, 1800, 6

	waiting := running
	waiting.TrainerWaiting, waiting.Buffered = true, 16

	mixed := running
	mixed.Replicas = append([]Replica(nil), running.Replicas...)
	for index := range mixed.Replicas {
		mixed.Replicas[index].Version = port.WeightVersion(index % 8)
	}

	full := running
	full.InFlight, full.Buffered = 0, 2*full.BatchSamples

	large := standardView(3500, 64, 1000)
	large.BatchSamples = 8192

	start := standardView(8, 24, 0)
	return []NamedView{
		{Name: "no replicas", View: standardView(0, 0, 3)},
		{Name: "start, no weights yet", View: start},
		{Name: "running", View: running},
		{Name: "trainer waiting", View: waiting},
		{Name: "mixed versions", View: mixed},
		{Name: "buffer full", View: full},
		{Name: "3500 replicas", View: large},
	}
}

// standardView returns a view of a pool with equal replicas in three zones.
func standardView(replicas, limit int, version port.WeightVersion) View {
	view := View{
		Name: "standard", Version: version, StalenessBound: 4,
		BatchSamples: 128, GroupSize: 8, MaxTokens: 4096, BufferBatches: 2,
		Capacity: replicas * limit,
	}
	zones := []port.ZoneName{"zone-a", "zone-b", "zone-c"}
	for index := range replicas {
		view.Replicas = append(view.Replicas, Replica{
			ID:      port.ReplicaID(fmt.Sprintf("replica-%d", index)),
			Zone:    zones[index%len(zones)],
			Version: version, Running: limit / 2, Limit: limit,
		})
	}
	return view
}
