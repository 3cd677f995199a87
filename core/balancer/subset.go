package balancer

import (
	"poplarworks/core/rank"
	"poplarworks/core/service"
)

// maxLocalShare is the share of a subset that comes from this entry's own data centre, if it has that many targets.
// The others come from other data centres, since crossing data centres costs little for most answers and one data
// centre can run short of capacity.
const maxLocalShare = 2.0 / 3

// chooseSubset limits this entry to a subset of the targets of a large service, so that it holds few connections and
// uses them often.
func (b *Balancer) chooseSubset() {
	candidates := b.subsetCandidates()
	if !b.usesSubset(candidates) {
		b.subset = append(b.subset[:0], b.targets...)
		return
	}
	b.subset = b.subset[:0]
	for _, c := range chooseSubset(service.Entry{Name: b.Self, DataCentre: b.DataCentre}, candidates, b.service.MaxProbedTargets) {
		b.subset = append(b.subset, b.targets[b.byName[c.Name]])
	}
}

// subsetCandidates returns the targets that may be in a subset.
func (b *Balancer) subsetCandidates() []subsetCandidate {
	candidates := make([]subsetCandidate, 0, len(b.targets))
	for _, t := range b.targets {
		if !t.removed && !t.record.Leaving {
			candidates = append(candidates, subsetCandidate{Name: t.record.Name, DataCentre: t.record.DataCentre})
		}
	}
	return candidates
}

// usesSubset reports whether the service has more targets than one entry uses.
func (b *Balancer) usesSubset(candidates []subsetCandidate) bool {
	return b.service.MaxProbedTargets > 0 && len(candidates) > b.service.MaxProbedTargets
}

// subsetCandidate is what decides on whether a target is in the subset of an entry.
type subsetCandidate struct {
	Name       string
	DataCentre string
}

// chooseSubset returns the subset of an entry. Each entry ranks the targets by a hash that includes its own name, so that
// the targets are spread evenly over the subsets.
func chooseSubset(entry service.Entry, candidates []subsetCandidate, size int) []subsetCandidate {
	maxLocal := int(maxLocalShare * float64(size))
	var subset, otherLocal, remote []subsetCandidate
	for _, c := range rank.OrderFunc(entry.Name, candidates, func(c subsetCandidate) string { return c.Name }) {
		switch {
		case c.DataCentre != entry.DataCentre:
			remote = append(remote, c)
		case len(subset) < maxLocal:
			subset = append(subset, c)
		default:
			otherLocal = append(otherLocal, c)
		}
	}
	// Targets of other data centres come first, so that a data centre with many targets does not fill the subset alone.
	others := append(remote, otherLocal...)
	return append(subset, others[:min(len(others), size-len(subset))]...)
}
