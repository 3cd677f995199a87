package balancer

import (
	"math"
	"time"

	"poplarworks/core/quantile"
)

const (
	saturationShare           = 0.8             // share of taken slots above which some targets slow down
	minSaturationSamples      = 5               // answers from crowded targets before what they show is believed
	defaultSaturationSlowdown = 1.6             // until then; a slot less for a moment costs less than a crest on slow ones
	exploreInterval           = 5 * time.Second // between requests that go to a crowded target to see whether it is still slower
	ratioScale                = time.Second     // in which the tracker holds a ratio of one
)

// crowding is what the targets of a service have in common: when any of them reported, and how much longer work takes at one
// that is nearly full.
type saturation struct {
	reportedAt time.Time // of the newest report of any target
	tracker    quantile.Tracker
	exploring  int // requests in flight that were sent to a crowded target
	exploredAt time.Time
}

// crowds reports whether one more request makes a target with that many crowded; a request alone never does.
func nearsSaturation(inFlight int, slots float64) bool {
	return inFlight > 0 && float64(inFlight+1) > saturationShare*slots
}

func (c *saturation) beginExploring(now time.Time) {
	c.exploring++
	c.exploredAt = now
}

func (c *saturation) endExploring() {
	c.exploring--
}

func (c *saturation) addRatio(ratio float64) {
	c.tracker.Quantile = 0.5
	c.tracker.Add(time.Duration(ratio * float64(ratioScale)))
}

func (c *saturation) slowdownFactor() float64 {
	if c.tracker.Count() < minSaturationSamples {
		return defaultSaturationSlowdown
	}
	return max(1, float64(c.tracker.Value())/float64(ratioScale))
}

// useful returns the slots worth filling: a target that slows down more than its last slots add does more with fewer. One
// request at a time may fill all of them while that is not known, or not any more.
func (c *saturation) usableSlots(now time.Time, slots float64) float64 {
	belowSaturation := max(1, math.Floor(saturationShare*slots))
	if slots/c.slowdownFactor() >= belowSaturation || c.canExplore(now) {
		return slots
	}
	return belowSaturation
}

func (c *saturation) canExplore(now time.Time) bool {
	return c.exploring == 0 && (c.tracker.Count() < minSaturationSamples || now.Sub(c.exploredAt) >= exploreInterval)
}
