package experiment_test

import (
	"math"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// The expected limits are computed by hand for the valid file, with an idle limit of 0.1
// and a staleness limit of 1: the normal quantiles of 0.975 and 0.9995 are 1.960 and
// 3.291, and a step of one sequence takes 10.15 ms.
func TestLimitsOfFigures(t *testing.T) {
	site := sim.Marea()
	sampling := site.Trainers[0].Sampling
	samplesPerHour := 0.9 * 3 * 360 * float64(sampling.BatchSamples)
	score := site.ScoreTime.Seconds()
	// A call that is never queued takes 3 ms to a node and 3 ms back.
	call := 6 + float64(site.ServiceTime)/float64(time.Millisecond)
	want := map[string]float64{
		experiment.FigureIdleShare:               0.1,
		experiment.FigureSamplesPerHour:          samplesPerHour,
		experiment.FigureStalenessMean:           1,
		experiment.FigureStalenessP99:            1,
		experiment.FigureLongSampleP50:           100*math.Exp(0.5*1.960)*0.01015 + score,
		experiment.FigureLongSampleP99:           100*math.Exp(0.5*3.2905)*0.01015 + score,
		experiment.FigurePrefixHitShare:          1 - 0.4/float64(sampling.GroupSize),
		experiment.FigureLatencyP50 + "/pilot":   call,
		experiment.FigureLatencyP99 + "/pilot":   call,
		experiment.FigureDroppedShare:            0,
		experiment.FigureTokensLostShare:         0,
		experiment.FigureRefusedShare + "/pilot": 0,
	}
	base := runFake(t, validFile, fakeSimulate, 4).Base()
	variant, _ := base.VariantNamed("loomgrade")
	for figure, limit := range want {
		summary, found := variant.SummaryNamed(figure)
		if !found || summary.Limit == nil || !near(*summary.Limit, limit) {
			t.Errorf("%s: %+v, want limit %v", figure, summary, limit)
		}
	}
}
