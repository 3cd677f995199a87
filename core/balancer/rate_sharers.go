package balancer

import (
	"math"
	"slices"

	"poplarworks/core/service"
)

// rateSharers caches which entries have each target in their subsets.
type rateSharers struct {
	entries    []service.Entry
	candidates []subsetCandidate
	all        []string            // names of all entries, sorted
	byTarget   map[string][]string // sorted names of those that use the target; nil if all entries use all targets
}

// assignRateShares divides the rate limits of all targets that name one.
func (b *Balancer) assignRateShares() {
	b.updateRateSharers()
	for _, t := range b.targets {
		if t.rateLimited {
			b.assignRateShare(t)
		}
	}
}

// assignRateShare divides the rate limit of a target among the entries that have it in their subsets. Their turns are
// spread evenly; a turn derived from the position among all entries would not do, since the entries of one data centre
// share its targets and have neighbouring names.
func (b *Balancer) assignRateShare(t *target) {
	entries, position := max(1, b.service.AssumedEntries), 0
	t.sharesRateLimit = true
	if len(b.service.Entries) > 0 {
		sharers := b.rateSharers.of(t.record.Name)
		entries = len(sharers)
		position, t.sharesRateLimit = slices.BinarySearch(sharers, b.Self)
	}
	t.rateShare.Entries = entries
	_, t.rateShare.Position = math.Modf(float64(position)/float64(max(1, entries)) + float64(hashName(t.record.Name))/(math.MaxUint32+1))
}

// updateRateSharers computes the subsets of all entries if the entries or the targets have changed and any target names
// a limit.
func (b *Balancer) updateRateSharers() {
	if !slices.ContainsFunc(b.targets, func(t *target) bool { return t.rateLimited }) {
		return
	}
	candidates := b.subsetCandidates()
	s := &b.rateSharers
	if slices.Equal(candidates, s.candidates) && slices.Equal(b.service.Entries, s.entries) {
		return
	}
	*s = rateSharers{entries: b.service.Entries, candidates: candidates}
	for _, e := range s.entries {
		s.all = append(s.all, e.Name)
	}
	if !b.usesSubset(candidates) {
		return
	}
	s.byTarget = map[string][]string{}
	for _, e := range s.entries {
		for _, c := range chooseSubset(e, candidates, b.service.MaxProbedTargets) {
			s.byTarget[c.Name] = append(s.byTarget[c.Name], e.Name)
		}
	}
}

// of returns the sorted names of the entries that have the target in their subsets.
func (s *rateSharers) of(target string) []string {
	if s.byTarget == nil {
		return s.all
	}
	return s.byTarget[target]
}
