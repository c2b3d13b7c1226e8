package experiment

// BarResult is a bar with what was measured.
type BarResult struct {
	Bar
	// Measured is the variant's mean, Compared that of the opponent, whose name
	// is Opponent.
	Measured float64 `json:"measured"`
	Compared float64 `json:"compared"`
	Opponent string  `json:"opponent"`
	// Ratio is Measured over Compared; nil where Compared is 0.
	Ratio *float64 `json:"ratio,omitempty"`
	// ThroughputRatio is the variant's samples an hour over the baseline's; nil
	// where the bar does not ask for it.
	ThroughputRatio *float64 `json:"throughput_ratio,omitempty"`
	Met             bool     `json:"met"`
}

// judge compares a bar with a point's results. It is not judged where its variant
// or opponent did not run, or lacks the figure.
func (s *Settings) judge(bar Bar, point Point) (BarResult, bool) {
	variant, ran := point.VariantNamed(bar.Variant)
	summary, known := variant.SummaryNamed(bar.Figure)
	if !ran || !known {
		return BarResult{}, false
	}
	result := BarResult{Bar: bar, Measured: summary.Mean, Opponent: string(AgainstLimit)}
	if bar.Against == AgainstLimit {
		if summary.Limit == nil {
			return BarResult{}, false
		}
		result.Compared = *summary.Limit
		result.decide()
		return result, true
	}
	best, found := s.bestBaseline(point, bar.Figure)
	if !found {
		return BarResult{}, false
	}
	bestSummary, _ := best.SummaryNamed(bar.Figure)
	result.Compared, result.Opponent = bestSummary.Mean, best.Name
	if bar.Throughput > 0 {
		ratio := throughputRatio(variant, best)
		result.ThroughputRatio = &ratio
	}
	result.decide()
	return result, true
}

// decide fills in the ratio and the verdict. Against 0 only 0 meets a bar.
func (r *BarResult) decide() {
	if r.Compared > 0 {
		ratio := r.Measured / r.Compared
		r.Ratio = &ratio
	}
	r.Met = r.Measured <= r.AtMost*r.Compared
	if r.ThroughputRatio != nil && *r.ThroughputRatio < r.Throughput {
		r.Met = false
	}
}

// bestBaseline is the baseline with the lowest mean of a figure.
func (s *Settings) bestBaseline(point Point, figure string) (VariantResult, bool) {
	var best VariantResult
	var lowest Summary
	found := false
	for _, result := range point.Variants {
		variant, _ := s.variant(result.Name)
		summary, known := result.SummaryNamed(figure)
		if !variant.Baseline() || !known {
			continue
		}
		if !found || summary.Mean < lowest.Mean {
			best, lowest, found = result, summary, true
		}
	}
	return best, found
}

// throughputRatio is the samples an hour of one variant over those of another; 0
// where the other has none.
func throughputRatio(variant, other VariantResult) float64 {
	summary, _ := variant.SummaryNamed(FigureSamplesPerHour)
	otherSummary, _ := other.SummaryNamed(FigureSamplesPerHour)
	if otherSummary.Mean == 0 {
		return 0
	}
	return summary.Mean / otherSummary.Mean
}
