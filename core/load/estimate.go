package load

import (
	"math"
	"time"
)

const (
	recentWeight  = 0.02  // weight of a report in the recent moving average
	longRunWeight = 0.005 // weight of a report in the long-run moving average, which is used once reports are stale
)

// Estimate tracks one target. The zero value with Staleness set is ready for use.
type Estimate struct {
	Staleness time.Duration // time constant with which the weight of the last report decays

	own        int     // requests of this entry in flight
	others     float64 // recent moving average of the requests of other entries in flight
	reportedAt time.Time
	longRun    float64 // long-run moving average of the requests of other entries in flight
	reported   bool
}

// Sent counts a request sent to the target.
func (e *Estimate) Sent() {
	e.own++
}

// Done counts a request that has ended.
func (e *Estimate) Done() {
	e.own--
}

// OwnInFlight returns the number of requests of this entry in flight at the target.
func (e *Estimate) OwnInFlight() int {
	return e.own
}

// Report records the number of requests in flight that the target reports.
func (e *Estimate) Report(now time.Time, inFlight int) {
	// Negative differences are kept: a report is older than the count of own requests, and clamping the difference at
	// zero would bias the average upwards.
	others := float64(inFlight - e.own)
	e.reportedAt = now
	if !e.reported {
		e.others, e.longRun, e.reported = others, others, true
		return
	}
	e.others += recentWeight * (others - e.others)
	e.longRun += longRunWeight * (others - e.longRun)
}

// At estimates the number of requests in flight at the target now.
func (e *Estimate) At(now time.Time) float64 {
	if !e.reported {
		return float64(e.own)
	}
	weight := math.Exp(-float64(now.Sub(e.reportedAt)) / float64(e.Staleness))
	return float64(e.own) + math.Max(0, weight*e.others+(1-weight)*e.longRun)
}

// Age returns the age of the newest report, or 24 hours if there is none.
func (e *Estimate) Age(now time.Time) time.Duration {
	if !e.reported {
		return 24 * time.Hour
	}
	return now.Sub(e.reportedAt)
}
