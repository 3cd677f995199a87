package balancer

import (
	"math"
	"time"

	"poplarworks/core/quantile"
)

const (
	saturationShare           = 0.8             // share of occupied slots above which some targets slow down
	minSaturationSamples      = 5               // answers needed before the measured slowdown is used
	defaultSaturationSlowdown = 1.6             // used until then; an unused slot costs less than a peak on slow targets
	exploreInterval           = 5 * time.Second // time between requests that measure the slowdown again
	ratioScale                = time.Second     // duration that stands for a ratio of 1 in the tracker
)

// saturation is the state that the targets of a service share: the time of the newest load report, and how much longer
// requests take at a nearly saturated target.
type saturation struct {
	reportedAt time.Time // time of the newest load report of any target
	tracker    quantile.Tracker
	exploring  int // requests in flight that were sent to a nearly saturated target
	exploredAt time.Time
}

// nearsSaturation reports whether one more request brings a target close to saturation. A request that is alone at its
// target never does.
func nearsSaturation(inFlight int, slots float64) bool {
	return inFlight > 0 && float64(inFlight+1) > saturationShare*slots
}

// beginExploring counts a request that is sent to a nearly saturated target.
func (c *saturation) beginExploring(now time.Time) {
	c.exploring++
	c.exploredAt = now
}

// endExploring counts the end of a request that was counted by beginExploring.
func (c *saturation) endExploring() {
	c.exploring--
}

// addRatio adds a latency at a nearly saturated target, as a multiple of the base latency.
func (c *saturation) addRatio(ratio float64) {
	c.tracker.Quantile = 0.5
	c.tracker.Add(time.Duration(ratio * float64(ratioScale)))
}

// slowdownFactor returns the median slowdown at nearly saturated targets, or a default while there are too few samples.
func (c *saturation) slowdownFactor() float64 {
	if c.tracker.Count() < minSaturationSamples {
		return defaultSaturationSlowdown
	}
	return max(1, float64(c.tracker.Value())/float64(ratioScale))
}

// usableSlots returns how many slots should be filled. A target that slows down by more than its last slots add has a
// higher throughput with fewer requests. While that slowdown has not been measured, or not recently, one request at a
// time may use the remaining slots.
func (c *saturation) usableSlots(now time.Time, slots float64) float64 {
	belowSaturation := max(1, math.Floor(saturationShare*slots))
	if slots/c.slowdownFactor() >= belowSaturation || c.canExplore(now) {
		return slots
	}
	return belowSaturation
}

// canExplore reports whether a request may be sent to a nearly saturated target to measure the slowdown.
func (c *saturation) canExplore(now time.Time) bool {
	return c.exploring == 0 && (c.tracker.Count() < minSaturationSamples || now.Sub(c.exploredAt) >= exploreInterval)
}
