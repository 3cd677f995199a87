package powerofd

import (
	"math/rand/v2"

	"poplarworks/core/picking"
)

// acceptableCost is the cost up to which a free slot is used without comparing other targets.
const acceptableCost = 2.0

// Picker draws Choices targets and picks the one with the lowest cost. It first draws among the targets that have a
// free slot allotted to this entry, since that is the only load that it knows without delay. If the best of these costs
// more than acceptableCost, it also draws among all targets. The time of a pick does not grow with the number of
// targets as long as some of those drawn are eligible.
type Picker struct {
	Choices int
	Random  *rand.Rand
}

// candidate is the target with the lowest cost in a draw.
type candidate struct {
	index int
	cost  float64
	found bool
}

// Pick returns the index of the target picked and whether any target is eligible.
func (p *Picker) Pick(view picking.View) (int, bool) {
	var own candidate
	if n := view.FreeCount(); n > 0 {
		own = p.cheapest(view, n, true)
		if own.found && own.cost <= acceptableCost {
			return own.index, true
		}
	}
	other := p.cheapest(view, view.Len(), false)
	if own.found && (!other.found || own.cost <= other.cost) {
		return own.index, true
	}
	return other.index, other.found
}

// cheapest compares up to Choices eligible targets, starting at a random position in the list. If free is set the list
// holds only the targets with a free slot allotted to this entry.
func (p *Picker) cheapest(view picking.View, n int, free bool) candidate {
	best, compared := candidate{index: -1}, 0
	start := p.Random.IntN(n)
	for offset := 0; offset < n && compared < p.Choices; offset++ {
		i := (start + offset) % n
		if free {
			i = view.FreeAt(i)
		}
		if !view.Eligible(i) {
			continue
		}
		compared++
		if cost := view.Cost(i); !best.found || cost < best.cost {
			best = candidate{index: i, cost: cost, found: true}
		}
	}
	return best
}
