package oracle

import (
	"math/rand/v2"

	"poplarworks/core/picking"
)

// Picker picks the open target with the lowest true cost. Ties are broken at random.
type Picker struct {
	Random   *rand.Rand
	Refresh  func() // updates the true costs; called before each decision
	TrueCost func(target string) float64
}

// Pick returns the index of the target picked and whether any target is open.
func (p *Picker) Pick(view picking.View) (int, bool) {
	p.Refresh()
	best, lowest := -1, 0.0
	start := p.Random.IntN(view.Len())
	for offset := range view.Len() {
		i := (start + offset) % view.Len()
		if !view.Open(i) {
			continue
		}
		if cost := p.TrueCost(view.Name(i)); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best, best >= 0
}
