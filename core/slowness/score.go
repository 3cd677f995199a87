package slowness

import (
	"math"
	"time"
)

const (
	maxRatio     = 50.0
	minRatio     = 0.2
	overdueRatio = 1.5 // multiple of the expected latency after which a request still in flight raises the score
)

// Score tracks one target. The exported fields are set before use.
type Score struct {
	DecayTime time.Duration // time constant of the exponential decay of past answers
	Weight    float64       // weight of one answer in the moving average

	ratio      float64
	updatedAt  time.Time
	errorShare float64
	inFlight   []attempt
}

// attempt is a request in flight.
type attempt struct {
	id        uint64
	startedAt time.Time
	expected  time.Duration
}

// Begin records a request in flight and its expected latency.
func (s *Score) Begin(id uint64, now time.Time, expected time.Duration) {
	s.inFlight = append(s.inFlight, attempt{id: id, startedAt: now, expected: expected})
}

// End removes a request in flight without scoring it.
func (s *Score) End(id uint64) {
	for i, f := range s.inFlight {
		if f.id == id {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return
		}
	}
}

// RecordAnswer records the latency of an answer and the latency that was expected.
func (s *Score) RecordAnswer(now time.Time, latency, expected time.Duration) {
	s.errorShare -= s.Weight * s.errorShare
	if expected <= 0 {
		return
	}
	s.record(now, float64(latency)/float64(expected))
}

// RecordFailure records an attempt that failed. It scores as an answer with penalty times the expected latency, however
// fast the failure came, so that a target that fails fast does not look fast.
func (s *Score) RecordFailure(now time.Time, penalty float64) {
	s.errorShare += s.Weight * (1 - s.errorShare)
	s.record(now, penalty)
}

// record adds one ratio of actual to expected latency to the moving average.
func (s *Score) record(now time.Time, ratio float64) {
	ratio = math.Min(math.Max(ratio, minRatio), maxRatio)
	current := s.decayedRatio(now)
	s.ratio = current + s.Weight*(ratio-current)
	s.updatedAt = now
}

// decayedRatio returns the moving average, decayed towards 1 by the time since the last answer.
func (s *Score) decayedRatio(now time.Time) float64 {
	if s.updatedAt.IsZero() {
		return 1
	}
	weight := math.Exp(-float64(now.Sub(s.updatedAt)) / float64(s.DecayTime))
	return 1 + weight*(s.ratio-1)
}

// Ratio estimates how many times longer than expected an answer will take. Requests in flight that are overdue raise
// it.
func (s *Score) Ratio(now time.Time) float64 {
	ratio := s.decayedRatio(now)
	for _, f := range s.inFlight {
		if f.expected <= 0 {
			continue
		}
		age := float64(now.Sub(f.startedAt)) / float64(f.expected)
		if age > overdueRatio && age > ratio {
			ratio = age
		}
	}
	return math.Min(ratio, maxRatio)
}

// ErrorShare returns the moving average of the share of attempts that failed, from 0 to 1.
func (s *Score) ErrorShare() float64 {
	return s.errorShare
}
