package roundrobin

import "poplarworks/core/picking"

// Picker takes the next open target.
type Picker struct {
	next int
}

// Pick returns the target's index, and whether any target is open.
func (p *Picker) Pick(view picking.View) (int, bool) {
	for range view.Len() {
		p.next = (p.next + 1) % view.Len()
		if view.Open(p.next) {
			return p.next, true
		}
	}
	return -1, false
}
