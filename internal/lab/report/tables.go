package report

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
)

// noValue is shown for a figure or limit that does not exist.
const noValue = "-"

// WriteText writes all tables as text.
func WriteText(output io.Writer, results *experiment.Results) error {
	if _, err := fmt.Fprintf(output, "%s\n\n", headline(results)); err != nil {
		return eris.Wrap(err, "write report")
	}
	for _, table := range Tables(results) {
		if err := table.writeText(output); err != nil {
			return err
		}
	}
	return nil
}

// headline describes the experiment in one line.
func headline(results *experiment.Results) string {
	settings := results.Settings
	return fmt.Sprintf("%s: site %s, %s of virtual time, the first %s not counted, %d seeds, intervals of %g%%",
		settings.Name, settings.Site, settings.Length.Value(), settings.WarmUp.Value(), settings.Seeds,
		settings.Confidence*100)
}

// Tables returns the tables of a report that have rows.
func Tables(results *experiment.Results) []Table {
	base := results.Base()
	all := []Table{
		trainerTable(base),
		idleShareTable(base),
		stalenessTable(base),
		longSampleTable(base),
		callerTable(base),
		engineTable(base),
		differenceTable(results),
		barTable(results),
		sweepTable(results),
	}
	var filled []Table
	for _, table := range all {
		if len(table.Rows) > 0 {
			filled = append(filled, table)
		}
	}
	return filled
}

func trainerTable(point experiment.Point) Table {
	table := Table{
		Title: "Trainers",
		Note:  "Idle share is the mean over the trainers. The limit assumes perfect scheduling of the samples that the variant delivered, given the total capacity and the longest sample; shorter samples lower it.",
		Header: []string{
			"variant", "idle share", "limit", "x limit", "samples/h", "limit", "x limit", "tokens/sample", "tokens/h",
			"dropped as stale", "violations",
		},
	}
	for _, variant := range point.Variants {
		table.add(
			variant.Name,
			estimate(variant, experiment.FigureIdleShare), limit(variant, experiment.FigureIdleShare), ratio(variant, experiment.FigureIdleShare),
			estimate(variant, experiment.FigureSamplesPerHour), limit(variant, experiment.FigureSamplesPerHour), ratio(variant, experiment.FigureSamplesPerHour),
			estimate(variant, experiment.FigureTokensPerSample), mean(variant, experiment.FigureTokensPerHour),
			estimate(variant, experiment.FigureDroppedShare),
			mean(variant, experiment.FigureViolations),
		)
	}
	return table
}

// idleShareTable lists the idle share of each trainer if there are several.
func idleShareTable(point experiment.Point) Table {
	pools := figureParts(point, experiment.FigureIdleShare)
	table := Table{Title: "Idle share by trainer", Header: append([]string{"variant"}, pools...)}
	if len(pools) == 0 {
		return table
	}
	for _, variant := range point.Variants {
		row := []string{variant.Name}
		for _, pool := range pools {
			row = append(row, estimate(variant, experiment.FigureIdleShare+"/"+pool))
		}
		table.add(row...)
	}
	return table
}

func stalenessTable(point experiment.Point) Table {
	table := Table{
		Title:  "Staleness of delivered samples",
		Note:   "In weight versions, and in seconds since the sample's oldest version was replaced.",
		Header: []string{"variant", "mean versions", "limit", "x limit", "p99 versions", "limit", "mean s", "p99 s"},
	}
	for _, variant := range point.Variants {
		table.add(
			variant.Name,
			estimate(variant, experiment.FigureStalenessMean), limit(variant, experiment.FigureStalenessMean), ratio(variant, experiment.FigureStalenessMean),
			estimate(variant, experiment.FigureStalenessP99), limit(variant, experiment.FigureStalenessP99),
			estimate(variant, experiment.FigureStaleSecondsMean), estimate(variant, experiment.FigureStaleSecondsP99),
		)
	}
	return table
}

func longSampleTable(point experiment.Point) Table {
	table := Table{
		Title:  "Long samples (the longest twentieth), seconds from first start to score",
		Note:   "The limit is one step per token on an engine that runs nothing else.",
		Header: []string{"variant", "p50 s", "limit", "x limit", "p99 s", "limit", "x limit"},
	}
	for _, variant := range point.Variants {
		row := []string{variant.Name}
		for _, figure := range []string{experiment.FigureLongSampleP50, experiment.FigureLongSampleP99} {
			row = append(row, estimate(variant, figure), limit(variant, figure), ratio(variant, figure))
		}
		table.add(row...)
	}
	return table
}

func callerTable(point experiment.Point) Table {
	table := Table{
		Title:  "Latency of callers, milliseconds",
		Note:   "The limit is the round trip to a node plus the median service time. Refused calls did not run.",
		Header: []string{"class", "variant", "p50 ms", "limit", "x limit", "p99 ms", "x limit", "refused", "failed"},
	}
	for _, class := range figureParts(point, experiment.FigureLatencyP50) {
		for _, variant := range point.Variants {
			median, p99 := experiment.FigureLatencyP50+"/"+class, experiment.FigureLatencyP99+"/"+class
			table.add(
				class, variant.Name,
				estimate(variant, median), limit(variant, median), ratio(variant, median),
				estimate(variant, p99), ratio(variant, p99),
				mean(variant, experiment.FigureRefusedShare+"/"+class), mean(variant, experiment.FigureFailedShare+"/"+class),
			)
		}
	}
	return table
}

func engineTable(point experiment.Point) Table {
	table := Table{
		Title:  "Engines",
		Note:   "Prefix hits are the share of prompt tokens found in a cache; the limit computes each prompt once per group. Tokens lost were generated but reached no trainer.",
		Header: []string{"variant", "prefix hits", "limit", "x limit", "tokens lost", "limit"},
	}
	for _, variant := range point.Variants {
		table.add(
			variant.Name,
			estimate(variant, experiment.FigurePrefixHitShare), limit(variant, experiment.FigurePrefixHitShare), ratio(variant, experiment.FigurePrefixHitShare),
			estimate(variant, experiment.FigureTokensLostShare), limit(variant, experiment.FigureTokensLostShare),
		)
	}
	return table
}

// differenceFigures are the figures compared with the reference.
var differenceFigures = []string{
	experiment.FigureIdleShare, experiment.FigureSamplesPerHour, experiment.FigureStalenessMean, experiment.FigureStaleSecondsP99,
	experiment.FigureLongSampleP50,
}

func differenceTable(results *experiment.Results) Table {
	table := Table{
		Title:  "Difference to " + results.Settings.Reference + ", paired by seed",
		Note:   "Each cell is the variant minus the reference, with its interval, and whether that is better or worse than the reference.",
		Header: append([]string{"variant"}, differenceFigures...),
	}
	for _, variant := range results.Base().Variants {
		if variant.Name == results.Settings.Reference {
			continue
		}
		row := []string{variant.Name}
		for _, figure := range differenceFigures {
			row = append(row, difference(variant, figure))
		}
		table.add(row...)
	}
	return table
}

func barTable(results *experiment.Results) Table {
	table := Table{
		Title:  "Bars",
		Header: []string{"settings", "bar", "measured", "compared", "ratio", "allowed", "throughput", "verdict"},
	}
	for _, point := range results.Points {
		for _, bar := range point.Bars {
			table.add(
				point.Name(),
				fmt.Sprintf("%s of %s against %s", bar.Figure, bar.Variant, bar.Opponent),
				number(bar.Measured), number(bar.Compared), optionalNumber(bar.Ratio), "at most "+number(bar.AtMost),
				throughput(bar), verdict(bar.Met),
			)
		}
	}
	return table
}

func throughput(bar experiment.ThresholdResult) string {
	if bar.ThroughputRatio == nil {
		return noValue
	}
	return fmt.Sprintf("%s of at least %s", number(*bar.ThroughputRatio), number(bar.Throughput))
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "NOT MET"
}

// sweepTable compares the swept settings, starting with the unmodified settings.
func sweepTable(results *experiment.Results) Table {
	table := Table{
		Title:  "Sweeps: which conclusions depend on the setting",
		Note:   "Better and worse compare with " + results.Settings.Reference + " under the same setting.",
		Header: []string{"settings", "variant", "idle share", "limit", "x limit", "against reference", "staleness mean", "against reference"},
	}
	if len(results.Points) == 1 {
		return table
	}
	for _, point := range results.Points {
		for _, variant := range point.Variants {
			if !inSweeps(results, variant.Name) {
				continue
			}
			table.add(
				point.Name(), variant.Name,
				estimate(variant, experiment.FigureIdleShare), limit(variant, experiment.FigureIdleShare), ratio(variant, experiment.FigureIdleShare),
				comparison(variant, experiment.FigureIdleShare),
				estimate(variant, experiment.FigureStalenessMean), comparison(variant, experiment.FigureStalenessMean),
			)
		}
	}
	return table
}

// inSweeps reports whether a variant runs in any sweep.
func inSweeps(results *experiment.Results, name string) bool {
	for _, point := range results.Points[1:] {
		if _, ran := point.VariantNamed(name); ran {
			return true
		}
	}
	return false
}

// figureParts returns the pools or classes of a figure, in the order of the first variant's
// summary.
func figureParts(point experiment.Point, figure string) []string {
	var names []string
	if len(point.Variants) == 0 {
		return nil
	}
	for _, summary := range point.Variants[0].Summary {
		base, part := experiment.SplitName(summary.Name)
		if base == figure && part != "" {
			names = append(names, part)
		}
	}
	return names
}

func estimate(variant experiment.VariantResult, figure string) string {
	summary, found := variant.SummaryNamed(figure)
	if !found {
		return noValue
	}
	return interval(summary.Estimate)
}

func mean(variant experiment.VariantResult, figure string) string {
	summary, found := variant.SummaryNamed(figure)
	if !found {
		return noValue
	}
	return number(summary.Mean)
}

func limit(variant experiment.VariantResult, figure string) string {
	summary, _ := variant.SummaryNamed(figure)
	return optionalNumber(summary.Limit)
}

func ratio(variant experiment.VariantResult, figure string) string {
	summary, _ := variant.SummaryNamed(figure)
	return optionalNumber(summary.Ratio)
}

func difference(variant experiment.VariantResult, figure string) string {
	summary, _ := variant.SummaryNamed(figure)
	if summary.Difference == nil {
		return noValue
	}
	return fmt.Sprintf("%s %s", interval(*summary.Difference), comparison(variant, figure))
}

// comparison returns whether the variant is better or worse than the reference.
func comparison(variant experiment.VariantResult, figure string) string {
	summary, _ := variant.SummaryNamed(figure)
	if summary.Difference == nil {
		return noValue
	}
	return string(experiment.Classify(*summary.Difference, summary.Better))
}

func interval(estimate experiment.Estimate) string {
	if !estimate.Known {
		return number(estimate.Mean)
	}
	return number(estimate.Mean) + " ±" + number(estimate.Half)
}

func optionalNumber(value *float64) string {
	if value == nil {
		return noValue
	}
	return number(*value)
}

// significantDigits is the number of digits shown in tables.
const significantDigits = 3

// number formats a value with three significant digits; values of 1000 and more are rounded
// to integers.
func number(value float64) string {
	if math.Abs(value) >= 1000 {
		return strconv.FormatFloat(math.Round(value), 'f', 0, 64)
	}
	text := strconv.FormatFloat(value, 'g', significantDigits, 64)
	if !strings.Contains(text, "e") {
		return text
	}
	return strconv.FormatFloat(value, 'g', 2, 64)
}
