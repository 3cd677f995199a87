package quantile

import "time"

const (
	step        = 0.04 // relative size of a correction
	firstSteps  = 20   // corrections that are larger, to settle quickly
	firstFactor = 5
	least       = time.Microsecond
)

// Tracker moves its value up when a sample lies above it and down when it lies below, in proportion to the quantile.
type Tracker struct {
	Quantile float64 // from 0 to 1

	value float64
	count int
}

// Add takes a sample.
func (t *Tracker) Add(sample time.Duration) {
	t.count++
	if t.count == 1 {
		t.value = float64(max(sample, least))
		return
	}
	size := step
	if t.count < firstSteps {
		size *= firstFactor
	}
	if float64(sample) > t.value {
		t.value *= 1 + size*t.Quantile
	} else {
		t.value *= 1 - size*(1-t.Quantile)
	}
	t.value = max(t.value, float64(least))
}

// Value returns the quantile, or zero before the first sample.
func (t *Tracker) Value() time.Duration {
	return time.Duration(t.value)
}

// Count returns the number of samples.
func (t *Tracker) Count() int {
	return t.count
}
