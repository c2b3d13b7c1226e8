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
	// Transient is what a member takes in addition while its object is decoded, if members of such objects
	// cost anything: only one object is decoded at a time, so the one with the most members counts.
	Transient int64
	// Text is the number of copies of the text itself.
	Text int64
}

// maxTrackedDepth is the depth from which the kinds of enclosing values are not tracked: separators
// count with the larger cost there.
const maxTrackedDepth = 64

// Of returns the memory that a text takes once decoded. It does not check the text's syntax.
func (c *Costs) Of(text []byte) int64 {
	scan := scanner{costs: c, depth: -1}
	inText := false
	for i := 0; i < len(text); i++ {
		switch symbol := text[i]; {
		case inText && symbol == '\\':
			i++
		case symbol == '"':
			inText = !inText
		case inText:
		case symbol == '{' || symbol == '[':
			scan.open(symbol == '{', isEmpty(text[i+1:]))
		case symbol == '}' || symbol == ']':
			scan.depth = max(-1, scan.depth-1)
		case symbol == ',':
			scan.add()
		}
	}
	return c.Text*int64(len(text)) + scan.cost + c.Transient*scan.mostMembers
}

// isEmpty reports whether an array or object ends before its first element; rest follows its opening.
func isEmpty(rest []byte) bool {
	for _, symbol := range rest {
		switch symbol {
		case ' ', '\t', '\r', '\n':
		case '}', ']':
			return true
		default:
			return false
		}
	}
	return true
}

// scanner adds up the cost of a text's elements and members.
type scanner struct {
	costs *Costs
	depth int
	cost  int64
	// isObject and members are the kind of each enclosing value, and the number of its members so far.
	isObject [maxTrackedDepth]bool
	members  [maxTrackedDepth]int64
	// mostMembers is the number of members of the object with the most, of those whose members cost.
	mostMembers int64
}

// open begins an array or an object, with its first element or member unless it is empty.
func (s *scanner) open(object, empty bool) {
	s.depth++
	switch {
	case s.depth < maxTrackedDepth:
		s.isObject[s.depth], s.members[s.depth] = object, 0
		if !empty {
			s.add()
		}
	case empty:
	case object:
		s.cost += at(s.costs.Member, s.depth)
	default:
		s.cost += at(s.costs.Element, s.depth)
	}
}

// add adds an element or a member of the innermost value.
func (s *scanner) add() {
	switch {
	case s.depth < 0:
	case s.depth >= maxTrackedDepth:
		s.cost += max(at(s.costs.Element, s.depth), at(s.costs.Member, s.depth))
	case !s.isObject[s.depth]:
		s.cost += at(s.costs.Element, s.depth)
	case at(s.costs.Member, s.depth) > 0:
		s.cost += at(s.costs.Member, s.depth)
		s.members[s.depth]++
		s.mostMembers = max(s.mostMembers, s.members[s.depth])
	}
}

// at returns the cost at a depth.
func at(costs []int64, depth int) int64 {
	if len(costs) == 0 {
		return 0
	}
	return costs[min(depth, len(costs)-1)]
}
