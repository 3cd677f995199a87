package budget

import "math"

// Share is a token bucket that first attempts fill and extra attempts empty.
type Share struct {
	Ratio   float64 // tokens for each first attempt
	Cap     float64 // most tokens held
	Initial float64 // tokens at the start, so that quiet services can retry too

	earned float64 // all tokens ever earned
	tokens float64
	extra  uint64
	ready  bool
}

// First counts a first attempt.
func (s *Share) First() {
	s.start()
	s.earned += s.Ratio
	s.tokens = math.Min(s.Cap, s.tokens+s.Ratio)
}

// Take spends a token for an extra attempt, and reports whether there was one.
func (s *Share) Take() bool {
	s.start()
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	s.extra++
	return true
}

func (s *Share) start() {
	if s.ready {
		return
	}
	s.ready = true
	s.tokens = s.Initial
	s.earned = s.Initial
}

// Extra returns the extra attempts taken.
func (s *Share) Extra() uint64 {
	return s.extra
}

// Tokens returns the tokens left.
func (s *Share) Tokens() float64 {
	return s.tokens
}

// Within reports whether the extra attempts never exceeded what was earned.
func (s *Share) Within() bool {
	return float64(s.extra) <= s.earned*(1+1e-9)+1e-9
}
