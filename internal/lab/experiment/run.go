package experiment

import (
	"context"
	"runtime/debug"
	"sync/atomic"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// Simulator runs one variant with one seed. sim.Run is the default implementation.
type Simulator func(sim.Options) (sim.Outcome, error)

// Plan is an experiment to run.
type Plan struct {
	Settings *Settings
	Simulate Simulator
	// Parallel is the number of concurrent runs.
	Parallel int
	// Progress, if set, is called after every run, from several goroutines.
	Progress func(done, total int)
}

// job is one run of the plan.
type job struct {
	point, variant int
	options        sim.Options
	outcome        sim.Outcome
}

// Run runs all variants with all seeds, including the sweeps, and summarizes the results.
func Run(ctx context.Context, plan Plan) (*Results, error) {
	points, jobs := plan.Settings.jobs()
	if err := plan.simulate(ctx, jobs); err != nil {
		return nil, err
	}
	for index := range jobs {
		job := &jobs[index]
		variant := &points[job.point].Variants[job.variant]
		run, err := runResult(job)
		if err != nil {
			return nil, err
		}
		variant.Runs = append(variant.Runs, run)
	}
	for index := range points {
		if err := plan.Settings.summarizePoint(&points[index], index, jobs); err != nil {
			return nil, err
		}
	}
	return &Results{
		Format:        resultsFormat,
		Version:       programVersion(),
		Settings:      *plan.Settings,
		SweptDefaults: plan.Settings.unsweptValues(),
		Points:        points,
	}, nil
}

// simulate runs all jobs and sets their outcomes.
func (p Plan) simulate(ctx context.Context, jobs []job) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(p.Parallel, 1))
	var done atomic.Int64
	for index := range jobs {
		job := &jobs[index]
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return eris.Wrap(err, "run experiment")
			}
			outcome, err := p.Simulate(job.options)
			if err != nil {
				return eris.Wrapf(err, "variant %s, seed %d", job.options.Variant.Name, job.options.Seed)
			}
			job.outcome = outcome
			if p.Progress != nil {
				p.Progress(int(done.Add(1)), len(jobs))
			}
			return nil
		})
	}
	return group.Wait()
}

// jobs returns all points and runs, ordered by point, variant and seed.
func (s *Settings) jobs() ([]Point, []job) {
	site, _ := siteNamed(s.Site)
	points := []Point{s.point("", "", nil)}
	jobs := s.pointJobs(nil, points[0], 0, s.Overrides.apply(site), s.Seeds)
	for _, sweep := range s.Sweeps {
		seeds := sweep.Seeds
		if seeds == 0 {
			seeds = s.Seeds
		}
		for _, value := range sweep.Values {
			overrides := s.Overrides
			// Cannot fail: check has validated every value.
			_ = sweepable[sweep.Setting].set(&overrides, value)
			points = append(points, s.point(sweep.Setting, value, sweep.Variants))
			last := len(points) - 1
			jobs = s.pointJobs(jobs, points[last], last, overrides.apply(site), seeds)
		}
	}
	return points, jobs
}

// point returns a point without results for the named variants, or for all.
func (s *Settings) point(setting, value string, names []string) Point {
	point := Point{Setting: setting, Value: value}
	if len(names) == 0 {
		for _, variant := range s.Variants {
			names = append(names, variant.Name)
		}
	}
	for _, name := range names {
		point.Variants = append(point.Variants, VariantResult{Name: name})
	}
	return point
}

func (s *Settings) pointJobs(jobs []job, point Point, pointIndex int, site sim.Site, seeds int) []job {
	for variantIndex, result := range point.Variants {
		variant, _ := s.variant(result.Name)
		for seed := range seeds {
			jobs = append(jobs, job{point: pointIndex, variant: variantIndex, options: sim.Options{
				Site: site,
				Variant: sim.Variant{
					Name: variant.Name, Routing: variant.Routing, Policy: variant.policySource,
					Without: variant.Without, ImportKV: variant.ImportKV,
				},
				Seed:   uint64(seed) + 1,
				Length: s.Length.Value(),
				Warmup: s.WarmUp.Value(),
			}})
		}
	}
	return jobs
}

func runResult(job *job) (RunResult, error) {
	distributions, err := distributionsOf(histogramsOf(job.outcome), runShares)
	if err != nil {
		return RunResult{}, eris.Wrapf(err, "variant %s, seed %d", job.options.Variant.Name, job.options.Seed)
	}
	run := RunResult{
		Seed:          job.options.Seed,
		Figures:       figuresOf(job.options, job.outcome, distributions),
		Distributions: distributions,
		Violations:    job.outcome.Violations,
	}
	if job.options.Seed == 1 {
		run.Series = seriesOf(job.outcome.Series)
	}
	return run, nil
}

// namedHistogram is the set of histograms merged into one named distribution.
type namedHistogram struct {
	name, unit string
	divisor    float64
	histograms []*hdrhistogram.Histogram
}

// histogramsOf returns the histograms of an outcome. Those of all trainers are combined.
func histogramsOf(outcome sim.Outcome) []namedHistogram {
	staleness := namedHistogram{name: DistributionStaleness, unit: unitVersions, divisor: 1}
	seconds := namedHistogram{name: DistributionStaleSeconds, unit: unitSeconds, divisor: millisPerSecond}
	for _, trainer := range outcome.Trainers {
		staleness.histograms = append(staleness.histograms, trainer.Staleness)
		seconds.histograms = append(seconds.histograms, trainer.StaleMillis)
	}
	long := namedHistogram{name: DistributionLongSamples, unit: unitSeconds, divisor: millisPerSecond}
	long.histograms = append(long.histograms, outcome.LongSampleTimes)
	list := []namedHistogram{staleness, seconds, long}
	for _, caller := range outcome.Callers {
		latency := namedHistogram{name: DistributionLatency + "/" + caller.Name, unit: unitMilliseconds, divisor: microsPerMilli}
		latency.histograms = append(latency.histograms, caller.Latency)
		list = append(list, latency)
	}
	return list
}

// programVersion returns the VCS revision of the build, or else the module's version.
func programVersion() string {
	info, found := debug.ReadBuildInfo()
	if !found {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}
