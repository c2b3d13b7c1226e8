package experiment

// ThresholdResult is a bar with the values that were compared.
type ThresholdResult struct {
	Bar
	// Measured is the variant's mean, Compared that of the opponent, and Opponent the
	// opponent's name.
	Measured float64 `json:"measured"`
	Compared float64 `json:"compared"`
	Opponent string  `json:"opponent"`
	// Ratio is Measured divided by Compared; nil if Compared is 0.
	Ratio *float64 `json:"ratio,omitempty"`
	// ThroughputRatio is the variant's samples per hour divided by the baseline's; nil
	// if the bar has no throughput condition.
	ThroughputRatio *float64 `json:"throughput_ratio,omitempty"`
	Met             bool     `json:"met"`
}

// evaluateBar evaluates a bar on a point's results. It returns false if the variant or the
// opponent did not run or lacks the figure.
func (s *Settings) evaluateBar(bar Bar, point Point) (ThresholdResult, bool) {
	variant, ran := point.VariantNamed(bar.Variant)
	summary, hasFigure := variant.SummaryNamed(bar.Figure)
	if !ran || !hasFigure {
		return ThresholdResult{}, false
	}
	result := ThresholdResult{Bar: bar, Measured: summary.Mean, Opponent: string(AgainstLimit)}
	if bar.Against == AgainstLimit {
		if summary.Limit == nil {
			return ThresholdResult{}, false
		}
		result.Compared = *summary.Limit
		result.evaluate()
		return result, true
	}
	best, found := s.bestBaseline(point, bar.Figure)
	if !found {
		return ThresholdResult{}, false
	}
	bestSummary, _ := best.SummaryNamed(bar.Figure)
	result.Compared, result.Opponent = bestSummary.Mean, best.Name
	if bar.Throughput > 0 {
		ratio := throughputRatio(variant, best)
		result.ThroughputRatio = &ratio
	}
	result.evaluate()
	return result, true
}

// evaluate sets Ratio and Met. If Compared is 0, only 0 meets the bar.
func (r *ThresholdResult) evaluate() {
	if r.Compared > 0 {
		ratio := r.Measured / r.Compared
		r.Ratio = &ratio
	}
	r.Met = r.Measured <= r.AtMost*r.Compared
	if r.ThroughputRatio != nil && *r.ThroughputRatio < r.Throughput {
		r.Met = false
	}
}

// bestBaseline returns the baseline with the lowest mean of a figure.
func (s *Settings) bestBaseline(point Point, figure string) (VariantResult, bool) {
	var best VariantResult
	var lowest Summary
	found := false
	for _, result := range point.Variants {
		variant, _ := s.variant(result.Name)
		summary, hasFigure := result.SummaryNamed(figure)
		if !variant.Baseline() || !hasFigure {
			continue
		}
		if !found || summary.Mean < lowest.Mean {
			best, lowest, found = result, summary, true
		}
	}
	return best, found
}

// throughputRatio returns the samples per hour of one variant divided by those of another,
// or 0 if the other has none.
func throughputRatio(variant, other VariantResult) float64 {
	summary, _ := variant.SummaryNamed(FigureSamplesPerHour)
	otherSummary, _ := other.SummaryNamed(FigureSamplesPerHour)
	if otherSummary.Mean == 0 {
		return 0
	}
	return summary.Mean / otherSummary.Mean
}
