package split

import (
	"slices"

	"poplarworks/core/part"
	"poplarworks/core/rule"
)

// Splitter holds how far each service is behind its share, by rule; it is not safe for concurrent use.
type Splitter struct {
	rules map[string]*shares
}

type shares struct {
	parts   []part.Part
	credits []float64
}

// Service returns the service that serves the next request of the rule: the one that is furthest behind its share.
func (s *Splitter) Service(r *rule.Rule) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	held := s.rules[r.Name]
	if held == nil || !slices.Equal(held.parts, r.Split) {
		if s.rules == nil {
			s.rules = map[string]*shares{}
		}
		held = &shares{parts: r.Split, credits: make([]float64, len(r.Split))}
		s.rules[r.Name] = held
	}
	return held.next()
}

func (s *shares) next() string {
	total, best := 0.0, 0
	for i, p := range s.parts {
		total += p.Weight
		s.credits[i] += p.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= total
	return s.parts[best].Service
}
