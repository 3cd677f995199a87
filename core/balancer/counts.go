package balancer

import "poplarworks/core/targetstate"

// targetCounts counts the targets by state. The counts are updated at each change, so that the cost of a pick does not
// depend on the number of targets.
type targetCounts struct {
	present    int     // targets that are not leaving, stopped or removed
	ejected    int     // present targets that are ejected or on trial
	errorShare float64 // mean share of failed attempts over the present targets
}

func (b *Balancer) countTargets() {
	b.targetCounts = targetCounts{}
	for _, t := range b.targets {
		state := t.stateMachine.State()
		if t.removed || t.stopped || state == targetstate.Leaving {
			continue
		}
		b.targetCounts.present++
		b.targetCounts.errorShare += t.slownessScore.ErrorShare()
		if state == targetstate.Ejected || state == targetstate.Trial {
			b.targetCounts.ejected++
		}
	}
	if b.targetCounts.present > 0 {
		b.targetCounts.errorShare /= float64(b.targetCounts.present)
	}
}

// mayEject reports whether one more target may be ejected; at least half of them must stay in rotation.
func (c targetCounts) mayEject() bool {
	return 2*(c.ejected+1) <= c.present
}

// inPanicMode reports whether more than half of the targets are ejected, so that ejection is ignored.
func (c targetCounts) inPanicMode() bool {
	return 2*c.ejected > c.present
}
