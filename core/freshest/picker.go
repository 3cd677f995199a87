package freshest

import (
	"time"

	"poplarworks/core/picking"
)

// picker picks a target when no report is fresh.
type picker interface {
	Pick(view picking.View) (int, bool)
}

// Picker picks the target with the lowest cost among the eligible targets that reported within MaxAge. If there is none
// it uses Fallback.
type Picker struct {
	MaxAge   time.Duration
	Fallback picker
}

// Pick returns the index of the target picked and whether any target is eligible.
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
