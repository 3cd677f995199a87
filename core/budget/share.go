package budget

import "math"

// Share is a token bucket: first attempts add tokens and extra attempts spend them.
type Share struct {
	Ratio         float64 // tokens added for each first attempt
	MaxTokens     float64 // maximum number of tokens
	InitialTokens float64 // tokens at the start, so that services with little traffic can retry too

	added       float64 // total of all tokens added, without regard to MaxTokens
	tokens      float64
	extra       uint64 // extra attempts taken
	initialised bool
}

// CountFirst counts a first attempt.
func (s *Share) CountFirst() {
	s.initialise()
	s.added += s.Ratio
	s.tokens = math.Min(s.MaxTokens, s.tokens+s.Ratio)
}

// Take spends a token for an extra attempt. It reports whether a token was left.
func (s *Share) Take() bool {
	s.initialise()
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	s.extra++
	return true
}

// initialise adds the initial tokens at first use.
func (s *Share) initialise() {
	if s.initialised {
		return
	}
	s.initialised = true
	s.tokens = s.InitialTokens
	s.added = s.InitialTokens
}

// Extra returns the number of extra attempts taken.
func (s *Share) Extra() uint64 {
	return s.extra
}

// Tokens returns the number of tokens left.
func (s *Share) Tokens() float64 {
	return s.tokens
}

// WithinBudget reports the invariant that the extra attempts do not exceed the tokens added.
func (s *Share) WithinBudget() bool {
	return float64(s.extra) <= s.added*(1+1e-9)+1e-9
}
