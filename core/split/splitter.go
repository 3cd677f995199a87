package split

import (
	"slices"

	"poplarworks/core/rule"
	"poplarworks/core/weightedservice"
)

// Splitter distributes the requests of each rule by smooth weighted round-robin. It is not safe for concurrent use.
type Splitter struct {
	rules map[string]*shares
}

// shares is the state of one rule.
type shares struct {
	parts   []weightedservice.WeightedService
	credits []float64 // how far each service is behind its share
}

// Service returns the service for the next request of the rule: the one that is furthest behind its share. Changed
// weights take effect at once.
func (s *Splitter) Service(r *rule.Rule) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	current := s.rules[r.Name]
	if current == nil || !slices.Equal(current.parts, r.Split) {
		if s.rules == nil {
			s.rules = map[string]*shares{}
		}
		current = &shares{parts: r.Split, credits: make([]float64, len(r.Split))}
		s.rules[r.Name] = current
	}
	return current.next()
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
