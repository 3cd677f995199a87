package balancer

import "poplarworks/core/lifecycle"

// census counts the targets by state; it is taken at each change, so that a pick costs the same for any number.
type census struct {
	present int     // targets that are neither leaving nor removed
	ejected int     // of these, ejected or on trial
	errors  float64 // mean share of failed attempts
}

func (b *Balancer) count() {
	b.census = census{}
	for _, t := range b.targets {
		state := t.machine.State()
		if t.removed || t.stopped || state == lifecycle.Leaving {
			continue
		}
		b.census.present++
		b.census.errors += t.score.ErrorShare()
		if state == lifecycle.Ejected || state == lifecycle.Trial {
			b.census.ejected++
		}
	}
	if b.census.present > 0 {
		b.census.errors /= float64(b.census.present)
	}
}

// mayEject keeps at least half of the targets.
func (c census) mayEject() bool {
	return 2*(c.ejected+1) <= c.present
}

// panicking reports whether so many targets are ejected that ejection is no longer heeded.
func (c census) panicking() bool {
	return 2*c.ejected > c.present
}
