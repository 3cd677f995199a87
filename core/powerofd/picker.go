package powerofd

import (
	"math/rand/v2"

	"poplarworks/core/picking"
)

// fineCost is the cost up to which a free slot is taken without a look at others.
const fineCost = 2.0

// Picker draws Choices targets and takes the one with the lowest cost. It draws among the targets at which this entry
// has a slot of its own free first, since that is the only load it knows without delay; others are compared too when
// the best of these is slow. The cost of a pick does not grow with the targets as long as some of those drawn are
// eligible.
type Picker struct {
	Choices int
	Random  *rand.Rand
}

// candidate is the best target of a draw.
type candidate struct {
	index int
	cost  float64
	found bool
}

// Pick returns the target's index, and whether any target is eligible.
func (p *Picker) Pick(view picking.View) (int, bool) {
	var own candidate
	if n := view.Free(); n > 0 {
		own = p.cheapest(view, n, true)
		if own.found && own.cost <= fineCost {
			return own.index, true
		}
	}
	other := p.cheapest(view, view.Len(), false)
	if own.found && (!other.found || own.cost <= other.cost) {
		return own.index, true
	}
	return other.index, other.found
}

// cheapest compares as many eligible targets as there are choices, from a random place of the list on.
func (p *Picker) cheapest(view picking.View, n int, free bool) candidate {
	best, seen := candidate{index: -1}, 0
	start := p.Random.IntN(n)
	for step := 0; step < n && seen < p.Choices; step++ {
		i := (start + step) % n
		if free {
			i = view.FreeAt(i)
		}
		if !view.Eligible(i) {
			continue
		}
		seen++
		if cost := view.Cost(i); !best.found || cost < best.cost {
			best = candidate{index: i, cost: cost, found: true}
		}
	}
	return best
}
