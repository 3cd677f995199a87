package entrylist

import (
	"slices"

	"poplarworks/core/membership"
	"poplarworks/core/storeversion"
)

// List is the list of entries as of one version of the store.
type List struct {
	Version storeversion.Version
	Members []membership.Member
}

// Has reports whether the entry is listed with the same address, data centre and bandwidth.
func (l List) Has(self membership.Member) bool {
	return slices.ContainsFunc(l.Members, func(m membership.Member) bool {
		return m.Name == self.Name && m.Peer == self.Peer && m.DataCentre == self.DataCentre && m.Bandwidth == self.Bandwidth
	})
}

// With returns the list with those of the members added whose names it lacks. The versions of their rows are not known.
func (l List) With(members []membership.Member) List {
	merged := List{Version: l.Version, Members: slices.Clone(l.Members)}
	for _, m := range members {
		if !slices.ContainsFunc(l.Members, func(listed membership.Member) bool { return listed.Name == m.Name }) {
			m.ListVersion = 0
			merged.Members = append(merged.Members, m)
		}
	}
	return merged
}

// Same reports whether both lists have the same entries, in the same order.
func (l List) Same(other List) bool {
	return slices.EqualFunc(l.Members, other.Members, func(x, y membership.Member) bool {
		return x.Name == y.Name && x.Peer == y.Peer && x.DataCentre == y.DataCentre && x.Bandwidth == y.Bandwidth
	})
}
