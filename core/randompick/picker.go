package randompick

import (
	"math/rand/v2"

	"poplarworks/core/picking"
)

// Picker picks a random open target.
type Picker struct {
	Random *rand.Rand
}

// Pick returns the index of the target picked and whether any target is open.
func (p *Picker) Pick(view picking.View) (int, bool) {
	start := p.Random.IntN(view.Len())
	for offset := range view.Len() {
		if i := (start + offset) % view.Len(); view.Open(i) {
			return i, true
		}
	}
	return -1, false
}
