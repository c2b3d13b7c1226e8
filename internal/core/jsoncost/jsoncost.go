// Package jsoncost estimates, before a JSON text is decoded, how much memory its values take. A short
// text can hold very many values: an empty object takes three bytes as text and several hundred once
// decoded.
package jsoncost

// Costs is the memory in bytes that the parts of a text take once decoded. The depth of the outermost
// value is 0; each array and object in it adds 1. A part deeper than a list has the cost of its last
// entry; an empty list costs nothing.
type Costs struct {
	// Element lists the cost of an element of an array, by the depth of the array.
	Element []int64
	// Member lists the cost of a member of an object, by the depth of the object. Members of an object that
	// is decoded to a struct cost nothing.
	Member []int64
	// Text is the number of copies of the text itself.
	Text int64
}

// maxTrackedDepth is the depth below which the kinds of enclosing values are not tracked: separators
// count with the larger cost there.
const maxTrackedDepth = 64

// Of returns the memory that a text takes once decoded. It does not check the text's syntax.
func (c *Costs) Of(text []byte) int64 {
	cost := c.Text * int64(len(text))
	var isObject [maxTrackedDepth]bool
	depth, inText := -1, false
	for i := 0; i < len(text); i++ {
		switch symbol := text[i]; {
		case inText:
			switch symbol {
			case '\\':
				i++
			case '"':
				inText = false
			}
		case symbol == '"':
			inText = true
		case symbol == '{' || symbol == '[':
			depth++
			if depth < maxTrackedDepth {
				isObject[depth] = symbol == '{'
			}
			cost += c.part(depth, symbol == '{') // the first element or member
		case symbol == '}' || symbol == ']':
			depth = max(-1, depth-1)
		case symbol == ',' && depth >= 0 && depth < maxTrackedDepth:
			cost += c.part(depth, isObject[depth])
		case symbol == ',':
			cost += max(c.part(maxTrackedDepth, false), c.part(maxTrackedDepth, true))
		}
	}
	return cost
}

// part returns the cost of an element of an array, or a member of an object.
func (c *Costs) part(depth int, object bool) int64 {
	costs := c.Element
	if object {
		costs = c.Member
	}
	if len(costs) == 0 {
		return 0
	}
	return costs[min(max(0, depth), len(costs)-1)]
}
