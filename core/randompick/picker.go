package randompick

import (
	"math/rand/v2"

	"poplarworks/core/picking"
)

// Picker takes any open target.
type Picker struct {
	Random *rand.Rand
}

// Pick returns the target's index, and whether any target is open.
func (p *Picker) Pick(view picking.View) (int, bool) {
	start := p.Random.IntN(view.Len())
	for step := range view.Len() {
		if i := (start + step) % view.Len(); view.Open(i) {
			return i, true
		}
	}
	return -1, false
}
