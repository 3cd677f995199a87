package balancer

import (
	"math"
	"time"

	"poplarworks/core/quantile"
)

const (
	crowdedShare   = 0.8         // share of taken slots above which some targets slow down
	crowdedSamples = 8           // answers from crowded targets before what they show is believed
	usualCrowding  = 1.3         // until then
	ratioUnit      = time.Second // in which the tracker holds a ratio of one
)

// crowding is what the targets of a service have in common: when any of them reported, and how much longer work takes at one that is
// nearly full.
type crowding struct {
	reportedAt time.Time // of the newest report of any target
	tracker    quantile.Tracker
}

func (c *crowding) add(ratio float64) {
	c.tracker.Quantile = 0.5
	c.tracker.Add(time.Duration(ratio * float64(ratioUnit)))
}

func (c *crowding) factor() float64 {
	if c.tracker.Count() < crowdedSamples {
		return usualCrowding
	}
	return max(1, float64(c.tracker.Value())/float64(ratioUnit))
}

// useful returns the slots worth filling: a target that slows down more than its last slots add does more with fewer.
func (c *crowding) useful(slots float64) float64 {
	if roomy := max(1, math.Floor(crowdedShare*slots)); slots/c.factor() < roomy {
		return roomy
	}
	return slots
}
