package balancer

import (
	"slices"

	"poplarworks/core/rank"
)

// nearShare is the part of a subset that comes from this entry's own data centre, if it has that many targets: a crossing
// costs little for most answers, and a data centre can be short of room.
const maxLocalShare = 2.0 / 3

// chooseSubset keeps this entry to a part of a large service, so that it holds few connections and uses them often. Each
// entry ranks the targets by a hash of its own name, so that every target is in as many subsets as any other.
func (b *Balancer) chooseSubset() {
	b.subset = b.subset[:0]
	size := b.service.Subset
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
		if t.record.DataCentre == b.Home && len(b.subset) < maxLocal {
			b.subset = append(b.subset, t)
		} else {
			remote = append(remote, t)
		}
	}
	// Those of other data centres go first, so that a data centre with many targets does not fill the subset alone.
	slices.SortStableFunc(remote, func(x, y *target) int { return b.localRank(x) - b.localRank(y) })
	b.subset = append(b.subset, remote[:min(len(remote), size-len(b.subset))]...)
}

func (b *Balancer) localRank(t *target) int {
	if t.record.DataCentre == b.Home {
		return 1
	}
	return 0
}
