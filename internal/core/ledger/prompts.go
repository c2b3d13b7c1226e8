package ledger

import (
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// promptSet is a set of prompts: all those below Below, and the sorted ones in Above.
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
	joined := 0
	for joined < len(p.Above) && p.Above[joined] == p.Below {
		p.Below++
		joined++
	}
	p.Above = slices.Delete(p.Above, 0, joined)
}

// remove removes prompts and lowers Below to the lowest of them.
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
