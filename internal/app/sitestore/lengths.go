package sitestore

const (
	// tailShare is what part of its length so far a text is expected to have still
	// ahead of it at least: lengths have a heavy tail, so that one which has passed
	// what was expected is not near its end.
	tailShare = 0.5
	// lengthWeight is the weight of a new text in the means.
	lengthWeight = 0.02
)

// lengths learns how many events texts have for the length that their jobs'
// clients expected, by model.
type lengths map[string]*lengthMeans

type lengthMeans struct{ events, expected float64 }

// whole notes a whole text.
func (l lengths) whole(item *work) {
	means := l[item.model]
	if means == nil {
		means = &lengthMeans{events: float64(item.length()), expected: float64(item.item.ExpectedLength())}
		l[item.model] = means
		return
	}
	means.events += lengthWeight * (float64(item.length()) - means.events)
	means.expected += lengthWeight * (float64(item.item.ExpectedLength()) - means.expected)
}

// left gives how many events of an item are expected to follow.
func (l lengths) left(item *work) float64 {
	made := float64(item.length())
	return max(l.events(item)-made, tailShare*made, 1)
}

// events gives how many events an item's text is expected to have.
func (l lengths) events(item *work) float64 {
	means, expected := l[item.model], item.item.ExpectedLength()
	switch {
	case means == nil:
		return 0
	case expected == 0 || means.expected == 0:
		return means.events
	default:
		return float64(expected) * means.events / means.expected
	}
}
