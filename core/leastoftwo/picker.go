package leastoftwo

import (
	"math/rand/v2"

	"poplarworks/core/picking"
)

// Picker compares two random open targets by the number of requests that this entry has in flight there.
type Picker struct {
	Random *rand.Rand
}

// Pick returns the index of the target picked and whether any target is open.
func (p *Picker) Pick(view picking.View) (int, bool) {
	first, ok := p.draw(view, -1)
	if !ok {
		return -1, false
	}
	second, ok := p.draw(view, first)
	if !ok || view.OwnInFlight(first) <= view.OwnInFlight(second) {
		return first, true
	}
	return second, true
}

// draw returns a random open target other than the excluded one.
func (p *Picker) draw(view picking.View, excluded int) (int, bool) {
	start := p.Random.IntN(view.Len())
	for offset := range view.Len() {
		if i := (start + offset) % view.Len(); i != excluded && view.Open(i) {
			return i, true
		}
	}
	return -1, false
}
