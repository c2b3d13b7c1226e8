package ledger

import (
	"cmp"
	"slices"
)

// sequenceRange is a run of spent sample sequences, both ends included.
type sequenceRange struct {
	_     struct{} `cbor:",toarray"`
	First uint64
	Last  uint64
}

// maxSequenceRanges bounds the runs kept for one coordinator's epoch. Over it
// the oldest gap closes: sequences in it count as spent, which refuses a very
// late sample and never admits one twice.
const maxSequenceRanges = 4096

// sequenceSet is a set of numbers as sorted, disjoint, non-adjacent runs.
type sequenceSet []sequenceRange

func (s sequenceSet) contains(number uint64) bool {
	position := s.after(number)
	return position > 0 && s[position-1].Last >= number
}

// add puts a number in; one that is in already changes nothing.
func (s sequenceSet) add(number uint64) sequenceSet {
	if s.contains(number) {
		return s
	}
	position := s.after(number)
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

// after gives the position of the first run that starts beyond a number.
func (s sequenceSet) after(number uint64) int {
	position, found := slices.BinarySearchFunc(s, number, func(run sequenceRange, number uint64) int {
		return cmp.Compare(run.First, number)
	})
	if found {
		position++
	}
	return position
}
