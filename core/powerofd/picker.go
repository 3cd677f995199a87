package powerofd

import (
	"math/rand/v2"

	"poplarworks/core/picking"
)

// Picker draws Choices targets and takes the one with the lowest cost; its cost does not grow with the targets as long
// as some of those drawn are eligible.
type Picker struct {
	Choices int
	Random  *rand.Rand
}

// Pick returns the target's index, and whether any target is eligible.
func (p *Picker) Pick(view picking.View) (int, bool) {
	if best, ok := p.sample(view); ok {
		return best, true
	}
	return p.search(view)
}

func (p *Picker) sample(view picking.View) (int, bool) {
	best, lowest := -1, 0.0
	for range p.Choices {
		i := p.Random.IntN(view.Len())
		if i == best || !view.Eligible(i) {
			continue
		}
		if cost := view.Cost(i); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best, best >= 0
}

// search looks at every target once, from a random place on, until as many eligible ones as choices were seen.
func (p *Picker) search(view picking.View) (int, bool) {
	best, lowest, seen := -1, 0.0, 0
	start := p.Random.IntN(view.Len())
	for step := 0; step < view.Len() && seen < p.Choices; step++ {
		i := (start + step) % view.Len()
		if !view.Eligible(i) {
			continue
		}
		seen++
		if cost := view.Cost(i); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best, best >= 0
}
