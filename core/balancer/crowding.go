package balancer

import (
	"math"
	"time"

	"poplarworks/core/quantile"
)

const (
	crowdedShare   = 0.8             // share of taken slots above which some targets slow down
	crowdedSamples = 5               // answers from crowded targets before what they show is believed
	usualCrowding  = 1.6             // until then; a slot less for a moment costs less than a crest on slow ones
	exploreEvery   = 5 * time.Second // between requests that go to a crowded target to see whether it is still slower
	ratioUnit      = time.Second     // in which the tracker holds a ratio of one
)

// crowding is what the targets of a service have in common: when any of them reported, and how much longer work takes at one
// that is nearly full.
type crowding struct {
	reportedAt time.Time // of the newest report of any target
	tracker    quantile.Tracker
	exploring  int // requests in flight that were sent to a crowded target
	exploredAt time.Time
}

// crowds reports whether one more request makes a target with that many crowded; a request alone never does.
func crowds(held int, slots float64) bool {
	return held > 0 && float64(held+1) > crowdedShare*slots
}

func (c *crowding) begin(now time.Time) {
	c.exploring++
	c.exploredAt = now
}

func (c *crowding) end() {
	c.exploring--
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

// useful returns the slots worth filling: a target that slows down more than its last slots add does more with fewer. One
// request at a time may fill all of them while that is not known, or not any more.
func (c *crowding) useful(now time.Time, slots float64) float64 {
	roomy := max(1, math.Floor(crowdedShare*slots))
	if slots/c.factor() >= roomy || c.mayExplore(now) {
		return slots
	}
	return roomy
}

func (c *crowding) mayExplore(now time.Time) bool {
	return c.exploring == 0 && (c.tracker.Count() < crowdedSamples || now.Sub(c.exploredAt) >= exploreEvery)
}
