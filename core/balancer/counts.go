package balancer

import "poplarworks/core/lifecycle"

// census counts the targets by state; it is taken at each change, so that a pick costs the same for any number.
type targetCounts struct {
	present int     // targets that are neither leaving nor removed
	ejected int     // of these, ejected or on trial
	meanErrorShare  float64 // mean share of failed attempts
}

func (b *Balancer) countTargets() {
	b.targetCounts = targetCounts{}
	for _, t := range b.targets {
		state := t.stateMachine.State()
		if t.removed || t.stopped || state == lifecycle.Leaving {
			continue
		}
		b.targetCounts.present++
		b.targetCounts.meanErrorShare += t.slownessScore.ErrorShare()
		if state == lifecycle.Ejected || state == lifecycle.Trial {
			b.targetCounts.ejected++
		}
	}
	if b.targetCounts.present > 0 {
		b.targetCounts.meanErrorShare /= float64(b.targetCounts.present)
	}
}

// mayEject keeps at least half of the targets.
func (c targetCounts) mayEject() bool {
	return 2*(c.ejected+1) <= c.present
}

// panicking reports whether so many targets are ejected that ejection is no longer heeded.
func (c targetCounts) inPanicMode() bool {
	return 2*c.ejected > c.present
}
