package stop

import "time"

// Stop is the content of a stop record. Exactly one of Target and Entry is set.
type Stop struct {
	Name    string
	Service string // service of the target
	Target  string
	Entry   string
	At      time.Time // when new requests are no longer accepted; the zero time means immediately
}

// InForce reports whether the stop has begun.
func (s Stop) InForce(now time.Time) bool {
	return !now.Before(s.At)
}
