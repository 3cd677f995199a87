package balancer

import (
	"slices"

	"poplarworks/core/rank"
)

// maxLocalShare is the share of a subset that comes from this entry's own data centre, if it has that many targets.
// The others come from other data centres, since crossing data centres costs little for most answers and one data
// centre can run short of capacity.
const maxLocalShare = 2.0 / 3

// chooseSubset limits this entry to a subset of the targets of a large service, so that it holds few connections and
// uses them often. Each entry ranks the targets by a hash that includes its own name, so that the targets are spread
// evenly over the subsets.
func (b *Balancer) chooseSubset() {
	b.subset = b.subset[:0]
	size := b.service.MaxProbedTargets
	if size <= 0 || len(b.targets) <= size {
		b.subset = append(b.subset, b.targets...)
		return
	}
	names := make([]string, 0, len(b.targets))
	for _, t := range b.targets {
		if !t.removed && !t.record.Leaving {
			names = append(names, t.record.Name)
		}
	}
	var remote []*target
	maxLocal := int(maxLocalShare * float64(size))
	for _, name := range rank.Order(b.Self, names) {
		t := b.targets[b.byName[name]]
		if t.record.DataCentre == b.DataCentre && len(b.subset) < maxLocal {
			b.subset = append(b.subset, t)
		} else {
			remote = append(remote, t)
		}
	}
	// Targets of other data centres come first, so that a data centre with many targets does not fill the subset alone.
	slices.SortStableFunc(remote, func(x, y *target) int { return b.localRank(x) - b.localRank(y) })
	b.subset = append(b.subset, remote[:min(len(remote), size-len(b.subset))]...)
}

// localRank sorts targets of this entry's data centre after the others.
func (b *Balancer) localRank(t *target) int {
	if t.record.DataCentre == b.DataCentre {
		return 1
	}
	return 0
}
