package ledger

import (
	"cmp"
	"slices"
)

// sequenceRange is a range of used sample sequences, both ends inclusive.
type sequenceRange struct {
	_     struct{} `cbor:",toarray"`
	First uint64
	Last  uint64
}

// maxSequenceRanges limits the ranges stored for one coordinator epoch. Beyond it, add
// closes the oldest gap: its sequences count as used, so a very late sample may be
// rejected but none is accepted twice.
const maxSequenceRanges = 4096

// sequenceSet is a set of numbers stored as sorted, disjoint, non-adjacent ranges.
type sequenceSet []sequenceRange

func (s sequenceSet) contains(number uint64) bool {
	position := s.upperBound(number)
	return position > 0 && s[position-1].Last >= number
}

// add inserts a number if it is missing.
func (s sequenceSet) add(number uint64) sequenceSet {
	if s.contains(number) {
		return s
	}
	position := s.upperBound(number)
	joinsLeft := position > 0 && s[position-1].Last+1 == number
	joinsRight := position < len(s) && s[position].First == number+1
	switch {
	case joinsLeft && joinsRight:
		s[position-1].Last = s[position].Last
		s = slices.Delete(s, position, position+1)
	case joinsLeft:
		s[position-1].Last = number
	case joinsRight:
		s[position].First = number
	default:
		s = slices.Insert(s, position, sequenceRange{First: number, Last: number})
	}
	if len(s) > maxSequenceRanges {
		s[0].Last = s[1].Last
		s = slices.Delete(s, 1, 2)
	}
	return s
}

// upperBound returns the index of the first range that starts after a number.
func (s sequenceSet) upperBound(number uint64) int {
	position, found := slices.BinarySearchFunc(s, number, func(candidate sequenceRange, number uint64) int {
		return cmp.Compare(candidate.First, number)
	})
	if found {
		position++
	}
	return position
}
