package localfleet

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// TrainerSummary sums up one trainer's run.
type TrainerSummary struct {
	Pool    string `json:"pool"`
	Steps   int    `json:"steps"`
	Samples int    `json:"samples"`
	// IdleShare is the part of the trainer's time spent waiting for batches,
	// the first one left out.
	IdleShare float64 `json:"idle_share"`
	// Staleness in weight versions, over the delivered samples.
	StalenessP50 port.WeightVersion `json:"staleness_p50"`
	StalenessP99 port.WeightVersion `json:"staleness_p99"`
	StalenessMax port.WeightVersion `json:"staleness_max"`
	// Version is the newest that the trainer published.
	Version port.WeightVersion `json:"version"`
	// LastError is the last failure that the trainer was told of.
	LastError string `json:"last_error,omitempty"`
}

// Summary sums up every trainer's run, in the order of the plan.
func (f *Fleet) Summary() []TrainerSummary {
	summaries := make([]TrainerSummary, len(f.plan.Trainers))
	for index, trainer := range f.Trainers() {
		stats := trainer.Stats()
		ages := stalenessOf(trainer.Observations().Deliveries)
		summaries[index] = TrainerSummary{
			Pool:         string(f.plan.Trainers[index].Pool),
			Steps:        stats.Steps,
			Samples:      stats.Samples,
			IdleShare:    stats.IdleShare(),
			StalenessP50: quantile(ages, 0.5),
			StalenessP99: quantile(ages, 0.99),
			StalenessMax: quantile(ages, 1),
			Version:      port.WeightVersion(stats.Version),
			LastError:    stats.LastError,
		}
	}
	return summaries
}

// stalenessOf lists the ages of all delivered samples, in ascending order.
func stalenessOf(deliveries []audit.Delivery) []port.WeightVersion {
	var ages []port.WeightVersion
	for _, delivery := range deliveries {
		for _, sample := range delivery.Samples {
			oldest := port.OldestVersion(sample.Spans)
			ages = append(ages, delivery.Version-min(oldest, delivery.Version))
		}
	}
	slices.Sort(ages)
	return ages
}

// quantile gives the value below which a share of the sorted values lies.
func quantile(sorted []port.WeightVersion, share float64) port.WeightVersion {
	if len(sorted) == 0 {
		return 0
	}
	position := int(share * float64(len(sorted)))
	return sorted[min(position, len(sorted)-1)]
}

// now gives the time as the stand-ins' observations do.
func now() time.Duration { return time.Duration(time.Now().UnixNano()) }
