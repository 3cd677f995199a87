package freshest

import (
	"time"

	"poplarworks/core/picking"
)

// picker chooses when no report is fresh.
type picker interface {
	Pick(view picking.View) (int, bool)
}

// Picker takes the cheapest of the eligible targets that reported within MaxAge, and leaves the choice to Fallback when
// there is none.
type Picker struct {
	MaxAge   time.Duration
	Fallback picker
}

// Pick returns the target's index, and whether any target is eligible.
func (p *Picker) Pick(view picking.View) (int, bool) {
	best, lowest := -1, 0.0
	for i := range view.Len() {
		if view.ReportAge(i) > p.MaxAge || !view.Eligible(i) {
			continue
		}
		if cost := view.Cost(i); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	if best >= 0 {
		return best, true
	}
	return p.Fallback.Pick(view)
}
