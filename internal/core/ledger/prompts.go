package ledger

import (
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// promptSet is a set of prompts: all that are less than Below, and those in Above, sorted.
type promptSet struct {
	Below port.PromptIndex   `cbor:"1,keyasint"`
	Above []port.PromptIndex `cbor:"2,keyasint,omitempty"`
}

func (p *promptSet) contains(prompt port.PromptIndex) bool {
	if prompt < p.Below {
		return true
	}
	_, found := slices.BinarySearch(p.Above, prompt)
	return found
}

func (p *promptSet) add(prompt port.PromptIndex) {
	position, found := slices.BinarySearch(p.Above, prompt)
	if prompt < p.Below || found {
		return
	}
	p.Above = slices.Insert(p.Above, position, prompt)
	contiguous := 0
	for contiguous < len(p.Above) && p.Above[contiguous] == p.Below {
		p.Below++
		contiguous++
	}
	p.Above = slices.Delete(p.Above, 0, contiguous)
}

// remove removes prompts, and lowers Below to the lowest of them if that is less.
func (p *promptSet) remove(prompts []port.PromptIndex) {
	if len(prompts) == 0 {
		return
	}
	removed := make(map[port.PromptIndex]bool, len(prompts))
	below := p.Below
	for _, prompt := range prompts {
		removed[prompt] = true
		below = min(below, prompt)
	}
	var above []port.PromptIndex
	for prompt := below; prompt < p.Below; prompt++ {
		if !removed[prompt] {
			above = append(above, prompt)
		}
	}
	for _, prompt := range p.Above {
		if !removed[prompt] {
			above = append(above, prompt)
		}
	}
	p.Below, p.Above = below, above
}

func (p *promptSet) clone() promptSet {
	return promptSet{Below: p.Below, Above: slices.Clone(p.Above)}
}
