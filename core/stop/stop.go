package stop

import "time"

// Stop is what an operator's stop record says; exactly one of Target and Entry is set.
type Stop struct {
	Name    string
	Service string // service of the target
	Target  string
	Entry   string
	At      time.Time // when new work ends; the zero time means at once
}

// InForce reports whether the stop has begun.
func (s Stop) InForce(now time.Time) bool {
	return !now.Before(s.At)
}
