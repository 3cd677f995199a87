package quantile

import "time"

const (
	step          = 0.04 // relative size of a correction
	warmupSamples = 20   // samples with larger corrections, so that the estimate converges quickly
	warmupFactor  = 5
	minValue      = time.Microsecond
)

// Tracker estimates one quantile by stochastic approximation: a sample above the estimate moves it up and a sample
// below moves it down, with step sizes in the proportion that holds the estimate at the quantile.
type Tracker struct {
	Quantile float64 // from 0 to 1

	estimate float64
	count    int
}

// Add updates the estimate with a sample.
func (t *Tracker) Add(sample time.Duration) {
	t.count++
	if t.count == 1 {
		t.estimate = float64(max(sample, minValue))
		return
	}
	size := step
	if t.count < warmupSamples {
		size *= warmupFactor
	}
	if float64(sample) > t.estimate {
		t.estimate *= 1 + size*t.Quantile
	} else {
		t.estimate *= 1 - size*(1-t.Quantile)
	}
	t.estimate = max(t.estimate, float64(minValue))
}

// Value returns the estimate, or zero before the first sample.
func (t *Tracker) Value() time.Duration {
	return time.Duration(t.estimate)
}

// Count returns the number of samples.
func (t *Tracker) Count() int {
	return t.count
}
