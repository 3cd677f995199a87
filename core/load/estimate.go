package load

import (
	"math"
	"time"
)

const (
	fastWeight = 0.02  // weight of each report in the recent mean
	slowWeight = 0.005 // and in the long-run mean, which is what is left once reports are stale
)

// Estimate follows one target; the zero value with Staleness set is ready for use.
type Estimate struct {
	Staleness time.Duration // age at which a report has lost most of its weight

	own      int
	others   float64 // recent mean of the requests of other entries
	othersAt time.Time
	mean     float64 // long-run mean of others
	reported bool
}

// Sent counts a request that goes to the target.
func (e *Estimate) Sent() {
	e.own++
}

// Done counts a request that ended.
func (e *Estimate) Done() {
	e.own--
}

// Own returns the requests of this entry in flight.
func (e *Estimate) Own() int {
	return e.own
}

// Report takes the number of requests that the target says it holds.
func (e *Estimate) Report(now time.Time, inFlight int) {
	// Differences are kept with their sign: a report is older than the own count, and cutting negative ones off would
	// make the mean too high.
	others := float64(inFlight - e.own)
	e.othersAt = now
	if !e.reported {
		e.others, e.mean, e.reported = others, others, true
		return
	}
	e.others += fastWeight * (others - e.others)
	e.mean += slowWeight * (others - e.mean)
}

// At returns the requests that the target probably holds now.
func (e *Estimate) At(now time.Time) float64 {
	if !e.reported {
		return float64(e.own)
	}
	weight := math.Exp(-float64(now.Sub(e.othersAt)) / float64(e.Staleness))
	return float64(e.own) + math.Max(0, weight*e.others+(1-weight)*e.mean)
}

// Age returns how old the newest report is, or a day when there is none.
func (e *Estimate) Age(now time.Time) time.Duration {
	if !e.reported {
		return 24 * time.Hour
	}
	return now.Sub(e.othersAt)
}
