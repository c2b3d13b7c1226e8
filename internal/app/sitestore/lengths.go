package sitestore

const (
	// tailShare is the minimum remaining length of a text relative to its current length.
	// Lengths are heavy-tailed: a text beyond its expected length is not near its end.
	tailShare = 0.5
	// lengthWeight is the weight of a new text in the means.
	lengthWeight = 0.02
)

// lengths estimates the lengths of texts in events from the lengths that clients expect, by
// model.
type lengths map[string]*lengthMeans

type lengthMeans struct{ events, expected float64 }

// record records a complete text.
func (l lengths) record(item *itemState) {
	means := l[item.model]
	if means == nil {
		means = &lengthMeans{events: float64(item.length()), expected: float64(item.spec.ExpectedLength())}
		l[item.model] = means
		return
	}
	means.events += lengthWeight * (float64(item.length()) - means.events)
	means.expected += lengthWeight * (float64(item.spec.ExpectedLength()) - means.expected)
}

// remaining returns the expected number of further events of an item.
func (l lengths) remaining(item *itemState) float64 {
	current := float64(item.length())
	return max(l.expected(item)-current, tailShare*current, 1)
}

// expected returns the expected length of an item's text.
func (l lengths) expected(item *itemState) float64 {
	means, expected := l[item.model], item.spec.ExpectedLength()
	switch {
	case means == nil:
		return 0
	case expected == 0 || means.expected == 0:
		return means.events
	default:
		return float64(expected) * means.events / means.expected
	}
}
