package oracle

import (
	"math/rand/v2"

	"poplarworks/core/picking"
)

// Picker takes the open target with the least true cost.
type Picker struct {
	Random   *rand.Rand
	Refresh  func() // called before each decision
	TrueCost func(target string) float64
}

// Pick returns the target's index, and whether any target is open.
func (p *Picker) Pick(view picking.View) (int, bool) {
	p.Refresh()
	best, lowest := -1, 0.0
	start := p.Random.IntN(view.Len())
	for step := range view.Len() {
		i := (start + step) % view.Len()
		if !view.Open(i) {
			continue
		}
		if cost := p.TrueCost(view.Name(i)); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best, best >= 0
}
