package balancer

import (
	"hash/fnv"
	"slices"
)

// divide gives each active entry its part of the slots. Entries that agree on who is active agree on the parts without
// a word, and need not guess at each other's load as long as they keep to them; entries that disagree for a while share
// some slots and leave others to overflow.
func (b *Balancer) divide() {
	active := b.activeEntries()
	if slices.Equal(active, b.active) {
		return
	}
	b.active = active
	b.allot()
}

// activeEntries returns, in order, the names of the entries that have sent to the service lately, this one included.
func (b *Balancer) activeEntries() []string {
	active := []string{b.Self}
	for name := range b.peers {
		active = append(active, name)
	}
	slices.Sort(active)
	return active
}

// allot counts off the slots of all targets among the active entries.
func (b *Balancer) allot() {
	place := slices.Index(b.active, b.Self)
	slot := offset(b.service.Name)
	for _, t := range b.targets {
		t.home = 0
		if t.removed {
			continue
		}
		for range b.service.Slots {
			if slot%len(b.active) == place {
				t.home++
			}
			slot++
		}
		t.configure(b.service, len(b.active))
	}
	b.relist()
}

// offset lets the parts of different services begin at different entries, so that no entry has the larger part of each.
func offset(service string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(service))
	return int(hash.Sum32() >> 1)
}

// relist finds the targets where this entry has a slot of its own free.
func (b *Balancer) relist() {
	b.free = b.free[:0]
	for i, t := range b.targets {
		t.index, t.freeAt = i, -1
		b.enlist(t)
	}
}

func (b *Balancer) enlist(t *target) {
	if t.removed || t.freeAt >= 0 || t.load.Own() >= t.home {
		return
	}
	t.freeAt = len(b.free)
	b.free = append(b.free, t.index)
}

// delist moves the last of the list into the place that becomes free.
func (b *Balancer) delist(t *target) {
	if t.freeAt < 0 || t.load.Own() < t.home {
		return
	}
	last := b.free[len(b.free)-1]
	b.free[t.freeAt] = last
	b.targets[last].freeAt = t.freeAt
	b.free = b.free[:len(b.free)-1]
	t.freeAt = -1
}
