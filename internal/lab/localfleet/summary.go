package localfleet

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// TrainerSummary holds the figures of one trainer's run.
type TrainerSummary struct {
	Pool    string `json:"pool"`
	Steps   int    `json:"steps"`
	Samples int    `json:"samples"`
	// IdleShare is the share of its time that the trainer waited for batches, not
	// counting the first batch.
	IdleShare float64 `json:"idle_share"`
	// Staleness of the delivered samples, in weight versions.
	StalenessP50 port.WeightVersion `json:"staleness_p50"`
	StalenessP99 port.WeightVersion `json:"staleness_p99"`
	StalenessMax port.WeightVersion `json:"staleness_max"`
	// Version is the newest version that the trainer published.
	Version port.WeightVersion `json:"version"`
	// LastError is the last error that the trainer received.
	LastError string `json:"last_error,omitempty"`
}

// Summary returns the summaries of all trainers, in the order of the plan.
func (f *Fleet) Summary() []TrainerSummary {
	summaries := make([]TrainerSummary, len(f.plan.Trainers))
	for index, trainer := range f.Trainers() {
		stats := trainer.Stats()
		staleness := stalenessOf(trainer.Observations().Deliveries)
		summaries[index] = TrainerSummary{
			Pool:         string(f.plan.Trainers[index].Pool),
			Steps:        stats.Steps,
			Samples:      stats.Samples,
			IdleShare:    stats.IdleShare(),
			StalenessP50: quantile(staleness, 0.5),
			StalenessP99: quantile(staleness, 0.99),
			StalenessMax: quantile(staleness, 1),
			Version:      port.WeightVersion(stats.Version),
			LastError:    stats.LastError,
		}
	}
	return summaries
}

// stalenessOf returns the staleness of all delivered samples in ascending order.
func stalenessOf(deliveries []audit.Delivery) []port.WeightVersion {
	var staleness []port.WeightVersion
	for _, delivery := range deliveries {
		for _, sample := range delivery.Samples {
			oldest := port.OldestVersion(sample.Spans)
			staleness = append(staleness, delivery.Version-min(oldest, delivery.Version))
		}
	}
	slices.Sort(staleness)
	return staleness
}

// quantile returns the value below which a share of the sorted values lies.
func quantile(sorted []port.WeightVersion, share float64) port.WeightVersion {
	if len(sorted) == 0 {
		return 0
	}
	position := int(share * float64(len(sorted)))
	return sorted[min(position, len(sorted)-1)]
}

// now returns the time on the clock of the stand-ins' observations.
func now() time.Duration { return time.Duration(time.Now().UnixNano()) }
