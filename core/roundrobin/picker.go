package roundrobin

import "poplarworks/core/picking"

// Picker picks the next open target.
type Picker struct {
	last int // index of the target examined last
}

// Pick returns the index of the target picked and whether any target is open.
func (p *Picker) Pick(view picking.View) (int, bool) {
	for range view.Len() {
		p.last = (p.last + 1) % view.Len()
		if view.Open(p.last) {
			return p.last, true
		}
	}
	return -1, false
}
