package recentset

import "time"

// Set holds the keys that were added within the last Period, and some of those added within the Period before. It is
// not safe for concurrent use. Its exported fields must be set before use.
type Set[K comparable] struct {
	Period   time.Duration
	Capacity int // largest number of keys added in one Period; a full set forgets its older half early

	current   map[K]struct{}
	previous  map[K]struct{}
	rotatedAt time.Time
}

// Add adds the key.
func (s *Set[K]) Add(now time.Time, key K) {
	s.rotate(now)
	if s.current == nil || len(s.current) >= s.Capacity {
		s.previous, s.current = s.current, map[K]struct{}{}
		s.rotatedAt = now
	}
	s.current[key] = struct{}{}
}

// Has reports whether the key was added lately.
func (s *Set[K]) Has(now time.Time, key K) bool {
	s.rotate(now)
	if _, ok := s.current[key]; ok {
		return true
	}
	_, ok := s.previous[key]
	return ok
}

// rotate drops the keys that are older than two periods.
func (s *Set[K]) rotate(now time.Time) {
	switch age := now.Sub(s.rotatedAt); {
	case age >= 2*s.Period:
		s.previous, s.current = nil, nil
	case age >= s.Period:
		s.previous, s.current = s.current, nil
	default:
		return
	}
	s.rotatedAt = now
}
