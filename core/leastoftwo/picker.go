package leastoftwo

import (
	"math/rand/v2"

	"poplarworks/core/picking"
)

// Picker compares two open targets by this entry's requests in flight.
type Picker struct {
	Random *rand.Rand
}

// Pick returns the target's index, and whether any target is open.
func (p *Picker) Pick(view picking.View) (int, bool) {
	first, ok := p.draw(view, -1)
	if !ok {
		return -1, false
	}
	second, ok := p.draw(view, first)
	if !ok || view.Own(first) <= view.Own(second) {
		return first, true
	}
	return second, true
}

func (p *Picker) draw(view picking.View, except int) (int, bool) {
	start := p.Random.IntN(view.Len())
	for step := range view.Len() {
		if i := (start + step) % view.Len(); i != except && view.Open(i) {
			return i, true
		}
	}
	return -1, false
}
