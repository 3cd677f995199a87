package slowness

import (
	"math"
	"time"
)

const (
	maxRatio      = 50.0
	minRatio      = 0.2
	patienceRatio = 1.5 // requests in flight for longer than this many expected latencies count against the target
)

// Score follows one target; the fields are set before use.
type Score struct {
	Memory time.Duration // time after which what was seen has lost most of its weight
	Weight float64       // weight of one answer

	ratio   float64
	at      time.Time
	errors  float64
	started []inFlight
}

type inFlight struct {
	id       uint64
	at       time.Time
	expected time.Duration
}

// Begin notes a request in flight and how long it is expected to take.
func (s *Score) Begin(id uint64, now time.Time, expected time.Duration) {
	s.started = append(s.started, inFlight{id: id, at: now, expected: expected})
}

// End forgets a request in flight without judging it.
func (s *Score) End(id uint64) {
	for i, f := range s.started {
		if f.id == id {
			s.started = append(s.started[:i], s.started[i+1:]...)
			return
		}
	}
}

// Answer takes the latency of an answer against the expected one.
func (s *Score) Answer(now time.Time, latency, expected time.Duration) {
	s.errors -= s.Weight * s.errors
	if expected <= 0 {
		return
	}
	s.sample(now, float64(latency)/float64(expected))
}

// Failure takes an attempt that failed; it costs at least as much as a slow answer, however fast it came.
func (s *Score) Failure(now time.Time, penalty float64) {
	s.errors += s.Weight * (1 - s.errors)
	s.sample(now, penalty)
}

func (s *Score) sample(now time.Time, ratio float64) {
	ratio = math.Min(math.Max(ratio, minRatio), maxRatio)
	current := s.remembered(now)
	s.ratio = current + s.Weight*(ratio-current)
	s.at = now
}

func (s *Score) remembered(now time.Time) float64 {
	if s.at.IsZero() {
		return 1
	}
	weight := math.Exp(-float64(now.Sub(s.at)) / float64(s.Memory))
	return 1 + weight*(s.ratio-1)
}

// Ratio returns how many times longer than expected an answer will probably take.
func (s *Score) Ratio(now time.Time) float64 {
	ratio := s.remembered(now)
	for _, f := range s.started {
		if f.expected <= 0 {
			continue
		}
		age := float64(now.Sub(f.at)) / float64(f.expected)
		if age > patienceRatio && age > ratio {
			ratio = age
		}
	}
	return math.Min(ratio, maxRatio)
}

// ErrorShare returns the recent share of attempts that failed, from 0 to 1.
func (s *Score) ErrorShare() float64 {
	return s.errors
}
