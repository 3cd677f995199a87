package rateshare

import (
	"math"
	"time"
)

const (
	// A token that is not used for this long is lost. This bounds the burst of all entries together to the requests of
	// this time, however many entries there are.
	tokenLifetime = time.Second
	saveTime      = tokenLifetime / 2 // for shares of several requests per second, which need no longer burst
	// Entries have requests at different times, so that the target gets less than the sum of their shares.
	oversubscription = 1.15
	maxWait          = time.Hour
	precision        = time.Microsecond // of waits, which are computed in floating point
)

// Share is the part of one entry in the request rate of one target. A share of less than one request per tokenLifetime
// is used in turns: the entries earn their tokens one after the other, in an order that they derive from the time of day
// and their positions. It is not safe for concurrent use. Its exported fields may be changed between calls.
type Share struct {
	PerSecond float64 // rate of all entries together
	Entries   int     // number of entries that share the rate
	Position  float64 // position of this entry's turn in a round of all entries, from 0 to 1

	tokens     float64
	rate       float64 // at which tokens have been earned since refilledAt
	refilledAt time.Time
}

// Available reports whether this entry may send a request now.
func (s *Share) Available(now time.Time) bool {
	return s.Wait(now) == 0
}

// Wait returns the time until this entry may send a request, up to an hour.
func (s *Share) Wait(now time.Time) time.Duration {
	s.refill(now)
	if s.rate*maxWait.Seconds() < 1 {
		return maxWait
	}
	if s.tokens >= 1 {
		return 0
	}
	return time.Duration((1-s.tokens)/s.rate*float64(time.Second)) + precision
}

// Take uses up one request of the share.
func (s *Share) Take(now time.Time) {
	s.refill(now)
	s.tokens = max(0, s.tokens-1)
}

// refill adds the tokens earned since the last call and drops those that have been kept for too long.
func (s *Share) refill(now time.Time) {
	rate := oversubscription * max(0, s.PerSecond) / float64(max(1, s.Entries))
	if s.refilledAt.IsZero() {
		s.tokens = s.turn(now, rate)
	} else {
		s.tokens += s.rate * max(0, now.Sub(s.refilledAt).Seconds())
	}
	s.refilledAt, s.rate = now, rate
	kept := rate * tokenLifetime.Seconds()
	if kept >= 1 {
		s.tokens = min(s.tokens, max(1, rate*saveTime.Seconds()))
		return
	}
	// A lost token leaves what was earned towards the next one, so that the entry keeps its turn.
	if s.tokens > 1+kept {
		s.tokens -= math.Ceil(s.tokens - 1 - kept)
	}
}

// turn returns the part of the way to this entry's next turn that has passed.
func (s *Share) turn(now time.Time, rate float64) float64 {
	rounds := float64(now.UnixNano())/float64(time.Second)*rate - s.Position
	return rounds - math.Floor(rounds)
}
